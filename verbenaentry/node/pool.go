package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/metering"
	"verbenalanding.example/fleet/pacing"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/logs"
)

const (
	// planInterval is how often the pool plans without an event, for leases that expire and orders that are due again.
	planInterval = 50 * time.Millisecond
	// planPause is the minimum pause between two plans, so that events that arrive together are handled by one plan.
	planPause = 4 * time.Millisecond
	// registrationPause is the time over which changed registrations of workers are batched; each heartbeat writes a registration again.
	registrationPause = 150 * time.Millisecond
	// planPauseFactor is the pause after a plan as a multiple of the planning time: a plan takes at most a fifth of the processor time, and leaves
	// the rest for orders and reports.
	planPauseFactor = 4
	// maxOrders bounds the orders of a pool that are in flight. An unanswered order takes up to a second, and must not delay other starts so
	// long that workers refuse them as late.
	maxOrders = 512
	// decisionLines is the number of log lines per second for the decisions of a pool.
	decisionLines = 2000
)

// pools holds the pools that the node has taken over.
type pools struct {
	mu   sync.Mutex
	held map[string]*pool
}

func (p *pools) get(name string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held[name]
}

func (p *pools) set(name string, held *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = map[string]*pool{}
	}
	p.held[name] = held
}

func (p *pools) remove(name string, held *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[name] == held {
		delete(p.held, name)
	}
}

func (p *pools) configure(c *workload.Configuration) {
	p.mu.Lock()
	held := slices.Collect(maps.Values(p.held))
	p.mu.Unlock()
	for _, h := range held {
		h.configure(c)
	}
}

// pool is a pool whose duty the node holds.
type pool struct {
	node    *Node
	name    string
	fence   uint64
	log     zerolog.Logger
	takenAt time.Time

	mu        sync.Mutex
	scheduler *dispatch.Pool
	// placedAt is when the last question where a job would go was answered.
	placedAt time.Time
	// arrivals holds what the pools have told of the workspaces whose home this pool is.
	arrivals metering.Sums
	budget   logs.Budget
	// confirmedAge is how old the last confirmation of the duty was at the last plan, confirmedBy who gave it.
	confirmedAge time.Duration
	confirmedBy  leadership.Confirmer
	// revisions holds the revision of each job's record in the store.
	revisions map[string]store.Revision
	// unresponsiveRevision is the revision of the record of unresponsive workers, unresponsiveTries the number of attempts to write it
	// since the last success.
	unresponsiveRevision store.Revision
	unresponsiveTries    int
	// registrationsListed is true once the first list of registrations has been applied.
	registrationsListed bool
	// refusedWrites counts, for each job, how often the store has refused its record as invalid since the last success.
	refusedWrites map[string]int
	// writeTries is the number of the current attempt to write records since the last success.
	writeTries int
	// startBudget limits the repetitions of unanswered starts.
	startBudget retry.Budget
	// lateness is how late the waits between plans end.
	lateness pacing.Lateness
	// leased holds the workers whose lease a goroutine renews.
	leased map[string]bool

	// planNow triggers an immediate plan, writeNow an immediate write of the records of ended jobs.
	planNow  *ring.Ring[struct{}]
	writeNow *ring.Ring[struct{}]
	// recordNow triggers an immediate write of the record of unresponsive workers.
	recordNow *ring.Ring[struct{}]
	// announceNow triggers an immediate announcement of the pool's limit.
	announceNow *ring.Ring[struct{}]
	group       *errgroup.Group
	orders      errgroup.Group
	machines    *machineTracker
	upkeeps     *upkeeps
	grants      *grants
}

