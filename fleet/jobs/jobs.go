package jobs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/chart"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/quarantine"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// DefaultShards is the number of jobs shards of a deployment.
const DefaultShards = 8

// States of the job chart.
const (
	accepted  = "accepted"
	placed    = "placed"
	starting  = "starting"
	running   = "running"
	succeeded = "succeeded"
	failed    = "failed"
	unknown   = "unknown"
	cancelled = "cancelled"
)

// ruleAccepted is the reason of a job that no holder has explained yet.
const ruleAccepted = "accepted"

var jobChart = chart.MustLoad(chart.Job)

// ShardOf returns the shard that places the jobs of a pool. All jobs of a pool are placed by one shard, and an instance
// is in one pool, so no two shards ever reserve on the same worker.
func ShardOf(pool string, shards int) int {
	return int(xxhash.Sum64String(pool) % uint64(shards))
}

// Key returns the store's key of a job.
func Key(shard int, id string) string { return prefix(shard) + id }

func prefix(shard int) string { return record.JobPrefix + strconv.Itoa(shard) + "/" }

// TaskID returns the id of the task that an attempt of a job runs as.
func TaskID(job string, attempt int) string { return job + "#" + strconv.Itoa(attempt) }

func splitTask(id string) (job string, attempt int) {
	job, number, _ := strings.Cut(id, "#")
	attempt, _ = strconv.Atoi(number)
	return job, attempt
}

// Timing is the times of the duty loop; zero values mean the defaults.
type Timing struct {
	// StepEvery is the time between two steps of Run.
	StepEvery time.Duration
	// LeaseFor is the length of task leases; they are renewed after a third of it.
	LeaseFor time.Duration
	// ReportEvery is the time between two usage reports of a worker.
	ReportEvery time.Duration
	// CallTimeout bounds one call to a worker.
	CallTimeout time.Duration
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// UsageLag is the greatest age of usage reports.
	UsageLag time.Duration
	// ClockSkew is the greatest difference between two clocks.
	ClockSkew time.Duration
	// RetryAfter is the wait after a failure of a job; it doubles with each further one.
	RetryAfter time.Duration
	// Retention is how long final records stay in the store.
	Retention time.Duration
}

// Default returns t with unset fields filled.
func (t Timing) Default() Timing {
	t.StepEvery = cmp.Or(t.StepEvery, 250*time.Millisecond)
	// A take-over with a slow store takes up to 40 s; running tasks must outlive it.
	t.LeaseFor = cmp.Or(t.LeaseFor, time.Minute)
	t.ReportEvery = cmp.Or(t.ReportEvery, time.Second)
	t.CallTimeout = cmp.Or(t.CallTimeout, time.Second)
	// The slowest store answers in 2 s.
	t.StoreTimeout = cmp.Or(t.StoreTimeout, 3*time.Second)
	t.UsageLag = cmp.Or(t.UsageLag, 5*time.Second)
	t.ClockSkew = cmp.Or(t.ClockSkew, 4*time.Second)
	t.RetryAfter = cmp.Or(t.RetryAfter, time.Second)
	t.Retention = cmp.Or(t.Retention, 6*time.Hour)
	return t
}

// Limits of one step, which keep the shards together within their share of the store's writes.
const (
	maxWrites     = 24
	writersAtOnce = 8
	workersAtOnce = 64
	// maxFailures is the number of failures on unsuspected workers after which a repeatable job is not run again.
	maxFailures = 3
	// maxAttempts bounds the failures on all workers.
	maxAttempts = 10
)

// Holder is the duty loop of the holder of jobs/<shard>; set the exported fields before Run or Step.
type Holder struct {
	Store   store.Store
	Workers platform.Workers
	Epoch   record.Epoch
	Shard   int
	// Shards is the number of shards; DefaultShards when 0.
	Shards int
	// Configuration returns the configuration and its revision.
	Configuration func() (declaration.Set, uint64)
	// Members returns the instance records.
	Members func() []record.Instance
	// Valid reports whether the duty's lease still holds; nil means always. Without it nothing new is started.
	Valid      func() bool
	Now        func() time.Time
	Log        zerolog.Logger
	Timing     Timing
	Placement  placement.Settings
	Quarantine quarantine.Settings

	// writers and callers are the numbers of calls at once to the store and to workers; tests set them to 1.
	writers int
	callers int

	ready     bool
	planner   *placement.Planner
	tracker   *quarantine.Tracker
	jobs      map[string]*entry
	nodes     map[string]*node
	suspects  map[string]bool
	excluded  exclusions
	calls     []*call
	watched   store.Revision
	storeDown bool
	retryAt   time.Time
	outage    int
	revision  uint64
	scanned   time.Time
	teams     map[string]*grant
	now       time.Time
	set       declaration.Set
	cordoned  map[string]bool

	batches map[string]*batch
	// unexplained is the jobs whose records do not say yet why they wait, in the order of their acceptance.
	unexplained []string
	explained   time.Time
	// finished is the final records in the order of their ends.
	finished []finished
}

