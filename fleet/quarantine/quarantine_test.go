package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/internal/check"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newPool(n int) *Tracker {
	t := New(Settings{})
	for i := range n {
		t.Handle(begin, WorkerUp{Worker: fmt.Sprintf("w%d", i), Pool: "a"})
	}
	return t
}

func handleResult(t *Tracker, at time.Time, worker, kind string, failed bool) []Action {
	return t.Handle(at, Result{Worker: worker, Kind: kind, Failed: failed})
}

func count[T Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

// A worker on which jobs fail must be quarantined after three failures, probed with increasing delays, and released after two
// successful probes.
func TestBadWorkerIsQuarantinedProbedAndReleased(t *testing.T) {
	q := newPool(4)
	for _, k := range []string{"x", "y"} {
		handleResult(q, begin, "w1", k, false)
	}
	var actions []Action
	for i := range 3 {
		actions = append(actions, handleResult(q, begin, "w0", []string{"x", "y"}[i%2], true)...)
	}
	check.Equal(t, "quarantined after 3 failures", count[Quarantine](actions), 1)
	check.Equal(t, "probes before the delay has passed", count[Probe](q.Handle(begin.Add(59*time.Second), Tick{})), 0)
	check.Equal(t, "probes", count[Probe](q.Handle(begin.Add(time.Minute), Tick{})), 1)
	handleResult(q, begin.Add(time.Minute), "w0", "x", true)
	check.Equal(t, "probes 1 min after a failed one", count[Probe](q.Handle(begin.Add(2*time.Minute), Tick{})), 0)
	check.Equal(t, "probes", count[Probe](q.Handle(begin.Add(3*time.Minute), Tick{})), 1)
	check.Equal(t, "released after one success", count[Release](handleResult(q, begin.Add(3*time.Minute), "w0", "x", false)), 0)
	check.Equal(t, "released after two", count[Release](handleResult(q, begin.Add(3*time.Minute), "w0", "y", false)), 1)
}

// A job kind that fails on every worker must become suspect and must not get workers quarantined.
func TestBadKindIsSuspected(t *testing.T) {
	q := newPool(8)
	var actions []Action
	for i := range 64 {
		w := fmt.Sprintf("w%d", i%8)
		actions = append(actions, handleResult(q, begin, w, "good", false)...)
		actions = append(actions, handleResult(q, begin, w, "bad", true)...)
		actions = append(actions, handleResult(q, begin, w, "bad", true)...)
		actions = append(actions, handleResult(q, begin, w, "bad", true)...)
	}
	check.Equal(t, "quarantined", count[Quarantine](actions), 0)
	check.Equal(t, "suspected", count[Suspect](actions), 1)
	// A failure of another kind after two failures of the bad kind is no evidence against the worker.
	for _, kind := range []string{"bad", "bad", "good"} {
		actions = append(actions, handleResult(q, begin, "w0", kind, true)...)
	}
	check.Equal(t, "quarantined", count[Quarantine](actions), 0)
	actions = nil
	for i := range 8 {
		actions = append(actions, handleResult(q, begin, fmt.Sprintf("w%d", i), "bad", false)...)
	}
	check.Equal(t, "cleared", count[Clear](actions), 1)
}

// When many workers of a pool turn bad at the same time, their failures must not be attributed to the job kinds that ran
// there.
func TestManyBadWorkersDoNotMakeKindsSuspect(t *testing.T) {
	for _, bad := range []int{4, 10} {
		q := newPool(16)
		var actions []Action
		for round := range 6 {
			for i := range 16 {
				kind := []string{"x", "y", "z"}[(round+i)%3]
				actions = append(actions, handleResult(q, begin.Add(time.Duration(round)*time.Second), fmt.Sprintf("w%d", i), kind, i < bad)...)
			}
		}
		check.Equal(t, "quarantined", q.Quarantined("a"), 4)
		// The first results of many bad workers look like failures of the kinds; later results must clear the kinds.
		check.Equal(t, "kinds still suspected", count[Suspect](actions)-count[Clear](actions), 0)
		check.True(t, "no kind suspected because of a minority of workers", bad == 10 || count[Suspect](actions) == 0)
	}
}

// Failures on bad workers come sooner than the first successes of slow jobs. They must not make the kind suspect while jobs of
// it run on other workers.
func TestRunningJobsCountForTheirKind(t *testing.T) {
	q := newPool(16)
	for i := range 16 {
		q.Handle(begin, Started{Worker: fmt.Sprintf("w%d", i), Kind: "slow"})
	}
	var actions []Action
	for i := range 6 {
		actions = append(actions, handleResult(q, begin, fmt.Sprintf("w%d", i), "slow", true)...)
	}
	check.Equal(t, "suspected", count[Suspect](actions), 0)
}

// A worker on which jobs fail immediately must not receive many jobs before it is quarantined.
func TestCautionAfterTwoFailures(t *testing.T) {
	q := newPool(4)
	check.Equal(t, "cautions", count[Caution](handleResult(q, begin, "w0", "x", true)), 0)
	check.Equal(t, "cautions", count[Caution](handleResult(q, begin, "w0", "x", true)), 1)
	check.Equal(t, "lifted cautions", count[LiftCaution](handleResult(q, begin, "w0", "x", false)), 1)
}

// At most a quarter of a pool, or one worker of a small pool, may be in quarantine. A longer run:
//
//	go test ./quarantine -run TestFuzzQuarantineLimit -rapid.checks=100000
func TestFuzzQuarantineLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		q := newPool(size)
		now := begin
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			w := fmt.Sprintf("w%d", rapid.IntRange(0, size-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "s")) * time.Second)
				q.Handle(now, Tick{})
			case 1:
				q.Handle(now, WorkerDown{Worker: w})
				q.Handle(now, Tick{})
			case 2:
				q.Handle(now, WorkerUp{Worker: w, Pool: "a"})
			case 3:
				q.Handle(now, Started{Worker: w, Kind: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "kind")})
			default:
				kind := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "kind")
				handleResult(q, now, w, kind, rapid.IntRange(0, 2).Draw(t, "failed") > 0)
			}
			quarantined, limit := 0, q.limit("a")
			for _, w := range q.workers {
				if w.quarantined {
					quarantined++
				}
			}
			if quarantined != q.Quarantined("a") || quarantined > limit {
				t.Fatalf("quarantined: got %d, counted %d, want at most %d", quarantined, q.Quarantined("a"), limit)
			}
		}
	})
}

// Callers that use a new kind for every job must not make the tracker's memory grow without limit.
func TestKindsAreBounded(t *testing.T) {
	q := newPool(4)
	for i := range 3 * maxKinds {
		handleResult(q, begin, fmt.Sprintf("w%d", i%4), fmt.Sprintf("k%d", i), i%4 == 0)
	}
	check.Equal(t, "kinds", len(q.kinds), maxKinds)
}