// holdPool carries out the duty of a pool until the context ends.
func (n *Node) holdPool(ctx context.Context, name string, fence uint64) error {
	p := &pool{
		node: n, name: name, fence: fence, takenAt: n.Clock.Now(), log: n.Log.With().Str("pool", name).Uint64("fence", fence).Logger(),
		revisions: map[string]store.Revision{}, refusedWrites: map[string]int{}, leased: map[string]bool{}, startBudget: newStartBudget(),
		planNow: ring.New[struct{}](1), writeNow: ring.New[struct{}](1), recordNow: ring.New[struct{}](1),
		announceNow: ring.New[struct{}](1), budget: logs.Budget{PerSecond: decisionLines},
	}
	p.orders.SetLimit(maxOrders)
	p.scheduler = &dispatch.Pool{Name: name, Epoch: fence, Settings: n.dispatchSettings(), OnEvent: p.logEvent, OnFirstStart: p.observeFirstStart, OnMetered: p.countMetered, AwaitConfirmation: true}
	p.scheduler.AwaitWorkerList = n.Settings.Machines.IsValid()
	p.scheduler.RecordWorkers = !p.scheduler.AwaitWorkerList
	p.scheduler.Begin(p.takenAt)
	p.machines = newMachineTracker(p)
	p.upkeeps = newUpkeeps(p)
	p.grants = newGrants(p)
	p.configure(n.View.Configuration())
	group, groupCtx := errgroup.WithContext(ctx)
	p.group = group
	jobs := &jobFollower{pool: p, loaded: make(chan struct{}), ready: make(chan struct{})}
	followers := []follow.Follower{
		{
			Store: n.Store, Prefix: jobKey(name, ""), OnPage: jobs.shrink,
			Apply: func(events []store.Event, _ bool) { jobs.apply(groupCtx, events) },
		},
		{Store: n.Store, Prefix: machinePrefix, Apply: p.machines.apply},
		{Store: n.Store, Prefix: platform.WorkerPrefix, BatchDelay: registrationPause, Apply: func(events []store.Event, _ bool) {
			// The first list of registrations is valid only if the duty was still held when it was read.
			if !p.registrationsListed && !p.confirmWorkerList(groupCtx) {
				return
			}
			// Workers are contacted only once all jobs are known: a reported run of an unknown job would be treated as orphaned.
			if jobs.await(groupCtx, jobs.ready) {
				p.applyWorkers(groupCtx, events)
			}
		}},
		{Store: n.Store, Prefix: wavePrefix, Apply: p.upkeeps.apply},
		{Store: n.Store, Prefix: shortPrefix, Apply: p.machines.applyShortages},
	}
	for i := range followers {
		followers[i].Clock = n.Clock.Now
		group.Go(func() error { return followers[i].Run(groupCtx) })
	}
	size := sizer{pool: p}
	for _, run := range []func(context.Context) error{
		jobs.load, size.run, p.dropEndedWorkers, p.runPlans, p.write, p.upkeeps.run, p.recordUnresponsive, p.readUnknownJobs, (&cancelledIDs{pool: p}).run, p.grants.run,
		p.exchangeArrivals, p.announceLimit,
	} {
		group.Go(func() error { return run(groupCtx) })
	}
	err := group.Wait()
	n.pools.remove(name, p)
	p.dropGauges()
	_ = p.orders.Wait()
	if errors.Is(context.Cause(ctx), errReleased) {
		p.writeLast(ctx)
		p.handOver(ctx)
	}
	p.log.Info().Err(context.Cause(ctx)).Dur("held", n.Clock.Now().Sub(p.takenAt)).Msg("duty ended")
	return err
}

// loadRecords reads the records of the pool's jobs, and names those that cannot be decoded; no other node writes them while the duty is held.
func (p *pool) loadRecords(ctx context.Context) (records map[string]dispatch.Record, invalid map[string]bool, err error) {
	prefix := stateKey(p.name, "")
	records, invalid = map[string]dispatch.Record{}, map[string]bool{}
	err = p.listPages(ctx, prefix, "records of jobs not read yet", func(page []store.Entry) {
		for _, e := range page {
			id := strings.TrimPrefix(e.Key, prefix)
			r, err := dispatch.DecodeRecord(e.Value)
			if err != nil {
				p.log.Error().Err(err).Str("job", id).Msg("record of a job cannot be decoded")
				invalid[id] = true
				continue
			}
			records[id], p.revisions[id] = r, e.Revision
		}
	})
	return records, invalid, err
}

// listPages reads the entries under a prefix and passes them on page by page. Answers may be lost, so each page is requested until the store has answered.
func (p *pool) listPages(ctx context.Context, prefix, message string, use func(page []store.Entry)) error {
	for from := ""; ; {
		var page store.Page
		err := p.retryUntilAnswered(ctx, message, func(ctx context.Context) (err error) {
			page, err = p.node.Store.List(ctx, prefix, from, 0)
			return err
		})
		if err != nil {
			return err
		}
		use(page.Entries)
		if page.Next == "" {
			return nil
		}
		from = page.Next
	}
}

// logEvent counts a decision of the pool and logs it.
func (p *pool) logEvent(e dispatch.Event) {
	switch e.Kind {
	case "job completed", "job failed", "job cancelled":
		observe(p.node.Registry, "jobs."+strings.TrimPrefix(e.Kind, "job "), e.Age)
	case "start":
		observe(p.node.Registry, "taskWaits."+e.Reason, e.Age)
	case "run lost", "worker suspected", "worker ended", "worker reserved", "reservation released", "second run":
		count(p.node.Registry, "events."+strings.ReplaceAll(e.Kind, " ", "-"))
	}
	leftOut, ok := p.budget.Allow(time.Now())
	if !ok {
		return
	}
	line := p.log.Info()
	if leftOut > 0 {
		line = line.Int64("linesLeftOut", leftOut)
	}
	if e.Job != "" {
		line = line.Str("job", e.Job)
	}
	if e.Task.Job != "" {
		line = line.Ints("task", []int{e.Task.Occurrence, e.Task.Step, e.Task.Index}).Int("run", e.Run)
	}
	if e.Worker != "" {
		line = line.Str("worker", e.Worker)
	}
	if e.Reason != "" {
		line = line.Str("reason", e.Reason)
	}
	if e.Age != 0 {
		line = line.Dur("age", e.Age)
	}
	if e.Kind == "run lost" {
		line = line.Dur("confirmedAge", p.confirmedAge).Str("confirmedBy", string(p.confirmedBy))
	}
	line.Msg(e.Kind)
}

