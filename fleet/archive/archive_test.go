package archive

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

func TestWriter(t *testing.T) {
	t.Run("a killed process loses what it counted since its last write", func(t *testing.T) {
		f := newFixture(2)
		f.count(f.processes[0], "sizeMatch", 100, 3)
		check.NoError(t, f.processes[0].flush())
		f.count(f.processes[0], "sizeMatch", 7, 0)
		f.check(t, "before the kill")
		check.Equal(t, "lost requests", f.kill(t, 0), uint64(7))
		f.check(t, "after the kill")
		check.True(t, "counts are written within a minute", DefaultInterval+callTimeout < time.Minute)
	})
	t.Run("a lost answer counts once", func(t *testing.T) {
		f := newFixture(1)
		for range 2 {
			f.processes[0].store.loseAnswer = true
			f.count(f.processes[0], "sizeMatch", 5, 1)
			check.ErrorIs(t, f.processes[0].flush(), store.ErrUnavailable)
			f.check(t, "after the lost answer")
			f.count(f.processes[0], "sizeMatch", 2, 0)
			check.NoError(t, f.processes[0].flush())
			f.check(t, "after the repeated write")
			check.Equal(t, "pending hours", len(f.processes[0].Pending()), 0)
		}
	})
	t.Run("an outage keeps a bounded number of hours and services", func(t *testing.T) {
		f := newFixture(1)
		p := f.processes[0]
		p.store.down = true
		for range maxHours + 2 {
			f.count(p, "sizeMatch", 1, 0)
			check.ErrorIs(t, p.flush(), store.ErrUnavailable)
			f.now = f.now.Add(time.Hour)
		}
		check.Equal(t, "pending hours", len(p.Pending()), maxHours)
		check.Equal(t, "dropped requests", p.Dropped(), uint64(2))
		p.store.down, f.now = false, f.now.Add(2*settleTime)
		check.NoError(t, p.flush())
		check.Equal(t, "parts after one flush", f.countKeys(t, partPrefix), hoursPerFlush)
		for range maxHours / hoursPerFlush {
			check.NoError(t, p.flush())
		}
		check.Equal(t, "parts", f.countKeys(t, partPrefix), maxHours)
		check.Equal(t, "hours in memory", len(p.parts), 0)
		for n := range maxServices + 5 {
			p.Count(f.now, string(rune('a'+n)), burn.Counts{Good: 1})
		}
		check.Equal(t, "dropped requests after too many services", p.Dropped(), uint64(7))
	})
	t.Run("a late create of a part that was merged since counts once", func(t *testing.T) {
		f := newFixture(1)
		p := f.processes[0]
		f.count(p, "sizeMatch", 5, 0)
		p.store.loseAnswer = true
		check.ErrorIs(t, p.flush(), store.ErrUnavailable)
		f.now = f.now.Add(time.Hour + hourMergeDelay)
		check.NoError(t, f.sweep())
		check.Equal(t, "parts after the merge", f.countKeys(t, partPrefix), 0)
		check.NoError(t, p.flush())
		f.countAt(p, begin, "sizeMatch", 3, 0)
		f.check(t, "while the counts are pending")
		check.NoError(t, p.flush())
		f.check(t, "after the write")
		check.NoError(t, f.sweep())
		f.check(t, "after the second merge")
	})
	t.Run("counting does not wait for the store", func(t *testing.T) {
		f := newFixture(1)
		p := f.processes[0]
		p.store.pauseAt, p.store.onPause = 1, func() { f.count(p, "sizeMatch", 1, 0) }
		f.count(p, "sizeMatch", 1, 0)
		check.NoError(t, p.flush())
		f.check(t, "after the write")
	})
}

// Guards against a holder that was paused at any of its store calls and changes records after another holder has taken over.
func TestFencedHolderChangesNothing(t *testing.T) {
	for _, timePerSweep := range []time.Duration{0, blockMergeDelay + 5*time.Hour} {
		for callNumber := 1; ; callNumber++ {
			f := newFixture(2)
			writeFinishedHour(t, f)
			var before map[string]store.Revision
			faulty := &faultyStore{Store: f.store, pauseAt: callNumber, onPause: func() {
				f.epoch = 2
				for range 2 {
					check.NoError(t, f.sweep())
					f.now = f.now.Add(timePerSweep)
				}
				before = f.revisions(t)
			}}
			err := f.merger(faulty, 1).Sweep(context.Background())
			f.check(t, "after the paused holder")
			if before == nil {
				check.NoError(t, err)
				check.True(t, "a sweep makes more than 10 calls", callNumber > 10)
				break
			}
			if timePerSweep == 0 {
				check.Equal(t, "keys and revisions", f.revisions(t), before)
			}
			check.ErrorIs(t, f.merger(&faultyStore{Store: f.store}, 1).Sweep(context.Background()), record.ErrFenced)
			if timePerSweep > 0 {
				// The paused holder may have created the hour record again. Parts that are written late must not be merged into it.
				f.countAt(f.processes[0], begin, "sizeMatch", 3, 0)
				check.NoError(t, f.processes[0].flush())
			}
			for range 3 {
				check.NoError(t, f.sweep())
				f.check(t, "after the next sweep")
			}
			check.Equal(t, "keys after the next sweeps", len(f.revisions(t)), len(before))
		}
	}
}

