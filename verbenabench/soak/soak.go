package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// pools are those with work. The second one has half the machines of the first, and half as many jobs.
var pools = [...]string{"cutting", "fitting"}

// ErrPromise is returned when a promise was seen broken.
var ErrPromise = errors.New("promise broken")

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Seed uint64
	// Duration is the time in which faults come; a calm time follows in which all accepted work must end.
	Duration time.Duration
	// Nodes is 4, 7 or 10 by the seed when not set.
	Nodes    int
	Machines int
	// PerSecond is the rate of jobs.
	PerSecond float64
	// Program is the entry instance's program; it is built when empty.
	Program string
	// Keep leaves logs and settings in their folder.
	Keep bool
	Out  io.Writer

	dir string
	// addrs counts the addresses that were given to entry instances.
	addrs     int
	platform  *standin.Platform
	processes []*process
	// mu is locked while the platform starts a worker, so that nothing that locks the platform may be called under it.
	mu      sync.Mutex
	proxies []*proxy
	// workers are in the order of their beginning; those of before the first process are met later.
	workers []ways
	unmet   []netip.AddrPort
	// storeTurn counts the faults of the store.
	storeTurn int
	// hunting holds the pools whose new holders are being lost.
	hunting sync.Map
	// ended is true once the proxies were closed.
	ended   bool
	version int64
	// waves counts the waves that the operator asked for.
	waves int
	book  book
}

// Default returns s with unset fields filled.
func (s *Soak) Default() {
	s.Duration = cmp.Or(s.Duration, 10*time.Second)
	s.Nodes = cmp.Or(s.Nodes, leastNodes+int(s.Seed%3)*moreNodes)
	s.Machines = cmp.Or(s.Machines, 8)
	s.PerSecond = cmp.Or(s.PerSecond, 10)
}

const (
	standby = "spare"
	host    = "fleet.example"
	// attempts is how many runs of a task may fail.
	attempts = 3
	// restartAfter is how long after its end a process is started again.
	restartAfter = 300 * time.Millisecond
	callTimeout  = 3500 * time.Millisecond
	// A process that stops serves for 2.6 s: with few of them a series of stops leaves none that takes a duty, with more it
	// moves on.
	leastNodes = 4
	moreNodes  = 3
	// calmTime is the longest time after the last fault in which all accepted jobs must end: leases, suspicions of workers that
	// double up to 16 s, and the work itself.
	calmTime = 30 * time.Second
	// settleTime passes before the first job.
	settleTime = 1500 * time.Millisecond
)

// secondMachines is the number of machines of the second pool.
func (s *Soak) secondMachines() int { return (s.Machines + 1) / 2 }

// Run plays the seed; it ends every process that it started, also when the context ends before.
func (s *Soak) Run(ctx context.Context) (err error) {
	s.Default()
	if s.dir, err = os.MkdirTemp("", fmt.Sprintf("verbena-soak-%d-", s.Seed)); err != nil {
		return err
	}
	if s.Program == "" {
		s.Program = filepath.Join(s.dir, "verbenaentry")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", s.Program, "verbenalanding.example/verbenaentry").CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w: %s", err, out)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	group, groupCtx := errgroup.WithContext(ctx)
	err = s.play(groupCtx, group)
	cancel()
	s.mu.Lock()
	s.ended = true
	for _, p := range s.proxies {
		p.close()
	}
	s.mu.Unlock()
	if ended := group.Wait(); err == nil && !errors.Is(ended, context.Canceled) {
		err = ended
	}
	s.summarize(err)
	if err == nil && !s.Keep {
		return os.RemoveAll(s.dir)
	}
	return err
}

func (s *Soak) addProxy(p *proxy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		// A machine may come back from its upkeep while the run ends.
		p.close()
	}
	s.proxies = append(s.proxies, p)
}

