package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/routing"
)

// idleTick is the interval of ticks without requests. At the normal interval, 197 pools would tick 1,970 times per second.
const idleTick = time.Second

type peerDemand struct {
	peer     string
	services []admission.ServiceDemand
}

// poolLoop is the event loop of one pool; it owns the pool's admission, routing and retry state.
type poolLoop struct {
	entry             *Entry
	pool              string
	inbox             *ring.Ring[message]
	heartbeats        *ring.Ring[peerDemand]
	results           *ring.Ring[probeResult]
	wakeup            chan struct{}
	requests          atomic.Int64
	appliedGeneration atomic.Uint64
	demand            atomic.Pointer[[]admission.ServiceDemand]

	admission admission.Pool
	router    routing.Router
	budget    retry.Budget
	calls     map[uint64]*call
	nextID    uint64
	actions   []admission.Action
	members   []admission.Member
	targets   map[string]*target
	changes   []routing.Change
	probes    []string
	view      *view
	revision  uint64
	set       *declaration.Set
	busy      bool
}

func newPoolLoop(e *Entry, pool string) *poolLoop {
	l := &poolLoop{
		entry: e, pool: pool,
		// Most calls have at most one message in transit.
		inbox:      ring.New[message](int(e.MaxPoolRequests)),
		heartbeats: ring.New[peerDemand](64),
		results:    ring.New[probeResult](maxProbeResults),
		wakeup:     make(chan struct{}, 1),
		calls:      map[uint64]*call{},
		targets:    map[string]*target{},
		view:       &view{},
	}
	l.admission.Self = e.ID
	l.admission.Default()
	l.router.DataCentre = e.DataCentre
	l.router.Default()
	l.budget.Default()
	return l
}

// enter counts a call; it returns false when the pool has reached MaxPoolRequests.
func (l *poolLoop) enter() bool {
	if l.requests.Add(1) > l.entry.MaxPoolRequests {
		l.requests.Add(-1)
		return false
	}
	return true
}

func (l *poolLoop) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// send waits while the inbox is full. The loop never waits for a handler, so the inbox drains.
func (l *poolLoop) send(m message) {
	for l.inbox.Offer(m) != nil {
		time.Sleep(100 * time.Microsecond)
	}
}

func (l *poolLoop) run(ctx context.Context) error {
	l.applyChanges(l.entry.Now())
	timer := time.NewTimer(admission.TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.inbox.Items():
			now := l.entry.Now()
			l.applyChanges(now)
			l.handle(now, m)
			if !l.busy {
				l.busy = true
				timer.Reset(admission.TickInterval)
			}
		case d := <-l.heartbeats.Items():
			l.receiveHeartbeat(l.entry.Now(), d)
		case p := <-l.results.Items():
			now := l.entry.Now()
			l.router.Probed(now, p.instance, p.responsive)
			l.applyEjections(now)
		case <-l.wakeup:
			l.applyChanges(l.entry.Now())
		case <-timer.C:
			l.tick(l.entry.Now())
			next := idleTick
			if l.busy = len(l.calls) > 0; l.busy {
				next = admission.TickInterval
			}
			timer.Reset(next)
		}
	}
}

// receiveHeartbeat applies a peer's heartbeat, which contains no demand for this pool if the demand has not changed.
func (l *poolLoop) receiveHeartbeat(now time.Time, d peerDemand) {
	if len(d.services) == 0 {
		l.admission.PeerHeartbeat(now, d.peer)
		return
	}
	l.admission.PeerDemand(now, d.peer, d.services)
}

func (l *poolLoop) tick(now time.Time) {
	l.router.Tick(now)
	l.probe(now)
	l.applyEjections(now)
	l.execute(now, l.admission.Tick(now))
	l.setQuotas()
	l.publishDemand()
}

// publishDemand publishes changed demand. The division of slots uses the demand that was sent, so the peers must receive it
// immediately.
func (l *poolLoop) publishDemand() {
	d := l.admission.Demand(nil)
	if len(d) == 0 {
		return
	}
	l.demand.Store(&d)
	if l.entry.DemandChanged != nil {
		l.entry.DemandChanged()
	}
}