// node is what the holder knows of a worker besides its record.
type node struct {
	member record.Instance
	listed bool
	closed bool
	probe  bool
	tasks  map[string]*entry
	// left is when tasks left the worker; older reports still list them.
	left map[string]time.Time
	// cleared means that a report newer than clearFrom lists no task but the followed ones.
	cleared   bool
	clearFrom time.Time
	// delisted is when the worker last left the list.
	delisted   time.Time
	reported   time.Time
	reporting  bool
	contact    time.Time
	unanswered int
	backoff    time.Time
}

// Run takes the shard over and drives it until the context ends or a higher epoch is seen, which returns
// record.ErrFenced.
func (h *Holder) Run(ctx context.Context) error {
	for range interval.FromNow(ctx, h.Timing.Default().StepEvery) {
		if err := h.Step(ctx, h.clock()); err != nil {
			return err
		}
	}
	return nil
}

func (h *Holder) clock() time.Time {
	if h.Now == nil {
		return time.Now()
	}
	return h.Now()
}

// Step does one round of the duty at the given time; it returns record.ErrFenced when another holder has taken over.
func (h *Holder) Step(ctx context.Context, now time.Time) error {
	h.init(now)
	if err := h.follow(ctx); err != nil {
		return h.stepError(err)
	}
	h.configure()
	scan := h.now.Sub(h.scanned) >= h.Timing.ReportEvery
	if scan {
		// Passes over all workers and tasks cost most of a step; nothing in them is due more often.
		h.scanned = h.now
		h.members()
		h.requestReports()
		h.requestRenewals()
	}
	if err := h.exchange(ctx); err != nil {
		return h.stepError(err)
	}
	h.track(h.tracker.Handle(now, quarantine.Tick{}))
	if scan {
		h.expireLost()
	}
	h.housekeep(ctx)
	if h.mayStart() {
		h.tellQuotas()
		h.apply(h.planner.Handle(now, placement.Tick{}))
		h.explain()
	}
	if err := h.flush(ctx); err != nil {
		return h.stepError(err)
	}
	// Starts follow their writes within the same step.
	if err := h.exchange(ctx); err != nil {
		return h.stepError(err)
	}
	// Quotas come last, since with a slow store their reads and writes would hold up the starts.
	if h.mayStart() {
		h.shareQuotas(ctx)
	}
	return nil
}

// mayStart reports whether new work may be started. Without a configuration, teams would seem to have no quota.
func (h *Holder) mayStart() bool {
	return h.ready && !h.storeDown && h.revision != 0 && (h.Valid == nil || h.Valid())
}

func (h *Holder) stepError(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("jobs shard %d, epoch %d: %w", h.Shard, h.Epoch, err)
}

func (h *Holder) init(now time.Time) {
	h.now = now
	if h.planner != nil {
		return
	}
	if h.Shards == 0 {
		h.Shards = DefaultShards
	}
	h.Timing = h.Timing.Default()
	h.writers = cmp.Or(h.writers, writersAtOnce)
	h.callers = cmp.Or(h.callers, workersAtOnce)
	h.planner = placement.New(h.Placement)
	h.tracker = quarantine.New(h.Quarantine)
	h.jobs, h.nodes, h.suspects = map[string]*entry{}, map[string]*node{}, map[string]bool{}
	h.teams = map[string]*grant{}
	h.batches = map[string]*batch{}
}

// members passes the instance records of this shard's pools on to the policies.
func (h *Holder) members() {
	list := h.Members()
	if len(list) == 0 {
		// An empty list is a list that was not read yet.
		return
	}
	present := map[string]bool{}
	for _, m := range list {
		if ShardOf(m.Pool, h.Shards) != h.Shard || !serves(m.State) {
			continue
		}
		present[m.ID] = true
		h.memberUp(m)
	}
	for id, n := range h.nodes {
		if n.listed && !present[id] {
			n.listed, n.delisted = false, h.now
			h.planner.Handle(h.now, placement.WorkerDown{ID: id})
			h.tracker.Handle(h.now, quarantine.WorkerDown{Worker: id})
			h.workerLost(n)
		}
		if !n.listed && len(n.tasks) == 0 && h.now.Sub(n.delisted) > time.Minute {
			delete(h.nodes, id)
		}
	}
}

