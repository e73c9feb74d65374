package tenure

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

// Tenure takes vacant duties and keeps them while its lease holds. Set the exported fields before Run.
type Tenure struct {
	Store store.Transactor
	Self  Member
	// TTL is how long a duty stays with a holder that is not heard.
	TTL time.Duration
	// Clock is a steady clock that also runs while the machine is suspended.
	Clock func() time.Time
	// Gained is called in a goroutine of the group when a duty was taken; its context ends when the duty is lost.
	Gained func(ctx context.Context, name string, fence uint64) error
	// Ask asks another node; unset leaves lost holders in place until their lease ends.
	Ask func(ctx context.Context, m Member, q Question) (Status, error)
	// Note is told changes; unset drops them.
	Note func(what, duty string, err error)

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
func (t *Tenure) Run(ctx context.Context) error {
	t.began = t.Clock()
	t.ran = t.began
	t.TTL = cmp.Or(t.TTL, 2500*time.Millisecond)
	t.seen, t.vacant, t.held, t.lastTold = map[string]Duty{}, map[string]time.Time{}, map[string]*holding{}, map[string]string{}
	t.members, t.watching = map[string]member{}, map[string]*watched{}
	group, groupCtx := errgroup.WithContext(ctx)
	t.group = group
	follower := follow.Follower{Store: t.Store, Prefix: controlPrefix, Apply: t.apply}
	group.Go(func() error { return follower.Run(groupCtx) })
	group.Go(func() error { return t.keepLease(groupCtx) })
	group.Go(func() error { return t.takeVacant(groupCtx) })
	group.Go(func() error { return t.guard(groupCtx) })
	group.Go(func() error { return t.confirmDuties(groupCtx) })
	group.Go(func() error { return t.balance(groupCtx) })
	group.Go(func() error { return t.watchPauses(groupCtx) })
	group.Go(func() error { return t.keepProven(groupCtx) })
	return group.Wait()
}

// Want sets the names of the duties that must have a holder.
func (t *Tenure) Want(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted, t.stale = slices.Clone(names), true
	slices.Sort(t.wanted)
}

// Of returns the holder of a duty.
func (t *Tenure) Of(name string) (Duty, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.seen[name]
	return d, ok
}

// Valid reports whether orders for a held duty may still be given.
func (t *Tenure) Valid(name string, fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.held[name]
	if h == nil || h.fence != fence {
		return false
	}
	now := t.Clock()
	return t.running(now) && t.provenSincePause(h) && now.Before(t.validUntil()) && now.Before(t.provenUntil(h))
}

// HeldAt returns a time at which a duty was surely held, the latest that is known.
func (t *Tenure) HeldAt(name string, fence uint64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.held[name]
	if h == nil || h.fence != fence {
		return time.Time{}
	}
	return t.provenUntil(h).Add(safety - t.TTL)
}

// Proven tells that a call which was sent at a time showed a duty as held.
func (t *Tenure) Proven(name string, fence uint64, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.held[name]; h != nil && h.fence == fence {
		h.prove(sent)
	}
}

// Lost tells that a newer holder of a duty was met, as by a worker that follows it.
func (t *Tenure) Lost(name string, fence uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h := t.held[name]; h != nil && h.fence == fence {
		t.drop(name, "newer holder met")
	}
}

// Leave gives all duties back and takes no more; it returns when their work has ended or the context ends.
func (t *Tenure) Leave(ctx context.Context) {
	t.mu.Lock()
	t.leaving = true
	holdings := maps.Clone(t.held)
	for _, h := range holdings {
		h.cancel(ErrLeaving)
	}
	lease := t.lease
	t.mu.Unlock()
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
	if err := t.Store.Revoke(ctx, lease); err != nil {
		t.note("duties not given back", "", err)
	}
}

func (t *Tenure) note(what, duty string, err error) {
	if t.Note != nil {
		t.Note(what, duty, err)
	}
}

// apply takes over what the store shows of duties and nodes.
func (t *Tenure) apply(events []store.Event, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := listed && !t.listed
	t.listed, t.stale = t.listed || listed, true
	for _, e := range events {
		if node, ok := strings.CutPrefix(e.Entry.Key, nodePrefix); ok {
			t.setMember(e, node, first)
		} else if name, ok := strings.CutPrefix(e.Entry.Key, Prefix); ok {
			t.setDuty(e, name)
		}
	}
}

// setDuty takes over what the store shows of a duty; the lock must be held.
func (t *Tenure) setDuty(e store.Event, name string) {
	var d Duty
	if e.Deleted {
		delete(t.seen, name)
		t.vacant[name] = t.Clock()
	} else {
		if err := json.Unmarshal(e.Entry.Value, &d.Member); err != nil {
			t.note("unreadable duty", name, err)
			return
		}
		d.Fence = uint64(e.Entry.Revision)
		if t.seen[name].Fence > d.Fence {
			return
		}
		t.seen[name] = d
		delete(t.vacant, name)
	}
	if h := t.held[name]; h != nil && (e.Deleted || d.Fence > h.fence) {
		t.drop(name, "duty taken away")
	}
}

// drop ends a held duty; the lock must be held.
func (t *Tenure) drop(name, why string) {
	h := t.held[name]
	if h == nil {
		return
	}
	h.cancel(ErrLost)
	delete(t.held, name)
	t.note(why, name, nil)
}

// noteOnce tells the first failure of a kind and its end.
func (t *Tenure) noteOnce(kind string, err error) {
	t.mu.Lock()
	was := t.lastTold[kind]
	now := ""
	if err != nil {
		now = "failed"
	}
	t.lastTold[kind] = now
	t.mu.Unlock()
	if was != now {
		if err != nil {
			t.note("store lost for "+kind, "", err)
		} else {
			t.note("store regained for "+kind, "", nil)
		}
	}
}
