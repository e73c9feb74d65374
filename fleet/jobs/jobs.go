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

// DefaultShards is the default number of jobs shards in a deployment.
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

// ruleAccepted is the rule of a job for which no holder has recorded a reason yet.
const ruleAccepted = "accepted"

var jobChart = chart.MustLoad(chart.Job)

// ShardOf returns the shard that places the jobs of a pool. Since all jobs of a pool are placed by one shard and an instance
// belongs to one pool, two shards never reserve on the same worker.
func ShardOf(pool string, shards int) int {
	return int(xxhash.Sum64String(pool) % uint64(shards))
}

// Key returns the store key of a job.
func Key(shard int, id string) string { return shardPrefix(shard) + id }

func shardPrefix(shard int) string { return record.JobPrefix + strconv.Itoa(shard) + "/" }

// TaskID returns the id of the task that runs an attempt of a job.
func TaskID(job string, attempt int) string { return job + "#" + strconv.Itoa(attempt) }

func splitTask(id string) (job string, attempt int) {
	job, number, _ := strings.Cut(id, "#")
	attempt, _ = strconv.Atoi(number)
	return job, attempt
}

// Timing configures the intervals and timeouts of the duty loop; zero values mean the defaults.
type Timing struct {
	// StepEvery is the interval between two steps of Run.
	StepEvery time.Duration
	// LeaseFor is the duration of task leases; they are renewed after a third of it.
	LeaseFor time.Duration
	// ReportEvery is the interval between two usage reports of a worker.
	ReportEvery time.Duration
	// CallTimeout limits one call to a worker.
	CallTimeout time.Duration
	// StoreTimeout limits one call to the store.
	StoreTimeout time.Duration
	// UsageLag is the maximum age of a usage report.
	UsageLag time.Duration
	// ClockSkew is the maximum difference between two clocks.
	ClockSkew time.Duration
	// RetryAfter is the delay before a failed job is retried; it doubles with each further failure.
	RetryAfter time.Duration
	// Retention is how long final records stay in the store.
	Retention time.Duration
}

// Default returns t with unset fields filled.
func (t Timing) Default() Timing {
	t.StepEvery = cmp.Or(t.StepEvery, 250*time.Millisecond)
	// A takeover with a slow store takes up to 40 s; running tasks must survive it.
	t.LeaseFor = cmp.Or(t.LeaseFor, time.Minute)
	t.ReportEvery = cmp.Or(t.ReportEvery, time.Second)
	t.CallTimeout = cmp.Or(t.CallTimeout, time.Second)
	// A slow store takes up to 2 s per call.
	t.StoreTimeout = cmp.Or(t.StoreTimeout, 3*time.Second)
	t.UsageLag = cmp.Or(t.UsageLag, 5*time.Second)
	t.ClockSkew = cmp.Or(t.ClockSkew, 4*time.Second)
	t.RetryAfter = cmp.Or(t.RetryAfter, time.Second)
	t.Retention = cmp.Or(t.Retention, 6*time.Hour)
	return t
}

// Limits per step. They keep all shards together within their share of the store's writes.
const (
	maxWrites     = 24
	writersAtOnce = 8
	workersAtOnce = 64
	// maxFailures is the number of failures, on workers not under suspicion, after which a repeatable job is not retried.
	maxFailures = 3
	// maxAttempts limits the attempts on all workers.
	maxAttempts = 10
)