func (l *poolLoop) applyEjections(now time.Time) {
	l.changes = l.router.Changes(l.changes[:0])
	for _, c := range l.changes {
		l.entry.Log.Info().Str("pool", l.pool).Str("instance", c.Instance).Bool("ejected", c.Ejected).
			Uint8("reason", uint8(c.Reason)).Msg("instance ejected or restored")
	}
	if len(l.changes) > 0 {
		l.updateMembers(now)
	}
}

func (l *poolLoop) handle(now time.Time, m message) {
	c := m.call
	switch m.kind {
	case messageArrive:
		l.nextID++
		c.arrival.ID = l.nextID
		l.calls[c.arrival.ID] = c
		ref, actions := l.admission.Arrive(now, c.arrival)
		c.ref = ref
		l.execute(now, actions)
	case messageCancel:
		if _, found := l.calls[c.arrival.ID]; found && !c.dispatched {
			delete(l.calls, c.arrival.ID)
			l.execute(now, l.admission.Cancel(now, c.ref))
			c.decisions <- decision{kind: decisionRefuse, reason: reasonCallerLeft}
		}
	case messagePick:
		l.dispatch(now, c)
	case messageEnded:
		l.finishAttempt(now, m)
		l.freeSlot(now, c)
		c.recycle()
	case messageFailed:
		l.decideRetry(now, m)
	case messageGiveUp:
		l.freeSlot(now, c)
		c.recycle()
	}
}

// execute executes actions of admission; freeing a slot may add further ones.
func (l *poolLoop) execute(now time.Time, actions []admission.Action) {
	nested := len(l.actions) > 0
	l.actions = append(l.actions, actions...)
	if nested {
		return
	}
	for n := 0; n < len(l.actions); n++ {
		a := l.actions[n]
		c, found := l.calls[a.ID]
		if !found {
			continue
		}
		if a.Kind == admission.Dispatch {
			c.ref, c.dispatched = a.Ref, true
			l.budget.Request()
			l.dispatch(now, c)
			continue
		}
		delete(l.calls, a.ID)
		c.decisions <- decision{kind: decisionRefuse, reason: a.Reason.String(), retryAfter: a.RetryAfter}
	}
	l.actions = l.actions[:0]
}

// dispatch picks the instance of an attempt.
func (l *poolLoop) dispatch(now time.Time, c *call) {
	choice, found := l.router.Pick(routing.Query{Random: rand.Uint64(), Avoid: c.lastInstance, Repeatable: c.repeatable})
	if !found {
		l.freeSlot(now, c)
		c.decisions <- decision{kind: decisionRefuse, reason: admission.NoInstances.String()}
		return
	}
	t := l.targets[choice.Instance]
	c.lastInstance = choice.Instance
	l.admission.Started(now, c.ref, choice.Instance)
	l.router.Started(now, choice.Instance, l.admission.ServiceTime(c.arrival.Service))
	t.inFlight.Add(1)
	c.decisions <- decision{kind: decisionDispatch, target: t}
}

func (l *poolLoop) freeSlot(now time.Time, c *call) {
	delete(l.calls, c.arrival.ID)
	l.execute(now, l.admission.SlotFreed(now, c.ref))
}

func (l *poolLoop) finishAttempt(now time.Time, m message) {
	m.target.inFlight.Add(-1)
	l.admission.Completed(now, admission.Completion{Ref: m.call.ref, Instance: m.target.id, Result: m.result, Took: m.took})
	l.router.Finished(now, routing.Result{
		Instance: m.target.id, Outcome: routingOutcome(m.result), Took: m.took,
		Expected: l.admission.ServiceTime(m.call.arrival.Service),
	})
	l.applyEjections(now)
}

func routingOutcome(r admission.Result) routing.Outcome {
	switch r {
	case admission.Succeeded:
		return routing.Succeeded
	case admission.Failed:
		return routing.Failed
	case admission.Rejected:
		return routing.Rejected
	case admission.TimedOut:
		return routing.TimedOut
	default:
		return routing.Abandoned
	}
}

func (l *poolLoop) decideRetry(now time.Time, m message) {
	l.finishAttempt(now, m)
	a := m.retry
	a.Expected = l.admission.ServiceTime(m.call.arrival.Service)
	a.Random = rand.Uint64()
	d := l.budget.Decide(now, a)
	if !d.Retry {
		l.freeSlot(now, m.call)
		m.call.decisions <- decision{kind: decisionStop}
		return
	}
	m.call.decisions <- decision{kind: decisionRetry, delay: d.Delay}
}
