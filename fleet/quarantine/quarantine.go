package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings configures the quarantine rules; zero values mean the defaults.
type Settings struct {
	// Failures is the number of consecutive failures after which a worker may be quarantined.
	Failures int
	// Kinds is the minimum number of different job kinds among these failures.
	Kinds int
	// Window is how long the result of a job counts.
	Window time.Duration
	// MaxShare is the percentage of a pool's workers that may be in quarantine; in a pool of at least two, one worker always
	// may.
	MaxShare int
	// ProbeAfter is the delay before the first probe; it doubles after each failed probe up to MaxProbeAfter.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration
	// ProbeSuccesses is the number of consecutive successful probes after which a worker is released.
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

// Limits that bound the memory: failures per worker, workers per kind, and kinds, of which the oldest is evicted first.
const (
	maxFailures       = 16
	maxWorkersPerKind = 64
	maxKinds          = 2048
)

// cautionAfter is the number of consecutive failures after which a worker is put on caution.
const cautionAfter = 2

type failure struct {
	kind string
	at   time.Time
}

type workerState struct {
	pool        string
	failures    []failure
	quarantined bool
	onCaution   bool
	cautionedAt time.Time
	probing     bool
	successes   int
	probeDelay  time.Duration
	nextProbe   time.Time
}

// kindResult is the last result of a job kind on one worker.
type kindResult struct {
	worker string
	failed bool
	// running means that the first job of the kind there has no result yet.
	running bool
	at      time.Time
}

type kindState struct {
	results []kindResult
	suspect bool
}

// Tracker holds the recent results of workers and job kinds; it is not safe for concurrent use.
type Tracker struct {
	settings    Settings
	workers     map[string]*workerState
	kinds       map[string]*kindState
	poolSize    map[string]int
	quarantined map[string]int
	cautions    map[string]bool
	kindOrder   []string
	now         time.Time
	actions     []Action
}

// New returns a tracker without workers.
func New(s Settings) *Tracker {
	return &Tracker{
		settings: s.Default(), workers: map[string]*workerState{}, kinds: map[string]*kindState{},
		poolSize: map[string]int{}, quarantined: map[string]int{}, cautions: map[string]bool{},
	}
}

// Handle applies an event that happened at the given time and returns the actions that follow from it.
func (t *Tracker) Handle(at time.Time, e Event) []Action {
	t.now, t.actions = at, nil
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
	return t.actions
}

func (t *Tracker) workerUp(e WorkerUp) {
	if w := t.workers[e.Worker]; w != nil {
		if w.pool == e.Pool {
			return
		}
		t.workerDown(e.Worker)
	}
	t.workers[e.Worker] = &workerState{pool: e.Pool, probeDelay: t.settings.ProbeAfter}
	t.poolSize[e.Pool]++
}

func (t *Tracker) workerDown(id string) {
	w := t.workers[id]
	if w == nil {
		return
	}
	if w.quarantined {
		t.quarantined[w.pool]--
	}
	t.poolSize[w.pool]--
	delete(t.cautions, id)
	delete(t.workers, id)
}

func (t *Tracker) result(e Result) {
	w := t.workers[e.Worker]
	if w == nil {
		return
	}
	// Results from a worker in quarantine are no evidence about the job kinds.
	if !w.quarantined {
		t.evaluateKind(e)
	}
	switch {
	case w.quarantined:
		t.probeResult(e, w)
	case !e.Failed:
		w.failures = nil
		t.liftCaution(e.Worker, w)
	default:
		w.failures = append(w.failures, failure{kind: e.Kind, at: t.now})
		if len(w.failures) > maxFailures {
			w.failures = slices.Delete(w.failures, 0, len(w.failures)-maxFailures)
		}
		t.evaluateWorker(e.Worker, w)
	}
}

// evaluateWorker quarantines a worker after enough consecutive failures that its job kinds do not explain.
func (t *Tracker) evaluateWorker(id string, w *workerState) {
	count, kinds := 0, map[string]bool{}
	succeedingKind := false
	for _, f := range w.failures {
		if t.now.Sub(f.at) > t.settings.Window || t.failsElsewhere(f.kind, id) {
			continue
		}
		count++
		kinds[f.kind] = true
		succeedingKind = succeedingKind || t.succeedsElsewhere(f.kind, id)
	}
	// One kind is enough if it succeeds on other workers, since a pool may run a single kind for a long time.
	if count >= cautionAfter {
		t.caution(id, w)
	}
	if count < t.settings.Failures || (len(kinds) < t.settings.Kinds && !succeedingKind) {
		return
	}
	if t.quarantined[w.pool] >= t.limit(w.pool) {
		return
	}
	w.onCaution = false
	delete(t.cautions, id)
	w.quarantined, w.probing, w.successes = true, false, 0
	w.nextProbe = t.now.Add(w.probeDelay)
	t.quarantined[w.pool]++
	t.actions = append(t.actions, Quarantine{Worker: id, Detail: fmt.Sprintf(
		"%d consecutive failures of %d job kinds that do not fail elsewhere; %d of at most %d workers of pool %s in quarantine",
		count, len(kinds), t.quarantined[w.pool], t.limit(w.pool), w.pool)})
}

// caution puts a worker on caution, within the same limit per pool as quarantine.
func (t *Tracker) caution(id string, w *workerState) {
	restricted := t.quarantined[w.pool]
	for other := range t.cautions {
		if t.workers[other].pool == w.pool {
			restricted++
		}
	}
	if w.onCaution || restricted >= t.limit(w.pool) {
		return
	}
	w.onCaution, w.cautionedAt = true, t.now
	t.cautions[id] = true
	t.actions = append(t.actions, Caution{Worker: id})
}

func (t *Tracker) liftCaution(id string, w *workerState) {
	if w.onCaution {
		w.onCaution = false
		delete(t.cautions, id)
		t.actions = append(t.actions, LiftCaution{Worker: id})
	}
}

// limit returns the number of workers of a pool that may be in quarantine.
func (t *Tracker) limit(pool string) int {
	n := t.poolSize[pool]
	if n < 2 {
		return 0
	}
	return max(1, n*t.settings.MaxShare/100)
}

func (t *Tracker) probeResult(e Result, w *workerState) {
	if !w.probing {
		// The job was started before the quarantine, so it is not a probe.
		return
	}
	if e.Failed {
		w.probing, w.successes = false, 0
		w.probeDelay = min(2*w.probeDelay, t.settings.MaxProbeAfter)
		w.nextProbe = t.now.Add(w.probeDelay)
		t.actions = append(t.actions, Quarantine{Worker: e.Worker, Detail: fmt.Sprintf("a probe job failed; next probe in %v", w.probeDelay)})
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
	w.probeDelay = t.settings.ProbeAfter
	t.quarantined[w.pool]--
	t.actions = append(t.actions, Release{Worker: id, Detail: detail})
}

func (t *Tracker) tick() {
	for _, id := range slices.Sorted(maps.Keys(t.cautions)) {
		// Cautions expire, since in a pool without repeatable jobs no job would ever lift them.
		if w := t.workers[id]; t.now.Sub(w.cautionedAt) >= t.settings.ProbeAfter {
			t.liftCaution(id, w)
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
			t.actions = append(t.actions, Probe{Worker: id})
		}
	}
}

func (t *Tracker) started(e Started) {
	k := t.kind(e.Kind)
	if w := t.workers[e.Worker]; w == nil || w.quarantined {
		return
	}
	if slices.ContainsFunc(k.results, func(v kindResult) bool { return v.worker == e.Worker }) {
		return
	}
	k.add(kindResult{worker: e.Worker, running: true, at: t.now})
}

func (t *Tracker) kind(name string) *kindState {
	k := t.kinds[name]
	if k == nil {
		if len(t.kindOrder) >= maxKinds {
			t.evictKind(t.kindOrder[0])
			t.kindOrder = t.kindOrder[1:]
		}
		k = &kindState{}
		t.kinds[name] = k
		t.kindOrder = append(t.kindOrder, name)
	}
	return k
}

// evictKind removes a kind and clears it if it is suspect.
func (t *Tracker) evictKind(name string) {
	if t.kinds[name].suspect {
		t.actions = append(t.actions, Clear{Kind: name})
	}
	delete(t.kinds, name)
}

func (k *kindState) add(v kindResult) {
	k.results = append(k.results, v)
	if len(k.results) > maxWorkersPerKind {
		k.results = slices.Delete(k.results, 0, len(k.results)-maxWorkersPerKind)
	}
}

// evaluateKind records a result of a kind and updates whether the kind is suspect.
func (t *Tracker) evaluateKind(e Result) {
	k := t.kind(e.Kind)
	k.results = slices.DeleteFunc(k.results, func(v kindResult) bool {
		return v.worker == e.Worker || t.now.Sub(v.at) > t.settings.Window
	})
	k.add(kindResult{worker: e.Worker, failed: e.Failed, at: t.now})
	failed, total := t.count(k, "", true, true)
	suspect := failed >= t.settings.Failures && 2*failed > total
	switch {
	case suspect && !k.suspect:
		t.actions = append(t.actions, Suspect{Kind: e.Kind, Detail: fmt.Sprintf("last failed on %d of %d workers", failed, total)})
	case !suspect && k.suspect:
		t.actions = append(t.actions, Clear{Kind: e.Kind})
	}
	k.suspect = suspect
}

// count returns on how many workers the last job of the kind failed, and on how many the kind ran at all. Workers in
// quarantine and the worker except do not count. With trusted, neither do workers whose last jobs of several kinds failed:
// several workers of a rack often turn bad at the same time, and their failures must not be attributed to the job kinds.
// With running, workers on which the kind is running without a result yet are included in the total.
func (t *Tracker) count(k *kindState, except string, trusted, running bool) (failed, total int) {
	for _, v := range k.results {
		w := t.workers[v.worker]
		if v.worker == except || w == nil || w.quarantined || t.now.Sub(v.at) > t.settings.Window {
			continue
		}
		if (trusted && w.failsSeveralKinds()) || (v.running && !running) {
			continue
		}
		total++
		if v.failed {
			failed++
		}
	}
	return failed, total
}

// failsSeveralKinds reports whether the worker's last two results are failures of different kinds.
func (w *workerState) failsSeveralKinds() bool {
	n := len(w.failures)
	return n >= 2 && w.failures[n-1].kind != w.failures[n-2].kind
}

// countElsewhere returns how often a kind failed and ran on other workers. It falls back to untrusted workers when there are no
// results from trusted ones.
func (t *Tracker) countElsewhere(kind, worker string) (failed, total int) {
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
	failed, total := t.countElsewhere(kind, worker)
	return failed > 0 && 2*failed >= total
}

func (t *Tracker) succeedsElsewhere(kind, worker string) bool {
	failed, total := t.countElsewhere(kind, worker)
	return total-failed > 0 && 2*failed < total
}

// Quarantined returns how many workers of a pool are in quarantine.
func (t *Tracker) Quarantined(pool string) int { return t.quarantined[pool] }
