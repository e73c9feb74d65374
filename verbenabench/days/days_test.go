package days_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/verbenabench/days"
)

// The command `verbenabench days` sets these flags when it runs this test program.
var (
	seed     = flag.Uint64("days.seed", 1, "first seed")
	count    = flag.Int("days.count", 3, "number of days, with consecutive seeds")
	plays    = flag.Int("days.plays", 1, "number of simulations of each day")
	duration = flag.Duration("days.time", 15*time.Second, "simulated time per day in which faults are injected")
	folder   = flag.String("days.folder", "", "folder for the logs of simulations that break a promise")
	report   = flag.Bool("days.report", false, "write the results to file descriptor 3")
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The library for calls between nodes logs each closed connection to stderr. The runtime still writes panics there.
	if null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0); err == nil {
		os.Stderr = null
	}
	// With one processor the order of goroutines differs less between simulations of the same seed.
	runtime.GOMAXPROCS(1)
	// A simulation uses less than 90 MB, and fewer garbage collections save 10 % of the time.
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// Checks the promises in simulated days of real nodes under overlapping random faults. This is a short version of `verbenabench days` with
// fixed seeds.
func TestDays(t *testing.T) {
	results := json.NewEncoder(t.Output())
	if *report {
		results = json.NewEncoder(os.NewFile(3, "results"))
	}
	for i := range *count {
		for n := range *plays {
			t.Run(fmt.Sprintf("%d-%d", *seed+uint64(i), n), func(t *testing.T) {
				r := simulate(t, *seed+uint64(i))
				if err := results.Encode(r); err != nil {
					t.Fatalf("result: got %v, want none", err)
				}
			})
		}
	}
}

func simulate(t *testing.T, seed uint64) (r days.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = days.Simulate(t.Context(), seed, *duration); err != nil {
			t.Errorf("simulate: got %v, want none", err)
		}
	})
	if len(r.Broken) == 0 {
		return r
	}
	if *folder == "" {
		*folder = os.TempDir()
	}
	if err := r.SaveLogs(*folder); err != nil {
		t.Errorf("keep logs: got %v, want none", err)
	}
	t.Errorf("seed %d: got %s, want all promises kept; logs in %s", seed, strings.Join(r.Broken, "; "), r.Folder)
	return r
}

// Guards against a seed whose simulations differ in their generated faults and jobs, so that a failure could not be reproduced.
func TestSameSeedGeneratesTheSameDay(t *testing.T) {
	draw := func(t *testing.T, seed uint64) (r days.Result) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var err error
			if r, err = days.Simulate(t.Context(), seed, 3*time.Second); err != nil {
				t.Errorf("simulate: got %v, want none", err)
			}
		})
		return r
	}
	first, again, other := draw(t, 5), draw(t, 5), draw(t, 6)
	if first.Script != again.Script {
		t.Errorf("day of a seed: got %s and %s, want the same", first.Script, again.Script)
	}
	if first.Script == other.Script {
		t.Errorf("days of two seeds: got %s twice, want two", first.Script)
	}
}

// Guards against simulations with flags out of their range.
func TestCheckRejectsInvalidFlags(t *testing.T) {
	for _, c := range []struct {
		field string
		days  days.Days
	}{
		{"--days", days.Days{Plays: 1, Duration: time.Minute}},
		{"--days", days.Days{Count: -1, Plays: 1, Duration: time.Minute}},
		{"--plays", days.Days{Count: 1, Duration: time.Minute}},
		{"--time", days.Days{Count: 1, Plays: 1, Duration: -time.Second}},
		{"--time", days.Days{Count: 1, Plays: 1, Duration: time.Hour}},
		{"--folder", days.Days{Count: 1, Plays: 1, Duration: time.Minute, Folder: "days_test.go"}},
		{"--folder", days.Days{Count: 1, Plays: 1, Duration: time.Minute, Folder: "no-such-folder"}},
		{"--seed", days.Days{Seed: 1<<64 - 1, Count: 2, Plays: 1, Duration: time.Minute}},
	} {
		var out bytes.Buffer
		c.days.Out = &out
		err := c.days.Run(t.Context())
		if !errors.Is(err, days.ErrFlags) || !strings.Contains(fmt.Sprint(err), c.field+" is") {
			t.Errorf("%+v: got %v, want %v with %s", c.days, err, days.ErrFlags, c.field)
		}
		if out.Len() > 0 {
			t.Errorf("output: got %q, want none", out.String())
		}
	}
}
