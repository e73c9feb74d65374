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

// The command `verbenabench days` runs this test program with other values.
var (
	seed   = flag.Uint64("days.seed", 1, "first seed")
	count  = flag.Int("days.count", 3, "number of days")
	plays  = flag.Int("days.plays", 1, "plays of each day")
	lasts  = flag.Duration("days.time", 15*time.Second, "time of a day in which faults come")
	folder = flag.String("days.folder", "", "folder for the logs of broken plays")
	report = flag.Bool("days.report", false, "write the results to file descriptor 3")
)

func TestMain(m *testing.M) {
	flag.Parse()
	// The library for calls between nodes logs each connection that ends; a panic is still written by the runtime.
	if null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0); err == nil {
		os.Stderr = null
	}
	// Goroutines of one processor run in an order that differs less from play to play.
	runtime.GOMAXPROCS(1)
	// A play takes less than 90 MB; less garbage collection saves a tenth of the time.
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// Guards the promises over whole days of real nodes under drawn faults that overlap; the short seeded run of what `verbenabench days` does
// for longer.
func TestDays(t *testing.T) {
	results := json.NewEncoder(t.Output())
	if *report {
		results = json.NewEncoder(os.NewFile(3, "results"))
	}
	for i := range *count {
		for n := range *plays {
			t.Run(fmt.Sprintf("%d-%d", *seed+uint64(i), n), func(t *testing.T) {
				r := play(t, *seed+uint64(i))
				if err := results.Encode(r); err != nil {
					t.Fatalf("result: got %v, want none", err)
				}
			})
		}
	}
}

func play(t *testing.T, seed uint64) (r days.Result) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = days.Play(t.Context(), seed, *lasts); err != nil {
			t.Errorf("play: got %v, want none", err)
		}
	})
	if len(r.Broken) == 0 {
		return r
	}
	if *folder == "" {
		*folder = os.TempDir()
	}
	if err := r.Keep(*folder); err != nil {
		t.Errorf("keep logs: got %v, want none", err)
	}
	t.Errorf("seed %d: got %s, want all promises kept; logs in %s", seed, strings.Join(r.Broken, "; "), r.Folder)
	return r
}

// Guards against a seed whose day is drawn anew in each play: a broken day has to be played again.
func TestSeedDrawsTheSameDay(t *testing.T) {
	draw := func(t *testing.T, seed uint64) (r days.Result) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			var err error
			if r, err = days.Play(t.Context(), seed, 3*time.Second); err != nil {
				t.Errorf("play: got %v, want none", err)
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

// Guards against days that are played with flags that mean nothing.
func TestCheckRefusesFlags(t *testing.T) {
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
