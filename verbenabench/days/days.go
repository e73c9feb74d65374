package days

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// ErrPromise is returned when a simulated day broke a promise.
var ErrPromise = errors.New("promise broken")

// ErrFlags is returned by Check for a field out of its range.
var ErrFlags = errors.New("invalid flag")

// Days simulates days with consecutive seeds. Set the exported fields before Run.
type Days struct {
	Seed  uint64
	Count int
	// Plays is how often each day is simulated. Its faults and jobs are the same each time, the order of goroutines is not.
	Plays int
	// Duration is the part of a day in which faults are injected. After it, all accepted jobs must end without further faults.
	Duration time.Duration
	JSON     bool
	// Folder receives a subfolder for each simulation that broke a promise. A new temporary folder is used if it is empty.
	Folder string
	Out    io.Writer
}

const (
	maxDays     = 100_000
	maxPlays    = 1000
	minDuration = 3 * time.Second
	maxDuration = 10 * time.Minute
	// progressEvery is the number of simulations per progress line.
	progressEvery = 25
)

// Check returns ErrFlags with the name of the invalid flag.
func (d *Days) Check() error {
	switch {
	case d.Count < 1 || d.Count > maxDays:
		return fmt.Errorf("%w: --days is %d, want 1 to %d", ErrFlags, d.Count, maxDays)
	case d.Plays < 1 || d.Plays > maxPlays:
		return fmt.Errorf("%w: --plays is %d, want 1 to %d", ErrFlags, d.Plays, maxPlays)
	case d.Duration < minDuration || d.Duration > maxDuration:
		return fmt.Errorf("%w: --time is %v, want %v to %v", ErrFlags, d.Duration, minDuration, maxDuration)
	case d.Seed+uint64(d.Count) < d.Seed:
		return fmt.Errorf("%w: --seed is %d, want one that leaves %d consecutive seeds", ErrFlags, d.Seed, d.Count)
	}
	if d.Folder == "" {
		return nil
	}
	if info, err := os.Stat(d.Folder); err != nil || !info.IsDir() {
		return fmt.Errorf("%w: --folder is %s, want an existing folder", ErrFlags, d.Folder)
	}
	return nil
}

// Run builds the test program of this package and simulates the days in it, since synctest bubbles exist in tests only.
func (d *Days) Run(ctx context.Context) (err error) {
	if err := d.Check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "verbena-days-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	temporary := d.Folder == ""
	if temporary {
		if d.Folder, err = os.MkdirTemp("", "verbena-days-broken-"); err != nil {
			return err
		}
	}
	program := filepath.Join(dir, "days.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", program, "verbenalanding.example/verbenabench/days")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build the test program: %w: %s", err, out)
	}
	report, err := d.runSimulations(ctx, program)
	if writeErr := d.write(report); writeErr != nil {
		return writeErr
	}
	if err == nil && report.Broken > 0 {
		err = fmt.Errorf("%w: %d of %d plays", ErrPromise, report.Broken, report.Plays)
	}
	if temporary && report.Broken == 0 {
		err = errors.Join(err, os.Remove(d.Folder))
	}
	return err
}

// runSimulations runs the test program and reads its results from a pipe, one for each simulation.
func (d *Days) runSimulations(ctx context.Context, program string) (*Report, error) {
	report := newReport()
	reader, writer, err := os.Pipe()
	if err != nil {
		return report, err
	}
	defer func() { _ = reader.Close() }()
	cmd := exec.CommandContext(ctx, program, "-test.run", "^TestDays$", "-test.timeout", "0", "-days.report",
		"-days.seed", fmt.Sprint(d.Seed), "-days.count", fmt.Sprint(d.Count), "-days.plays", fmt.Sprint(d.Plays),
		"-days.time", d.Duration.String(), "-days.folder", d.Folder)
	cmd.ExtraFiles = []*os.File{writer}
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		return report, errors.Join(err, writer.Close())
	}
	_ = writer.Close()
	for results := json.NewDecoder(reader); ; {
		var r Result
		if err := results.Decode(&r); err != nil {
			break
		}
		report.add(&r)
		d.printProgress(&r, report)
	}
	// The program also fails if a day broke a promise, which its results report. If it failed otherwise, results are missing.
	if err := cmd.Wait(); err != nil && report.Plays < d.Count*d.Plays {
		return report, fmt.Errorf("simulate seed %d: %w: %s", d.Seed+uint64(report.Plays/d.Plays), err, out.Bytes())
	}
	return report, nil
}

func (d *Days) printProgress(r *Result, report *Report) {
	if d.JSON {
		return
	}
	if len(r.Broken) > 0 {
		fmt.Fprintf(d.Out, "seed %d: broken, %s; logs in %s\n", r.Seed, strings.Join(r.Broken, "; "), r.Folder)
	}
	if report.Plays%progressEvery == 0 {
		fmt.Fprintf(d.Out, "%d plays of %d, %d broken\n", report.Plays, d.Count*d.Plays, report.Broken)
	}
}

// SaveLogs writes the logs and events of a simulation that broke a promise to a new subfolder.
func (r *Result) SaveLogs(folder string) error {
	var err error
	if r.Folder, err = os.MkdirTemp(folder, fmt.Sprintf("seed-%d-", r.Seed)); err != nil {
		return err
	}
	for name, content := range map[string][]byte{
		"nodes.log": r.Log, "workers.log": []byte(strings.Join(r.Lines, "")), "events.log": []byte(strings.Join(r.Notes, "\n") + "\n"),
		"broken.txt": []byte(strings.Join(r.Broken, "\n") + "\n"),
	} {
		if err := os.WriteFile(filepath.Join(r.Folder, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}
