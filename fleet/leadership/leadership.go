package leadership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/store"
)

// Prefix is the prefix of the keys of duties.
const Prefix = controlPrefix + "duty/"

const (
	// controlPrefix is the prefix of all keys of the package, which are followed by one watch.
	controlPrefix = "control/"
	nodePrefix    = controlPrefix + "node/"
)

const (
	// callTimeout bounds a call to the store, so that a renewal can be repeated within the lease.
	callTimeout = 500 * time.Millisecond
	// stepEvery is how often vacant duties are looked at.
	stepEvery = 50 * time.Millisecond
	// rankDelay is how much later each next node takes a vacant duty, up to lastRank: a node that should come first may be lost.
	rankDelay = 100 * time.Millisecond
	lastRank  = 5
	// settleTime passes before a node that started takes vacant duties, so that nodes that start together share them.
	settleTime = 300 * time.Millisecond
)

// Duty is a duty as the store shows it.
type Duty struct {
	Member
	Fence uint64
}

// Elector takes vacant duties and keeps them while its lease holds. Set the exported fields before Run.
type Elector struct {
	Store store.Transactor
	Self  Member
	// TTL is how long a duty stays with a holder that is not heard.
	TTL time.Duration
	// Clock is a steady clock that also runs while the machine is suspended.
	Clock func() time.Time
	// Gained is called in a goroutine of the group when a duty was taken; its context ends when the duty is lost.
	OnAcquired func(ctx context.Context, name string, fence uint64) error
	// Ask asks another node; unset leaves lost holders in place until their lease ends.
	RequestStatus func(ctx context.Context, m Member, q StatusRequest) (Status, error)
	// Note is told changes; unset drops them.
	OnEvent func(event, duty string, err error)

	mu      sync.Mutex
	wanted  []string
	seen    map[string]Duty
	members map[string]member
	vacant  map[string]time.Time
	held    map[string]*holding
	lease   store.LeaseID
	// registered is the lease under which the node's own key was written.
	registered store.LeaseID
	// until is when the lease may end, confirmed when orders end that the other nodes confirmed, renewed when the last renewal
	// that succeeded was sent.
	until     time.Time
	confirmed time.Time
	renewed   time.Time
	// ran is when the node last took note that it runs, pauses how many gaps it found in that, woke when it found the last one, and vouched
	// when the question was sent after a gap to which all other nodes answered that they hold none of its duties.
	ran     time.Time
	pauses  int
	woke    time.Time
	vouched time.Time
	// contact is when the store last answered any call of the node.
	contact  time.Time
	watching map[string]*watched
	// holders are those that this node watches; stale is true after a change that may make others of them.
	holders []Member
	stale   bool
	// releasing is the duty that is being given to another node.
	releasing string
	listed    bool
	leaving   bool
	began     time.Time
	group     *errgroup.Group
	lastTold  map[string]string
}

type holding struct {
	fence uint64
	// proven is when the call was sent that last showed the duty's key with this fence, asked when the key was last read for that.
	proven time.Time
	asked  time.Time
	cancel context.CancelCauseFunc
	done   chan struct{}
}

// ErrLost ends the context of a duty that another node may hold now.
var ErrLost = errors.New("duty lost")

// ErrLeaving ends the context of a duty that is given back.
var ErrLeaving = errors.New("node is leaving")

// Run takes and keeps duties until the context ends.
func (el *Elector) Run(ctx context.Context) error {
	el.began = el.Clock()
	el.ran = el.began
	el.TTL = cmp.Or(el.TTL, 2500*time.Millisecond)
	el.seen, el.vacant, el.held, el.lastTold = map[string]Duty{}, map[string]time.Time{}, map[string]*holding{}, map[string]string{}
	el.members, el.watching = map[string]member{}, map[string]*watched{}
	group, groupCtx := errgroup.WithContext(ctx)
	el.group = group
	follower := follow.Follower{Store: el.Store, Prefix: controlPrefix, Apply: el.apply}
	group.Go(func() error { return follower.Run(groupCtx) })
	group.Go(func() error { return el.keepLease(groupCtx) })
	group.Go(func() error { return el.takeVacant(groupCtx) })
	group.Go(func() error { return el.guard(groupCtx) })
	group.Go(func() error { return el.confirmDuties(groupCtx) })
	group.Go(func() error { return el.balance(groupCtx) })
	group.Go(func() error { return el.watchPauses(groupCtx) })
	group.Go(func() error { return el.keepProven(groupCtx) })
	return group.Wait()
}