// serves reports whether an instance in a state still runs tasks.
func serves(state string) bool {
	switch state {
	case "inService", "draining", "stopping", "checking":
		return true
	}
	return false
}

func (h *Holder) node(id string) *node {
	n := h.nodes[id]
	if n == nil {
		n = &node{tasks: map[string]*entry{}, left: map[string]time.Time{}, contact: h.now}
		h.nodes[id] = n
	}
	return n
}

func (h *Holder) memberUp(m record.Instance) {
	n := h.node(m.ID)
	if n.listed && n.member.BootCount != m.BootCount {
		h.workerLost(n)
	}
	wasUp := n.listed
	n.member, n.listed = m, true
	if !wasUp {
		h.tracker.Handle(h.now, quarantine.WorkerUp{Worker: m.ID, Pool: m.Pool})
		h.relisted(n)
	}
	if m.State == "draining" {
		h.vacate(n)
	}
	h.offer(n)
}

// relisted gives the planner back the tasks that a returning worker may still run, and keeps it closed until its reports
// show no others.
func (h *Holder) relisted(n *node) {
	n.closed, n.probe, n.cleared = false, false, false
	if !n.delisted.IsZero() {
		n.clearFrom = h.now.Add(h.Timing.UsageLag)
	}
	for _, id := range sortedKeys(n.tasks) {
		e := n.tasks[id]
		h.apply(h.planner.Handle(h.now, cancelEvent(id)))
		h.planner.Handle(h.now, placement.Adopt{
			Job: h.plannerJob(e.job), Worker: n.member.ID, Reserved: e.job.Reserved, Started: e.job.Started,
		})
	}
}

// offer tells the planner what it may use of a worker.
func (h *Holder) offer(n *node) {
	closed := n.member.State != "inService" || h.cordoned[n.member.Location.Rack] || !n.cleared || (n.closed && !n.probe) || n.unanswered >= 2
	h.apply(h.planner.Handle(h.now, placement.WorkerUp{Worker: placement.Worker{
		ID: n.member.ID, Pool: n.member.Pool, Location: n.member.Location, Capacity: n.member.Capacity,
		Closed: closed, Probe: n.probe,
	}}))
}

// configure follows the configuration: cancellations by intent and the set that quotas come from.
func (h *Holder) configure() {
	set, revision := h.Configuration()
	if revision == h.revision && h.revision != 0 {
		return
	}
	h.set, h.revision = set, revision
	h.cordoned = map[string]bool{}
	for _, i := range set.Intents {
		switch i.Kind {
		case declaration.CancelJob:
			h.stop(i.Target)
		case declaration.CordonRack:
			h.cordoned[i.Target] = true
		case declaration.RetireInstance, declaration.ResumeWave:
		}
	}
	for _, n := range h.nodes {
		if n.listed {
			h.offer(n)
		}
	}
}

// track applies the actions of the quarantine.
func (h *Holder) track(actions []quarantine.Action) {
	for _, a := range actions {
		h.noteExclusion(a)
		switch a := a.(type) {
		case quarantine.Quarantine:
			h.Log.Warn().Str("worker", a.Worker).Str("detail", a.Detail).Msg("worker quarantined")
			h.restrict(a.Worker, true, false)
		case quarantine.Probe, quarantine.Caution:
			h.restrict(workerOf(a), true, true)
		case quarantine.LiftCaution:
			h.restrict(a.Worker, false, false)
		case quarantine.Release:
			h.Log.Info().Str("worker", a.Worker).Str("detail", a.Detail).Msg("worker released from quarantine")
			h.restrict(a.Worker, false, false)
		case quarantine.Suspect:
			h.Log.Warn().Str("kind", a.Kind).Str("detail", a.Detail).Msg("job kind suspected")
			h.suspects[a.Kind] = true
			h.tellSuspects()
		case quarantine.Clear:
			delete(h.suspects, a.Kind)
			h.tellSuspects()
		}
	}
}

func workerOf(a quarantine.Action) string {
	switch a := a.(type) {
	case quarantine.Probe:
		return a.Worker
	case quarantine.Caution:
		return a.Worker
	}
	return ""
}

func (h *Holder) restrict(worker string, closed, probe bool) {
	if n := h.nodes[worker]; n != nil && n.listed {
		n.closed, n.probe = closed, probe
		h.offer(n)
	}
}

func (h *Holder) tellSuspects() {
	kinds := make([]string, 0, len(h.suspects))
	for k := range h.suspects {
		kinds = append(kinds, k)
	}
	h.planner.Handle(h.now, placement.Suspects{Kinds: kinds})
}

// isUnanswered reports whether a call may or may not have taken effect.
func isUnanswered(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
