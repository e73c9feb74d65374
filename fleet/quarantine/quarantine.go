package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings are the figures of the rules; zero values mean the defaults.
type Settings struct {
	// Failures is the number of consecutive failures after which a worker is judged.
	Failures int
	// Kinds is the number of different job kinds among them.
	Kinds int
	// Window is how long results count.
	Window time.Duration
	// MaxShare is the part of a pool's workers, in hundredths, that may be in quarantine; one worker is always allowed in
	// a pool of at least two.
	MaxShare int
	// ProbeAfter is the first wait before a probe; it doubles after each failed probe up to MaxProbeAfter.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration
	// ProbeSuccesses is the number of successful probes in a row that release a worker.
	ProbeSuccesses int
}

// Default returns s with unset fields filled.
func (s Settings) Default() Settings {
	s.Failures = cmp.Or(s.Failures, 3)
	s.Kinds = cmp.Or(s.Kinds, 2)
	s.Window = cmp.Or(s.Window, 30*time.Minute)
	s.MaxShare = cmp.Or(s.MaxShare, 25)
	s.ProbeAfter = cmp.Or(s.ProbeAfter, time.Minute)
	s.MaxProbeAfter = cmp.Or(s.MaxProbeAfter, 32*time.Minute)
	s.ProbeSuccesses = cmp.Or(s.ProbeSuccesses, 2)
	return s
}

// Event is an input of Tracker.Handle.
type Event interface{ event() }

// WorkerUp says that a worker belongs to a pool.
type WorkerUp struct{ Worker, Pool string }

// WorkerDown says that a worker has left; what was known of it is dropped.
type WorkerDown struct{ Worker string }

// Result is the end of a job on a worker; a lost or hanging start counts as failed.
type Result struct {
	Worker string
	Kind   string
	Failed bool
}

// Started says that a worker runs a job of a kind. Failures are often quicker than successes: without the running jobs
// the first results of a kind would all be failures of bad workers.
type Started struct {
	Worker string
	Kind   string
}

// Tick lets probes become due.
type Tick struct{}

func (WorkerUp) event()   {}
func (WorkerDown) event() {}
func (Result) event()     {}
func (Started) event()    {}
func (Tick) event()       {}

// Action is an output of Tracker.Handle.
type Action interface{ action() }

// Quarantine keeps new jobs away from a worker.
type Quarantine struct{ Worker, Detail string }

// Caution limits a worker with recent failures to one repeatable job at a time until it succeeds or is judged, so that a
// worker that fails at once does not draw many jobs before their reports arrive.
type Caution struct{ Worker string }

// LiftCaution ends a caution.
type LiftCaution struct{ Worker string }

// Probe lets one job at a time run on a worker in quarantine.
type Probe struct{ Worker string }

// Release returns a worker to normal use.
type Release struct{ Worker, Detail string }

// Suspect says that a job kind fails on workers that run other kinds well.
type Suspect struct{ Kind, Detail string }

// Clear ends the suspicion against a job kind.
type Clear struct{ Kind string }

func (Quarantine) action()  {}
func (Caution) action()     {}
func (LiftCaution) action() {}
func (Probe) action()       {}
func (Release) action()     {}
func (Suspect) action()     {}
func (Clear) action()       {}

// Limits of memory: failures kept per worker, workers kept per kind, and kinds, of which the first seen goes first.
const (
	failuresKept = 16
	workersKept  = 64
	kindsKept    = 2048
)

// cautionAfter is the number of consecutive failures that make a worker cautious.
const cautionAfter = 2

type failure struct {
	kind string
	at   time.Time
}

type workerState struct {
	pool        string
	failures    []failure
	quarantined bool
	cautious    bool
	cautiousAt  time.Time
	probing     bool
	successes   int
	wait        time.Duration
	nextProbe   time.Time
}

// verdict is the last result of a kind on one worker.
type verdict struct {
	worker string
	failed bool
	// running means that there is no result yet.
	running bool
	at      time.Time
}

type kindState struct {
	verdicts []verdict
	suspect  bool
}

// Tracker holds the recent results of workers and kinds; it is not safe for concurrent use.
type Tracker struct {
	settings    Settings
	workers     map[string]*workerState
	kinds       map[string]*kindState
	size        map[string]int
	quarantined map[string]int
	cautious    map[string]bool
	kindOrder   []string
	now         time.Time
	out         []Action
}

// New returns a tracker without workers.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s.Default(), workers: map[string]*workerState{}, kinds: map[string]*kindState{},
		size: map[string]int{}, quarantined: map[string]int{}, cautious: map[string]bool{},
	}
}