// observeFirstStart counts and logs how long a job has waited for its first run, by cause.
func (p *pool) observeFirstStart(s dispatch.FirstStart) {
	observe(p.node.Registry, "firstStarts.all", s.Wait)
	for cause, took := range s.Causes {
		observe(p.node.Registry, "firstStarts."+string(cause), took)
	}
	leftOut, ok := p.budget.Allow(time.Now())
	if !ok {
		return
	}
	line := p.log.Info().Str("job", s.Job).Dur("age", s.Wait)
	if leftOut > 0 {
		line = line.Int64("linesLeftOut", leftOut)
	}
	for _, cause := range slices.Sorted(maps.Keys(s.Causes)) {
		line = line.Dur(string(cause), s.Causes[cause])
	}
	line.Msg("first run of the job")
}

// valid reports whether the node may still give orders for the duty.
func (p *pool) valid() bool { return p.node.Elector.Valid(p.name, p.fence) }

// active reports whether the pool has been taken over, with all its jobs read, and the duty is still valid.
func (p *pool) active() bool {
	return p.valid() && p.node.pools.get(p.name) == p
}

// markLost ends the duty because there is a newer holder.
func (p *pool) markLost() { p.node.Elector.MarkLost(p.name, p.fence) }

func (p *pool) triggerPlan() { _ = p.planNow.Offer(struct{}{}) }

// update changes the state of the scheduler and triggers a plan.
func (p *pool) update(change func(*dispatch.Pool)) {
	p.mu.Lock()
	change(p.scheduler)
	p.mu.Unlock()
	p.triggerPlan()
}

func (p *pool) configure(c *workload.Configuration) {
	if c == nil {
		return
	}
	var queues []workload.Queue
	for _, q := range c.Queues {
		if q.Pool == p.name {
			queues = append(queues, q)
		}
	}
	p.update(func(scheduler *dispatch.Pool) {
		scheduler.SetQueues(queues)
		scheduler.SetWorkspaces(c.Workspaces)
		p.grants.configure(c, scheduler)
	})
}

func (p *pool) jobState(id string) jobAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, known := p.scheduler.JobState(id)
	return jobAnswer{Known: known, State: state, Workspace: p.scheduler.Workspace(id)}
}

func (p *pool) pending(q workload.Queue) pendingAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pendingAnswer{Pending: p.scheduler.Pending(q)}
}

// runPlans plans after each event and at intervals.
func (p *pool) runPlans(ctx context.Context) error {
	for range interval.EachOr(ctx, planInterval, p.planNow.Items()) {
		if p.valid() {
			p.waitAfterPlan(ctx, p.plan(ctx))
		}
	}
	return nil
}

// waitAfterPlan waits before the next plan, and records how late the wait has ended.
func (p *pool) waitAfterPlan(ctx context.Context, pause time.Duration) {
	began := time.Now()
	interval.Wait(ctx, pause)
	took := time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness.Observe(pause, took)
}

// plan plans once, sends the orders and returns the pause before the next plan. The time for which orders wait to be sent does not lengthen
// the pause: it uses no processor time, and slow answers of workers would otherwise delay queued tasks.
func (p *pool) plan(ctx context.Context) time.Duration {
	now := p.node.Clock.Now()
	began := time.Now()
	takenOver := p.node.pools.get(p.name) == p
	held := p.node.Elector.HeldAt(p.name, p.fence)
	p.mu.Lock()
	p.confirmedAge, p.confirmedBy = now.Sub(held.At), held.By
	var actions []dispatch.Action
	if takenOver {
		p.scheduler.DutyConfirmed(held.At)
		actions = p.scheduler.Plan(now)
	}
	ended, unconfirmed := p.scheduler.HasEndedJobs(), p.scheduler.NeedsConfirmation()
	if p.scheduler.QuotaShort() {
		_ = p.grants.now.Offer(struct{}{})
	}
	p.mu.Unlock()
	if unconfirmed {
		p.node.Elector.RequestConfirmation(ctx, p.name, p.fence)
	}
	if takenOver && p.announcementDiffers() {
		_ = p.announceNow.Offer(struct{}{})
	}
	pause := max(planPause, planPauseFactor*time.Since(began))
	if ended {
		_ = p.writeNow.Offer(struct{}{})
	}
	for _, a := range actions {
		p.send(ctx, a)
	}
	return pause
}