// Holder runs the duty loop of the holder of jobs/<shard>. Set the exported fields before calling Run or Step.
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
	// Valid reports whether the duty's lease is still valid; nil means always. Without a valid lease no jobs are started.
	Valid      func() bool
	Now        func() time.Time
	Log        zerolog.Logger
	Timing     Timing
	Placement  placement.Settings
	Quarantine quarantine.Settings

	// writers and callers limit the concurrent calls to the store and to workers; tests set them to 1.
	writers int
	callers int

	ready         bool
	planner       *placement.Planner
	tracker       *quarantine.Tracker
	jobs          map[string]*trackedJob
	workerStates  map[string]*workerState
	suspects      map[string]bool
	excluded      exclusions
	calls         []*call
	watchRevision store.Revision
	// syncedAt is when the store last answered a list or a watch of the shard's records.
	syncedAt      time.Time
	storeDown     bool
	retryAt       time.Time
	storeFailures int
	revision      uint64
	lastScan      time.Time
	grants        map[string]*grant
	now           time.Time
	set           declaration.Set
	cordoned      map[string]bool

	cancellations map[string]*cancellation
	// unexplained lists the jobs whose records do not yet hold the reason for their wait, in order of acceptance.
	unexplained   []string
	lastExplained time.Time
	// finalRecords lists the records of ended jobs, in the order in which the jobs ended.
	finalRecords []finalRecord
}

// Run takes over the shard and runs its duty loop until the context ends or a higher epoch is found; in the latter case it
// returns record.ErrFenced.
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

// Step runs one iteration of the duty loop at the given time. It returns record.ErrFenced when another holder has taken over.
func (h *Holder) Step(ctx context.Context, now time.Time) error {
	h.init(now)
	if err := h.syncRecords(ctx); err != nil {
		return h.stepError(err)
	}
	h.configure()
	scan := h.now.Sub(h.lastScan) >= h.Timing.ReportEvery
	if scan {
		// Iterating over all workers and tasks takes most of the time of a step, and none of this work is due more often.
		h.lastScan = h.now
		h.updateMembers()
		h.requestReports()
		h.requestRenewals()
	}
	if err := h.makeCalls(ctx); err != nil {
		return h.stepError(err)
	}
	h.applyQuarantine(h.tracker.Handle(now, quarantine.Tick{}))
	if scan {
		h.expireLeases()
	}
	h.deleteExpired(ctx)
	// Grants are adjusted only in a step that has set up the quotas: the duty may become valid between the two.
	planned := h.mayStart()
	if planned {
		h.updateQuotas()
		h.applyPlacement(h.planner.Handle(now, placement.Tick{}))
		h.explainWaiting()
	}
	if err := h.flush(ctx); err != nil {
		return h.stepError(err)
	}
	// Starts are sent in the same step as the writes that allow them.
	if err := h.makeCalls(ctx); err != nil {
		return h.stepError(err)
	}
	// Grants come last, since with a slow store their reads and writes would delay the starts.
	if planned && h.mayStart() {
		h.adjustGrants(ctx)
	}
	return nil
}

// mayStart reports whether new jobs may be started. Without a configuration, all teams would appear to have no quota.
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
	h.jobs, h.workerStates, h.suspects = map[string]*trackedJob{}, map[string]*workerState{}, map[string]bool{}
	h.grants = map[string]*grant{}
	h.cancellations = map[string]*cancellation{}
}

// configure applies a changed configuration: quotas, cancellations and cordoned racks.
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
			h.cancelJob(i.Target)
		case declaration.CordonRack:
			h.cordoned[i.Target] = true
		case declaration.RetireInstance, declaration.ResumeWave:
		}
	}
	for _, n := range h.workerStates {
		if n.listed {
			h.updateWorker(n)
		}
	}
}

// applyQuarantine applies the actions of the quarantine.
func (h *Holder) applyQuarantine(actions []quarantine.Action) {
	for _, a := range actions {
		h.recordExclusion(a)
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
			h.updateSuspects()
		case quarantine.Clear:
			delete(h.suspects, a.Kind)
			h.updateSuspects()
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

func (h *Holder) restrict(worker string, restricted, probe bool) {
	if n := h.workerStates[worker]; n != nil && n.listed {
		n.restricted, n.probe = restricted, probe
		h.updateWorker(n)
	}
}

func (h *Holder) updateSuspects() {
	kinds := make([]string, 0, len(h.suspects))
	for k := range h.suspects {
		kinds = append(kinds, k)
	}
	h.planner.Handle(h.now, placement.Suspects{Kinds: kinds})
}

// isUnanswered reports whether the outcome of a call is unknown: it may or may not have taken effect.
func isUnanswered(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, platform.ErrUnavailable) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