// Handle applies an event that happened at the given time and returns the actions that follow from it.
func (t *Tracker) Handle(at time.Time, e Event) []Action {
	t.now, t.out = at, nil
	switch e := e.(type) {
	case WorkerUp:
		t.workerUp(e)
	case WorkerDown:
		t.workerDown(e.Worker)
	case Result:
		t.result(e)
	case Started:
		t.started(e)
	case Tick:
		t.tick()
	}
	return t.out
}

func (t *Tracker) workerUp(e WorkerUp) {
	if w := t.workers[e.Worker]; w != nil {
		if w.pool == e.Pool {
			return
		}
		t.workerDown(e.Worker)
	}
	t.workers[e.Worker] = &workerState{pool: e.Pool, wait: t.settings.ProbeAfter}
	t.size[e.Pool]++
}

func (t *Tracker) workerDown(id string) {
	w := t.workers[id]
	if w == nil {
		return
	}
	if w.quarantined {
		t.quarantined[w.pool]--
	}
	t.size[w.pool]--
	delete(t.cautious, id)
	delete(t.workers, id)
}

func (t *Tracker) result(e Result) {
	w := t.workers[e.Worker]
	if w == nil {
		return
	}
	// A worker in quarantine says nothing about the kinds of its jobs.
	if !w.quarantined {
		t.judgeKind(e)
	}
	switch {
	case w.quarantined:
		t.probed(e, w)
	case !e.Failed:
		w.failures = nil
		t.calm(e.Worker, w)
	default:
		w.failures = append(w.failures, failure{kind: e.Kind, at: t.now})
		if len(w.failures) > failuresKept {
			w.failures = slices.Delete(w.failures, 0, len(w.failures)-failuresKept)
		}
		t.judgeWorker(e.Worker, w)
	}
}

// judgeWorker quarantines a worker after enough consecutive failures that are not explained by the kinds of its jobs.
func (t *Tracker) judgeWorker(id string, w *workerState) {
	count, kinds := 0, map[string]bool{}
	provenKind := false
	for _, f := range w.failures {
		if t.now.Sub(f.at) > t.settings.Window || t.failsElsewhere(f.kind, id) {
			continue
		}
		count++
		kinds[f.kind] = true
		provenKind = provenKind || t.succeedsElsewhere(f.kind, id)
	}
	// One kind is enough when it succeeds on other workers; a pool may run a single kind for a long time.
	if count >= cautionAfter {
		t.warn(id, w)
	}
	if count < t.settings.Failures || (len(kinds) < t.settings.Kinds && !provenKind) {
		return
	}
	if t.quarantined[w.pool] >= t.limit(w.pool) {
		return
	}
	w.cautious = false
	delete(t.cautious, id)
	w.quarantined, w.probing, w.successes = true, false, 0
	w.nextProbe = t.now.Add(w.wait)
	t.quarantined[w.pool]++
	t.out = append(t.out, Quarantine{Worker: id, Detail: fmt.Sprintf(
		"%d consecutive failures of %d job kinds that do not fail elsewhere; %d of at most %d workers of pool %s in quarantine",
		count, len(kinds), t.quarantined[w.pool], t.limit(w.pool), w.pool)})
}

// warn makes a worker cautious, within the same bound as the quarantine.
func (t *Tracker) warn(id string, w *workerState) {
	taken := t.quarantined[w.pool]
	for other := range t.cautious {
		if t.workers[other].pool == w.pool {
			taken++
		}
	}
	if w.cautious || taken >= t.limit(w.pool) {
		return
	}
	w.cautious, w.cautiousAt = true, t.now
	t.cautious[id] = true
	t.out = append(t.out, Caution{Worker: id})
}

func (t *Tracker) calm(id string, w *workerState) {
	if w.cautious {
		w.cautious = false
		delete(t.cautious, id)
		t.out = append(t.out, LiftCaution{Worker: id})
	}
}

// limit is the number of workers of a pool that may be in quarantine.
func (t *Tracker) limit(pool string) int {
	n := t.size[pool]
	if n < 2 {
		return 0
	}
	return max(1, n*t.settings.MaxShare/100)
}

func (t *Tracker) probed(e Result, w *workerState) {
	if !w.probing {
		// A job that was started before the quarantine ended now.
		return
	}
	if e.Failed {
		w.probing, w.successes = false, 0
		w.wait = min(2*w.wait, t.settings.MaxProbeAfter)
		w.nextProbe = t.now.Add(w.wait)
		t.out = append(t.out, Quarantine{Worker: e.Worker, Detail: fmt.Sprintf("a probe job failed; next probe in %v", w.wait)})
		return
	}
	w.successes++
	if w.successes < t.settings.ProbeSuccesses {
		return
	}
	t.release(e.Worker, w, fmt.Sprintf("%d probe jobs succeeded", w.successes))
}

