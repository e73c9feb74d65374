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

// ErrPromise is returned when a promise was seen broken.
var ErrPromise = errors.New("promise broken")

// ErrFlags is returned by Check for a field out of its range.
var ErrFlags = errors.New("invalid flag")

// Days is a number of days with seeds that follow each other. Set the exported fields before Run.
type Days struct {
	Seed  uint64
	Count int
	// Plays is how often each day is played: its faults and jobs are the same, the order of goroutines is not.
	Plays int
	// Duration is the time of a day in which faults come; a calm time follows in which all accepted work must end.
	Duration time.Duration
	JSON     bool
	// Folder takes a folder for each broken day; a new one of the system's temporary folder when empty.
	Folder string
	Out    io.Writer
}

const (
	mostDays      = 100_000
	mostPlays     = 1000
	leastDuration = 3 * time.Second
	mostDuration  = 10 * time.Minute
	// tellEvery is how many plays there are for a line of progress.
	tellEvery = 25
)

// Check returns ErrFlags with the flag at fault.
func (d *Days) Check() error {
	switch {
	case d.Count < 1 || d.Count > mostDays:
		return fmt.Errorf("%w: --days is %d, want 1 to %d", ErrFlags, d.Count, mostDays)
	case d.Plays < 1 || d.Plays > mostPlays:
		return fmt.Errorf("%w: --plays is %d, want 1 to %d", ErrFlags, d.Plays, mostPlays)
	case d.Duration < leastDuration || d.Duration > mostDuration:
		return fmt.Errorf("%w: --time is %v, want %v to %v", ErrFlags, d.Duration, leastDuration, mostDuration)
	case d.Seed+uint64(d.Count) < d.Seed:
		return fmt.Errorf("%w: --seed is %d, want one that %d days may follow", ErrFlags, d.Seed, d.Count)
	}
	if d.Folder == "" {
		return nil
	}
	if info, err := os.Stat(d.Folder); err != nil || !info.IsDir() {
		return fmt.Errorf("%w: --folder is %s, want a folder that exists", ErrFlags, d.Folder)
	}
	return nil
}

// Run plays the days in a test program of this package, which it builds: bubbles of simulated time exist in tests only.
func (d *Days) Run(ctx context.Context) (err error) {
	if err := d.Check(); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "verbena-days-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	own := d.Folder == ""
	if own {
		if d.Folder, err = os.MkdirTemp("", "verbena-days-broken-"); err != nil {
			return err
		}
	}
	program := filepath.Join(dir, "days.test")
	build := exec.CommandContext(ctx, "go", "test", "-c", "-o", program, "verbenalanding.example/verbenabench/days")
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w: %s", err, out)
	}
	rows, err := d.play(ctx, program)
	if failed := d.write(rows); failed != nil {
		return failed
	}
	if err == nil && rows.Broken > 0 {
		err = fmt.Errorf("%w: %d of %d plays", ErrPromise, rows.Broken, rows.Plays)
	}
	if own && rows.Broken == 0 {
		err = errors.Join(err, os.Remove(d.Folder))
	}
	return err
}

// play runs the program and takes its results, which it writes to a pipe, one a play.
func (d *Days) play(ctx context.Context, program string) (*Report, error) {
	report := newReport()
	reader, writer, err := os.Pipe()
	if err != nil {
		return report, err
	}
	defer reader.Close()
	run := exec.CommandContext(ctx, program, "-test.run", "^TestDays$", "-test.timeout", "0", "-days.report",
		"-days.seed", fmt.Sprint(d.Seed), "-days.count", fmt.Sprint(d.Count), "-days.plays", fmt.Sprint(d.Plays),
		"-days.time", d.Duration.String(), "-days.folder", d.Folder)
	run.ExtraFiles = []*os.File{writer}
	var out bytes.Buffer
	run.Stdout, run.Stderr = &out, &out
	if err := run.Start(); err != nil {
		return report, errors.Join(err, writer.Close())
	}
	_ = writer.Close()
	for results := json.NewDecoder(reader); ; {
		var r Result
		if err := results.Decode(&r); err != nil {
			break
		}
		report.add(&r)
		d.tell(&r, report)
	}
	// The program fails when a day was broken, of which its results tell; a program that ended otherwise played less.
	if err := run.Wait(); err != nil && report.Plays < d.Count*d.Plays {
		return report, fmt.Errorf("play of seed %d: %w: %s", d.Seed+uint64(report.Plays/d.Plays), err, out.Bytes())
	}
	return report, nil
}

func (d *Days) tell(r *Result, report *Report) {
	if d.JSON {
		return
	}
	if len(r.Broken) > 0 {
		fmt.Fprintf(d.Out, "seed %d: broken, %s; logs in %s\n", r.Seed, strings.Join(r.Broken, "; "), r.Folder)
	}
	if report.Plays%tellEvery == 0 {
		fmt.Fprintf(d.Out, "%d plays of %d, %d broken\n", report.Plays, d.Count*d.Plays, report.Broken)
	}
}

// Keep writes what is known of a broken play to a folder of its own.
func (r *Result) Keep(folder string) error {
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