func (s *Soak) play(ctx context.Context, group *errgroup.Group) error {
	s.platform = &standin.Platform{
		Seed: s.Seed, Pools: map[string]int{pools[0]: s.Machines, pools[1]: s.secondMachines(), standby: 1}, Standby: standby, Capacity: wire.Resources{CPU: 8000, MemMb: 16000},
		Tick: 5 * time.Millisecond, UpkeepTime: 300 * time.Millisecond, MoveTime: 300 * time.Millisecond,
		AdvertisedAddr: func(addr netip.AddrPort) (netip.AddrPort, error) {
			if len(s.processes) == 0 {
				s.unmet = append(s.unmet, addr)
				return addr, nil
			}
			return addr, s.meetWorker(addr, group)
		},
	}
	if err := s.platform.Start(ctx, group); err != nil {
		return err
	}
	s.configure()
	for i := range s.Nodes {
		p, err := s.newProcess(fmt.Sprintf("n%d", i), group)
		if err != nil {
			return err
		}
		s.addProxy(p.store)
		s.processes = append(s.processes, p)
	}
	s.connect(group)
	for _, addr := range s.unmet {
		if err := s.meetWorker(addr, group); err != nil {
			return err
		}
	}
	for _, p := range s.processes {
		group.Go(func() error { return p.run(ctx) })
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	faults := rand.New(rand.NewPCG(s.Seed, 10))
	callers, callersCtx := errgroup.WithContext(ctx)
	callers.Go(func() error { return s.injectAll(callersCtx, faults) })
	callers.Go(func() error { return s.submitAll(callersCtx, rand.New(rand.NewPCG(s.Seed, 11))) })
	callers.Go(func() error { return s.watchVersions(callersCtx) })
	if err := callers.Wait(); err != nil {
		return err
	}
	return s.settle(ctx)
}

// settle ends all faults and checks that accepted work ends and that processes stop in an orderly way.
func (s *Soak) settle(ctx context.Context) error {
	s.calm()
	jobs, jobsCtx := errgroup.WithContext(ctx)
	jobs.Go(func() error { return s.awaitJobs(jobsCtx) })
	jobs.Go(func() error { return s.awaitLasting(jobsCtx) })
	if err := jobs.Wait(); err != nil {
		return err
	}
	if err := s.awaitWaves(ctx); err != nil {
		return err
	}
	for _, v := range s.platform.Violations() {
		return fmt.Errorf("%w: %s", ErrPromise, v)
	}
	return nil
}

func (s *Soak) calm() {
	s.platform.Store.SetFaults(standin.Faults{})
	s.mu.Lock()
	proxies := slices.Clone(s.proxies)
	s.mu.Unlock()
	for _, p := range proxies {
		p.set(pass)
		// Connections that went silent are closed by their users' own time-outs; resets only shorten the calm time.
		p.resetAll()
	}
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
	}
	for _, id := range s.platform.Machines() {
		s.platform.SetWorkerFaults(id, standin.WorkerFaults{})
		if err := s.platform.RecoverMachine(id); err != nil {
			s.book.note(id+": "+err.Error(), nil)
		}
	}
}

func (s *Soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.platform.Configure(s.version, host, attempts)
}

func (s *Soak) summarize(err error) {
	b := &s.book
	b.mu.Lock()
	defer b.mu.Unlock()
	outcome := "kept"
	if err != nil || s.Keep {
		if failed := os.WriteFile(filepath.Join(s.dir, "events.log"), []byte(strings.Join(b.events, "\n")+"\n"), 0o600); failed != nil {
			fmt.Fprintln(s.Out, "events not kept:", failed)
		}
	}
	if err != nil {
		outcome = err.Error() + "; logs in " + s.dir
	}
	fmt.Fprintf(s.Out, "seed %d: %d faults, %d jobs accepted, %d refused as not run, %d unknown, %d cancelled: %s\n",
		s.Seed, b.faults, len(b.accepted), b.refused, b.unknown, b.cancelled, outcome)
}

// sleep waits for d; it returns the context's cause when the context ends before.
func sleep(ctx context.Context, d time.Duration) error {
	if !interval.Wait(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}