// SetDuties sets the names of the duties that must have a holder.
func (el *Elector) SetDuties(names []string) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.wanted, el.stale = slices.Clone(names), true
	slices.Sort(el.wanted)
}

// Holder returns the holder of a duty.
func (el *Elector) Holder(name string) (Duty, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	d, ok := el.seen[name]
	return d, ok
}

// Valid reports whether orders for a held duty may still be given.
func (el *Elector) Valid(name string, fence uint64) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	h := el.held[name]
	if h == nil || h.fence != fence {
		return false
	}
	now := el.Clock()
	return el.running(now) && el.provenSincePause(h) && now.Before(el.validUntil()) && now.Before(el.provenUntil(h))
}

// HeldAt returns a time at which a duty was surely held, the latest that is known.
func (el *Elector) HeldAt(name string, fence uint64) time.Time {
	el.mu.Lock()
	defer el.mu.Unlock()
	h := el.held[name]
	if h == nil || h.fence != fence {
		return time.Time{}
	}
	return el.provenUntil(h).Add(safety - el.TTL)
}

// MarkHeld records that a call which was sent at a time showed a duty as held.
func (el *Elector) MarkHeld(name string, fence uint64, sent time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if h := el.held[name]; h != nil && h.fence == fence {
		h.prove(sent)
	}
}

// MarkLost records that a newer holder of a duty was met, as by a worker that follows it.
func (el *Elector) MarkLost(name string, fence uint64) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if h := el.held[name]; h != nil && h.fence == fence {
		el.drop(name, "newer holder met")
	}
}

// Leave gives all duties back and takes no more; it returns when their work has ended or the context ends.
func (el *Elector) Leave(ctx context.Context) {
	el.mu.Lock()
	el.leaving = true
	holdings := maps.Clone(el.held)
	for _, h := range holdings {
		h.cancel(ErrLeaving)
	}
	lease := el.lease
	el.mu.Unlock()
	for _, h := range holdings {
		select {
		case <-h.done:
		case <-ctx.Done():
			return
		}
	}
	if lease == 0 {
		return
	}
	if err := el.Store.Revoke(ctx, lease); err != nil {
		el.note("duties not given back", "", err)
	}
}

func (el *Elector) note(what, duty string, err error) {
	if el.OnEvent != nil {
		el.OnEvent(what, duty, err)
	}
}

// apply takes over what the store shows of duties and nodes.
func (el *Elector) apply(events []store.Event, listed bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	first := listed && !el.listed
	el.listed, el.stale = el.listed || listed, true
	for _, e := range events {
		if node, ok := strings.CutPrefix(e.Entry.Key, nodePrefix); ok {
			el.setMember(e, node, first)
		} else if name, ok := strings.CutPrefix(e.Entry.Key, Prefix); ok {
			el.setDuty(e, name)
		}
	}
}

// setDuty takes over what the store shows of a duty; the lock must be held.
func (el *Elector) setDuty(e store.Event, name string) {
	var d Duty
	if e.Deleted {
		delete(el.seen, name)
		el.vacant[name] = el.Clock()
	} else {
		if err := json.Unmarshal(e.Entry.Value, &d.Member); err != nil {
			el.note("unreadable duty", name, err)
			return
		}
		d.Fence = uint64(e.Entry.Revision)
		if el.seen[name].Fence > d.Fence {
			return
		}
		el.seen[name] = d
		delete(el.vacant, name)
	}
	if h := el.held[name]; h != nil && (e.Deleted || d.Fence > h.fence) {
		el.drop(name, "duty taken away")
	}
}

// drop ends a held duty; the lock must be held.
func (el *Elector) drop(name, why string) {
	h := el.held[name]
	if h == nil {
		return
	}
	h.cancel(ErrLost)
	delete(el.held, name)
	el.note(why, name, nil)
}

// noteOnce tells the first failure of a kind and its end.
func (el *Elector) noteOnce(kind string, err error) {
	el.mu.Lock()
	was := el.lastTold[kind]
	now := ""
	if err != nil {
		now = "failed"
	}
	el.lastTold[kind] = now
	el.mu.Unlock()
	if was != now {
		if err != nil {
			el.note("store lost for "+kind, "", err)
		} else {
			el.note("store regained for "+kind, "", nil)
		}
	}
}