// Guards against counts that are lost or counted twice when a holder is killed at any of its store calls and its successor repeats the
// step, or when it is paused there while a process writes late counts of the hour and a second holder is killed.
func TestMergeKilledOrPausedAtEveryCall(t *testing.T) {
	for _, mergeIntoBlock := range []bool{false, true} {
		for callNumber, calls := 1, 2; callNumber < calls; callNumber++ {
			for successorKillAt := range 35 {
				f := newFixture(2)
				writeFinishedHour(t, f)
				if mergeIntoBlock {
					check.NoError(t, f.sweep())
					f.now = f.now.Add(blockMergeDelay + blockHours*time.Hour)
				}
				p, faulty := f.processes[0], &faultyStore{Store: f.store, killAt: callNumber}
				if successorKillAt > 0 {
					faulty.killAt, faulty.pauseAt = 0, callNumber
				}
				faulty.onPause = func() {
					f.countAt(p, begin, "sizeMatch", 3, 0)
					_, _ = p.flush(), p.flush()
					f.epoch++
					_ = f.merger(&faultyStore{Store: f.store, killAt: successorKillAt}, f.epoch).Sweep(context.Background())
				}
				_ = f.merger(faulty, f.epoch).Sweep(context.Background())
				calls = max(calls, faulty.calls)
				f.check(t, "after the first holder")
				f.epoch++
				for range 3 {
					check.NoError(t, f.sweep())
					check.NoError(t, p.flush())
					f.check(t, "after the successor")
				}
				check.Equal(t, "parts", f.countKeys(t, partPrefix), 0)
				check.Equal(t, "blocks", f.countKeys(t, blockPrefix) == 1, mergeIntoBlock)
				check.Equal(t, "hours", f.countKeys(t, hourPrefix) == 1, !mergeIntoBlock)
			}
		}
	}
}

// Guards against the merge of an hour that processes may still write or whose parts are not merged, and against a merge into a block that a
// holder with a higher epoch has written.
func TestMergeNotDue(t *testing.T) {
	f := newFixture(1)
	f.count(f.processes[0], "sizeMatch", 1, 0)
	check.NoError(t, f.processes[0].flush())
	f.now = begin.Add(time.Hour + hourMergeDelay - time.Second)
	check.NoError(t, f.sweep())
	check.Equal(t, "hour records before the merge delay", f.countKeys(t, hourPrefix), 0)
	f.now = f.now.Add(20 * time.Hour)
	_, err := record.Save(context.Background(), f.store, hourKey(hourOf(begin)), mergedRecord{Counts: Table{}}, 0, 0)
	check.NoError(t, err)
	check.NoError(t, f.merger(&faultyStore{Store: f.store}, 1).mergeHours(context.Background()))
	check.Equal(t, "hour records whose parts are not merged", f.countKeys(t, hourPrefix), 1)
	_, err = record.Save(context.Background(), f.store, blockKey(hourOf(begin)), mergedRecord{Epoch: 2, Counts: Table{}}, 0, 0)
	check.NoError(t, err)
	check.ErrorIs(t, f.sweep(), record.ErrFenced)
}

// Guards against counts that are deleted before the window has passed, and against records that are never deleted.
func TestExpiry(t *testing.T) {
	f := newFixture(2)
	f.window = 30 * 24 * time.Hour
	writeFinishedHour(t, f)
	check.NoError(t, f.sweep())
	f.now = begin.Add(30 * 24 * time.Hour)
	check.NoError(t, f.sweep())
	f.check(t, "within the window")
	f.now = f.now.Add(2 * blockHours * time.Hour)
	check.NoError(t, f.sweep())
	check.Equal(t, "keys after expiry", len(f.revisions(t)), 1)
}

// Guards against wrong counts in a window of a series that is filled from the archive, whose records differ in resolution.
func TestSeriesFromArchive(t *testing.T) {
	f := newFixture(1)
	p := f.processes[0]
	for range 30 * 24 {
		f.count(p, "sizeMatch", 99, 1)
		check.NoError(t, p.flush())
		f.now = f.now.Add(time.Hour)
		check.NoError(t, f.sweep())
	}
	f.count(p, "sizeMatch", 50, 0)
	check.NoError(t, p.flush())
	listCalls, s := f.store.Calls()["list"], burn.NewSeries(30*24*time.Hour)
	check.NoError(t, Read(context.Background(), f.store, nil, func(_ string, at time.Time, span time.Duration, c burn.Counts) {
		s.AddSpan(at, span, c)
	}))
	t.Logf("list calls of a report: %d", f.store.Calls()["list"]-listCalls)
	// The window of 5 min needs slots of 10 s, which only the live processes have.
	for window, want := range map[time.Duration]uint64{5 * time.Minute: 0, 6 * time.Hour: 550, 30 * 24 * time.Hour: 71750} {
		check.Equal(t, window.String(), s.Sum(f.now, window).Total(), want)
	}
}
