package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/operator"
)

// ErrInvariantViolated is returned when an invariant was violated.
var ErrInvariantViolated = errors.New("an invariant was violated")

const (
	// timeLimit is the maximum duration of the demonstration.
	timeLimit = 58 * time.Second
	// calmTime, floodTime and settleTime are the durations of the phases of traffic.
	calmTime   = 4 * time.Second
	floodTime  = 5 * time.Second
	settleTime = 3 * time.Second
)

// Demo runs the demonstration of both sample deployments; set the exported fields before Run.
type Demo struct {
	Seed    int64
	Verbose bool
	Out     io.Writer

	mu      sync.Mutex
	started time.Time
}

// Run runs both deployments and prints a table of outcomes. It returns ErrInvariantViolated when an invariant was violated.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	d.started = time.Now()
	log := zerolog.Nop()
	if d.Verbose {
		log = zerolog.New(d.Out).With().Timestamp().Logger()
	}
	tokensFile, err := writeTokens()
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(tokensFile) }()
	var deployments []*deployment
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range []string{"cascade", "tintaviva"} {
		dep := &deployment{
			name:          name,
			tokensFile:    tokensFile,
			log:           log.With().Str("deployment", name).Logger(),
			printProgress: func(format string, args ...any) { d.printProgress(name, format, args...) },
			rand:          rand.New(rand.NewPCG(uint64(d.Seed), uint64(i))),
		}
		deployments = append(deployments, dep)
		group.Go(func() error { return dep.run(ctx) })
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("demonstration: %w", err)
	}
	return d.report(deployments)
}

// writeTokens writes a tokens file for the operators' API and returns its name. Its only token is random and is not used.
func writeTokens() (string, error) {
	hash, err := operator.HashToken(uuid.NewString())
	if err != nil {
		return "", err
	}
	text, err := json.Marshal([]operator.Credential{{Identity: operator.Identity{Name: "demo", Role: operator.RoleOperator}, Hash: hash}})
	if err != nil {
		return "", err
	}
	file, err := os.CreateTemp("", "verbenalanding-demo-*.json")
	if err != nil {
		return "", err
	}
	if _, err := file.Write(text); err != nil {
		return "", err
	}
	return file.Name(), file.Close()
}

// printProgress prints a line with the elapsed time and the name of a deployment.
func (d *Demo) printProgress(name, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.Out, "%5.1fs  %-10s %s\n", time.Since(d.started).Seconds(), name, fmt.Sprintf(format, args...))
}
