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

// idleTick is the interval of ticks without requests; 197 pools would otherwise tick 1,970 times a second.
const idleTick = time.Second

type peerDemand struct {
	peer     string
	services []admission.ServiceDemand
}

// lane owns the admission, routing and retry state of one pool.
type lane struct {
	entry      *Entry
	pool       string
	inbox      *ring.Ring[message]
	heartbeats *ring.Ring[peerDemand]
	results    *ring.Ring[probed]
	poke       chan struct{}
	live       atomic.Int64
	applied    atomic.Uint64
	demand     atomic.Pointer[[]admission.ServiceDemand]

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

func newLane(e *Entry, pool string) *lane {
	l := &lane{
		entry: e, pool: pool,
		// Most calls have one message on its way.
		inbox:      ring.New[message](int(e.MaxLive)),
		heartbeats: ring.New[peerDemand](64),
		results:    ring.New[probed](probeResults),
		poke:       make(chan struct{}, 1),
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

// enter counts a call; it is false when the lane has reached its bound.
func (l *lane) enter() bool {
	if l.live.Add(1) > l.entry.MaxLive {
		l.live.Add(-1)
		return false
	}
	return true
}

func (l *lane) wake() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// send waits while the inbox is full. The lane never waits for a handler, so the inbox drains.
func (l *lane) send(m message) {
	for l.inbox.Offer(m) != nil {
		time.Sleep(100 * time.Microsecond)
	}
}

func (l *lane) run(ctx context.Context) error {
	l.catchUp(l.entry.Now())
	timer := time.NewTimer(admission.TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.inbox.Items():
			now := l.entry.Now()
			l.catchUp(now)
			l.handle(now, m)
			if !l.busy {
				l.busy = true
				timer.Reset(admission.TickInterval)
			}
		case d := <-l.heartbeats.Items():
			l.hear(l.entry.Now(), d)
		case p := <-l.results.Items():
			now := l.entry.Now()
			l.router.Probed(now, p.instance, p.good)
			l.noteEjections(now)
		case <-l.poke:
			l.catchUp(l.entry.Now())
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

// hear takes in what a peer's heartbeat says of this pool, which is nothing when its demand has not changed.
func (l *lane) hear(now time.Time, d peerDemand) {
	if len(d.services) == 0 {
		l.admission.PeerHeartbeat(now, d.peer)
		return
	}
	l.admission.PeerDemand(now, d.peer, d.services)
}

func (l *lane) tick(now time.Time) {
	l.router.Tick(now)
	l.probe(now)
	l.noteEjections(now)
	l.decide(now, l.admission.Tick(now))
	l.setQuotas()
	l.publishDemand()
}

// publishDemand passes changed demand on. The division of slots uses the demand that was sent, so the peers must get it at
// once.
func (l *lane) publishDemand() {
	d := l.admission.Demand(nil)
	if len(d) == 0 {
		return
	}
	l.demand.Store(&d)
	if l.entry.DemandChanged != nil {
		l.entry.DemandChanged()
	}
}

func (l *lane) noteEjections(now time.Time) {
	l.changes = l.router.Changes(l.changes[:0])
	for _, c := range l.changes {
		l.entry.Log.Info().Str("pool", l.pool).Str("instance", c.Instance).Bool("ejected", c.Ejected).
			Uint8("reason", uint8(c.Reason)).Msg("routing changed the use of an instance")
	}
	if len(l.changes) > 0 {
		l.updateMembers(now)
	}
}

func (l *lane) handle(now time.Time, m message) {
	c := m.call
	switch m.kind {
	case messageArrive:
		l.nextID++
		c.arrival.ID = l.nextID
		l.calls[c.arrival.ID] = c
		ref, actions := l.admission.Arrive(now, c.arrival)
		c.ref = ref
		l.decide(now, actions)
	case messageCancel:
		if _, found := l.calls[c.arrival.ID]; found && !c.dispatched {
			delete(l.calls, c.arrival.ID)
			l.decide(now, l.admission.Cancel(now, c.ref))
			c.verdict <- verdict{kind: verdictRefuse, reason: reasonCancelled}
		}
	case messagePick:
		l.dispatch(now, c)
	case messageEnded:
		l.ended(now, m)
		l.free(now, c)
		c.recycle()
	case messageFailed:
		l.failed(now, m)
	case messageGiveUp:
		l.free(now, c)
		c.recycle()
	}
}

// decide carries out actions of admission; freeing a slot may add further ones.
func (l *lane) decide(now time.Time, actions []admission.Action) {
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
		c.verdict <- verdict{kind: verdictRefuse, reason: a.Reason.String(), retryAfter: a.RetryAfter}
	}
	l.actions = l.actions[:0]
}

// dispatch picks the instance of an attempt.
func (l *lane) dispatch(now time.Time, c *call) {
	choice, found := l.router.Pick(routing.Query{Random: rand.Uint64(), Avoid: c.last, Repeatable: c.repeatable})
	if !found {
		l.free(now, c)
		c.verdict <- verdict{kind: verdictRefuse, reason: admission.NoInstances.String()}
		return
	}
	t := l.targets[choice.Instance]
	c.last = choice.Instance
	l.admission.Started(now, c.ref, choice.Instance)
	l.router.Started(now, choice.Instance, l.admission.ServiceTime(c.arrival.Service))
	t.inFlight.Add(1)
	c.verdict <- verdict{kind: verdictDispatch, target: t}
}

func (l *lane) free(now time.Time, c *call) {
	delete(l.calls, c.arrival.ID)
	l.decide(now, l.admission.SlotFreed(now, c.ref))
}

func (l *lane) ended(now time.Time, m message) {
	m.target.inFlight.Add(-1)
	l.admission.Completed(now, admission.Completion{Ref: m.call.ref, Instance: m.target.id, Result: m.result, Took: m.took})
	l.router.Finished(now, routing.Result{
		Instance: m.target.id, Outcome: routingOutcome(m.result), Took: m.took,
		Expected: l.admission.ServiceTime(m.call.arrival.Service),
	})
	l.noteEjections(now)
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

func (l *lane) failed(now time.Time, m message) {
	l.ended(now, m)
	a := m.retry
	a.Expected = l.admission.ServiceTime(m.call.arrival.Service)
	a.Random = rand.Uint64()
	d := l.budget.Decide(now, a)
	if !d.Retry {
		l.free(now, m.call)
		m.call.verdict <- verdict{kind: verdictStop}
		return
	}
	m.call.verdict <- verdict{kind: verdictRetry, delay: d.Delay}
}
