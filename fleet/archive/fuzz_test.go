package archive

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenalanding.example/fleet/internal/check" // sets the seed and the number of checks
)

// TestMain raises the number of checks and steps, since 100 checks of 30 steps do not reach races between three processes.
func TestMain(m *testing.M) {
	// Flags on the command line are parsed in Run and override these.
	for name, value := range map[string]string{"rapid.checks": "1500", "rapid.steps": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestFuzzArchive compares the report after every action with all counts except those that killed processes had not written. A longer run:
//
//	go test ./archive -run Fuzz -rapid.checks=20000 -rapid.seed=<n>
func TestFuzzArchive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(3)
		drawProcess := func() int { return rapid.IntRange(0, len(f.processes)-1).Draw(t, "process") }
		sweepAsNextHolder := func(s *faultyStore) {
			f.epoch++
			_ = f.merger(s, f.epoch).Sweep(context.Background())
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.check(t, "report") },
			"count": func(*rapid.T) {
				p := f.processes[drawProcess()]
				if len(p.parts) < maxHours-1 {
					// A process with a slow clock or without access to the store may count in hours that are already merged.
					age := rapid.SampledFrom([]time.Duration{0, 0, time.Hour, 2 * time.Hour, 11 * time.Hour}).Draw(t, "age")
					f.countAt(p, f.now.Add(-age), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), rapid.Uint64Range(0, 9).Draw(t, "good"), rapid.Uint64Range(0, 2).Draw(t, "bad"))
				}
			},
			"flush": func(*rapid.T) { _ = f.processes[drawProcess()].flush() },
			"fault": func(*rapid.T) {
				faulty := f.processes[drawProcess()].store
				faulty.down, faulty.loseAnswer, faulty.delayWrite = rapid.Bool().Draw(t, "down"), rapid.Bool().Draw(t, "lose"), rapid.Bool().Draw(t, "late")
			},
			"deliver late": func(*rapid.T) {
				faulty := f.processes[drawProcess()].store
				for _, write := range faulty.delayedWrites {
					write()
				}
				faulty.delayedWrites = nil
			},
			"replace": func(*rapid.T) {
				i := drawProcess()
				unflushed := f.processes[i].unflushed
				if lost := f.kill(t, i); lost > unflushed {
					t.Fatalf("requests lost: got %d, want at most %d counted since the last write", lost, unflushed)
				}
				f.startProcess()
			},
			"advance": func(*rapid.T) {
				f.now = f.now.Add(rapid.SampledFrom([]time.Duration{time.Minute, 20 * time.Minute, 70 * time.Minute, 10 * time.Hour}).Draw(t, "time"))
			},
			"sweep": func(*rapid.T) { _ = f.sweep() },
			"sweep killed, lost or late": func(*rapid.T) {
				faulty := &faultyStore{Store: f.store, killAt: rapid.IntRange(0, 30).Draw(t, "kill at"), loseAnswer: rapid.Bool().Draw(t, "lose"), delayWrite: rapid.Bool().Draw(t, "late")}
				sweepAsNextHolder(faulty)
				delayed := f.processes[drawProcess()].store
				delayed.delayedWrites = append(delayed.delayedWrites, faulty.delayedWrites...)
			},
			"sweep paused while others go on": func(*rapid.T) {
				faulty := &faultyStore{Store: f.store, pauseAt: rapid.IntRange(1, 30).Draw(t, "pause at")}
				p, steps := f.processes[drawProcess()], rapid.SliceOfN(rapid.IntRange(-3, 25), 0, 6).Draw(t, "steps")
				faulty.onPause = func() {
					for _, s := range steps {
						switch {
						case s < -1:
							_ = p.flush()
						case s == -1:
							f.now = f.now.Add(10 * time.Hour)
						default:
							sweepAsNextHolder(&faultyStore{Store: f.store, killAt: s})
						}
					}
				}
				_ = f.merger(faulty, f.epoch).Sweep(context.Background())
			},
			"read paused while the holder goes on": func(*rapid.T) {
				faulty := &faultyStore{Store: f.store, pauseAt: rapid.IntRange(1, 4).Draw(t, "pause at")}
				p, wait := f.processes[drawProcess()], rapid.SampledFrom([]time.Duration{0, 10 * time.Hour}).Draw(t, "wait")
				faulty.onPause = func() {
					_ = f.sweep()
					f.now = f.now.Add(wait)
					_ = f.sweep()
					if faulty.pauseAt == 1 {
						_ = p.flush()
					}
				}
				f.checkVia(t, "report during a merge", faulty)
			},
			"flush paused while others go on": func(*rapid.T) {
				p := f.processes[drawProcess()]
				p.store.pauseAt = p.store.calls + rapid.IntRange(1, 5).Draw(t, "pause at")
				p.store.onPause = func() {
					f.now = f.now.Add(2 * time.Hour)
					sweepAsNextHolder(&faultyStore{Store: f.store})
					f.now = f.now.Add(10 * time.Hour)
					_ = f.sweep()
				}
				_ = p.flush()
				p.store.pauseAt = 0
			},
		})
	})
}