func (t *Tracker) release(id string, w *workerState, detail string) {
	w.quarantined, w.probing, w.failures = false, false, nil
	w.wait = t.settings.ProbeAfter
	t.quarantined[w.pool]--
	t.out = append(t.out, Release{Worker: id, Detail: detail})
}

func (t *Tracker) tick() {
	for _, id := range slices.Sorted(maps.Keys(t.cautious)) {
		// A pool without repeatable jobs would never clear the worker.
		if w := t.workers[id]; t.now.Sub(w.cautiousAt) >= t.settings.ProbeAfter {
			t.calm(id, w)
		}
	}
	ids := make([]string, 0)
	for id, w := range t.workers {
		if w.quarantined {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := t.workers[id]
		switch {
		case t.quarantined[w.pool] > t.limit(w.pool):
			t.release(id, w, "pool "+w.pool+" shrank and more than its bounded part was in quarantine")
		case !w.probing && !t.now.Before(w.nextProbe):
			w.probing = true
			t.out = append(t.out, Probe{Worker: id})
		}
	}
}

func (t *Tracker) started(e Started) {
	k := t.kind(e.Kind)
	if w := t.workers[e.Worker]; w == nil || w.quarantined {
		return
	}
	if slices.ContainsFunc(k.verdicts, func(v verdict) bool { return v.worker == e.Worker }) {
		return
	}
	k.add(verdict{worker: e.Worker, running: true, at: t.now})
}

func (t *Tracker) kind(name string) *kindState {
	k := t.kinds[name]
	if k == nil {
		if len(t.kindOrder) >= kindsKept {
			t.forget(t.kindOrder[0])
			t.kindOrder = t.kindOrder[1:]
		}
		k = &kindState{}
		t.kinds[name] = k
		t.kindOrder = append(t.kindOrder, name)
	}
	return k
}

// forget drops a kind; its suspicion ends with it.
func (t *Tracker) forget(name string) {
	if t.kinds[name].suspect {
		t.out = append(t.out, Clear{Kind: name})
	}
	delete(t.kinds, name)
}

func (k *kindState) add(v verdict) {
	k.verdicts = append(k.verdicts, v)
	if len(k.verdicts) > workersKept {
		k.verdicts = slices.Delete(k.verdicts, 0, len(k.verdicts)-workersKept)
	}
}

// judgeKind records a result of a kind and updates the suspicion against it.
func (t *Tracker) judgeKind(e Result) {
	k := t.kind(e.Kind)
	k.verdicts = slices.DeleteFunc(k.verdicts, func(v verdict) bool {
		return v.worker == e.Worker || t.now.Sub(v.at) > t.settings.Window
	})
	k.add(verdict{worker: e.Worker, failed: e.Failed, at: t.now})
	failed, total := t.count(k, "", true, true)
	suspect := failed >= t.settings.Failures && 2*failed > total
	switch {
	case suspect && !k.suspect:
		t.out = append(t.out, Suspect{Kind: e.Kind, Detail: fmt.Sprintf("last failed on %d of %d workers", failed, total)})
	case !suspect && k.suspect:
		t.out = append(t.out, Clear{Kind: e.Kind})
	}
	k.suspect = suspect
}

// count returns on how many workers other than except, and not in quarantine, the kind failed and ran last. With trusted
// it leaves out workers whose last results all failed: several workers of a rack often turn bad at once, and their
// failures must not be put down to the kinds.
func (t *Tracker) count(k *kindState, except string, trusted, running bool) (failed, total int) {
	for _, v := range k.verdicts {
		w := t.workers[v.worker]
		if v.worker == except || w == nil || w.quarantined || t.now.Sub(v.at) > t.settings.Window {
			continue
		}
		if (trusted && w.looksBad()) || (v.running && !running) {
			continue
		}
		total++
		if v.failed {
			failed++
		}
	}
	return failed, total
}

// looksBad reports whether the worker's last results are failures of several kinds.
func (w *workerState) looksBad() bool {
	n := len(w.failures)
	return n >= 2 && w.failures[n-1].kind != w.failures[n-2].kind
}

func (t *Tracker) elsewhere(kind, worker string) (failed, total int) {
	k := t.kinds[kind]
	if k == nil {
		return 0, 0
	}
	if failed, total = t.count(k, worker, true, false); total > 0 {
		return failed, total
	}
	return t.count(k, worker, false, false)
}

func (t *Tracker) failsElsewhere(kind, worker string) bool {
	failed, total := t.elsewhere(kind, worker)
	return failed > 0 && 2*failed >= total
}

func (t *Tracker) succeedsElsewhere(kind, worker string) bool {
	failed, total := t.elsewhere(kind, worker)
	return total-failed > 0 && 2*failed < total
}

// Quarantined returns how many workers of a pool are in quarantine.
func (t *Tracker) Quarantined(pool string) int { return t.quarantined[pool] }
