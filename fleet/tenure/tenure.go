package tenure

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/store"
)

// Prefix is the prefix of the keys of duties.
const Prefix = "duty/"

const (
	// callTimeout bounds a call to the store, so that a renewal can be repeated within the lease.
	callTimeout = 500 * time.Millisecond
	// stepEvery is how often vacant duties are looked at.
	stepEvery = 50 * time.Millisecond
	// heldDelay is how much later a node takes a vacant duty for each duty that it holds, so that duties spread.
	heldDelay = 150 * time.Millisecond
	// drawnDelay is the longest part of the delay that is drawn from the names of node and duty, so that nodes do not collide.
	drawnDelay = 100 * time.Millisecond
	// youngFor is how long a node takes vacant duties before older ones: in a rolling restart its turn is over.
	youngFor = 20 * time.Second
	// renewals is how many renewals fit into a lease.
	renewals = 5
	// safety is taken off the lease for the way of a last order to its receiver.
	safety = 150 * time.Millisecond
)

// Holder is the value of a duty's key.
type Holder struct {
	Node string `json:"node"`
	// Session tells the lives of a node apart.
	Session string `json:"session"`
	// Peer is where the holder answers other nodes.
	Peer netip.AddrPort `json:"peer"`
}

// Duty is a duty as the store shows it.
type Duty struct {
	Holder
	Fence uint64
}

// Tenure takes vacant duties and keeps them while its lease holds. Set the exported fields before Run.
type Tenure struct {
	Store store.Transactor
	Self  Holder
	// TTL is how long a duty stays with a holder that is not heard.
	TTL time.Duration
	// Cores is the node's share of processors; nodes with more of them take vacant duties first.
	Cores float64
	// Clock is a steady clock that also runs while the machine is suspended.
	Clock func() time.Time
	// Gained is called in a goroutine of the group when a duty was taken; its context ends when the duty is lost.
	Gained func(ctx context.Context, name string, fence uint64) error
	// Note is told changes; unset drops them.
	Note func(what, duty string, err error)

	mu       sync.Mutex
	wanted   []string
	seen     map[string]Duty
	vacant   map[string]time.Time
	held     map[string]*holding
	lease    store.LeaseID
	until    time.Time
	listed   bool
	leaving  bool
	began    time.Time
	group    *errgroup.Group
	lastTold map[string]string
}

type holding struct {
	fence  uint64
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
	t.TTL = cmp.Or(t.TTL, 2500*time.Millisecond)
	t.seen, t.vacant, t.held, t.lastTold = map[string]Duty{}, map[string]time.Time{}, map[string]*holding{}, map[string]string{}
	group, groupCtx := errgroup.WithContext(ctx)
	t.group = group
	follower := follow.Follower{Store: t.Store, Prefix: Prefix, Apply: t.apply}
	group.Go(func() error { return follower.Run(groupCtx) })
	group.Go(func() error { return t.keepLease(groupCtx) })
	group.Go(func() error { return t.takeVacant(groupCtx) })
	return group.Wait()
}

// Want sets the names of the duties that must have a holder.
func (t *Tenure) Want(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wanted = slices.Clone(names)
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
	return h != nil && h.fence == fence && t.Clock().Before(t.until)
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

// apply takes over what the store shows of duties.
func (t *Tenure) apply(events []store.Event, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = t.listed || listed
	now := t.Clock()
	for _, e := range events {
		name := strings.TrimPrefix(e.Entry.Key, Prefix)
		var d Duty
		if !e.Deleted {
			if err := json.Unmarshal(e.Entry.Value, &d.Holder); err != nil {
				t.note("unreadable duty", name, err)
				continue
			}
			d.Fence = uint64(e.Entry.Revision)
			t.seen[name] = d
			delete(t.vacant, name)
		} else {
			delete(t.seen, name)
			t.vacant[name] = now
		}
		if h := t.held[name]; h != nil && (e.Deleted || d.Fence > h.fence) {
			t.drop(name, "duty taken away")
		}
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

func (t *Tenure) keepLease(ctx context.Context) error {
	ticker := time.NewTicker(t.TTL / renewals / 2)
	defer ticker.Stop()
	var renewed time.Time
	for {
		now := t.Clock()
		t.expire(now)
		if now.Sub(renewed) >= t.TTL/renewals {
			if t.renew(ctx, now) {
				renewed = now
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// expire drops all duties once the lease may have ended.
func (t *Tenure) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.until) {
		return
	}
	for _, name := range slices.Collect(maps.Keys(t.held)) {
		t.drop(name, "lease not renewed in time")
	}
}

// renew prolongs or creates the lease; it counts from sent, since the store counts from the call's arrival.
func (t *Tenure) renew(ctx context.Context, sent time.Time) bool {
	t.mu.Lock()
	lease, leaving := t.lease, t.leaving
	t.mu.Unlock()
	if leaving {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease == 0 {
		granted, err := t.Store.Grant(callCtx, t.TTL)
		if err != nil {
			t.noteOnce("lease", err)
			return false
		}
		lease = granted
	} else if err := t.Store.Renew(callCtx, lease); err != nil {
		t.noteOnce("lease", err)
		if errors.Is(err, store.ErrLeaseExpired) {
			t.mu.Lock()
			t.lease, t.until = 0, time.Time{}
			t.mu.Unlock()
			t.expire(t.Clock())
		}
		return false
	}
	t.noteOnce("lease", nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.until = lease, sent.Add(t.TTL-safety)
	return true
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

func (t *Tenure) takeVacant(ctx context.Context) error {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		for name, revision := range t.due() {
			t.take(ctx, name, revision)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// due returns the wanted duties that this node should take now, with the revision that their keys must have.
func (t *Tenure) due() map[string]store.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if !t.listed || t.leaving || t.lease == 0 || !now.Before(t.until) {
		return nil
	}
	duties := map[string]store.Revision{}
	for _, name := range t.wanted {
		if t.held[name] != nil {
			continue
		}
		d, taken := t.seen[name]
		if taken {
			if d.Node == t.Self.Node {
				// The holder was an earlier life of this node, or this one before its lease ended.
				duties[name] = store.Revision(d.Fence)
			}
			continue
		}
		since, ok := t.vacant[name]
		if !ok {
			t.vacant[name] = now
			since = now
		}
		if now.Sub(since) >= t.delay(name) {
			duties[name] = 0
		}
	}
	return duties
}

func (t *Tenure) delay(name string) time.Duration {
	drawn := xxhash.Sum64String(t.Self.Node+"\x00"+name) % 1000
	delay := time.Duration(len(t.held))*heldDelay + drawnDelay*time.Duration(drawn)/1000
	delay += time.Duration(max(0, 1-t.Cores) * float64(drawnDelay))
	if t.Clock().Sub(t.began) > youngFor {
		delay += drawnDelay
	}
	return delay
}

// take writes the duty's key under the lease of this node.
func (t *Tenure) take(ctx context.Context, name string, expect store.Revision) {
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	value, err := json.Marshal(t.Self)
	if err != nil {
		t.note("duty not taken", name, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Prefix + name
	revision, current, err := t.Store.Apply(callCtx, store.Transaction{
		If:  []store.Condition{{Key: key, Revision: expect}},
		Put: []store.Write{{Key: key, Value: value, Lease: lease}},
	})
	if errors.Is(err, store.ErrConflict) {
		// The answer to an earlier attempt of this life may have been lost.
		for _, e := range current {
			if e.Key == key && string(e.Value) == string(value) && e.Lease == lease {
				revision, err = e.Revision, nil
			}
		}
	}
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			t.noteOnce("taking "+name, err)
		}
		return
	}
	t.noteOnce("taking "+name, nil)
	t.begin(ctx, name, uint64(revision), lease)
}

func (t *Tenure) begin(ctx context.Context, name string, fence uint64, lease store.LeaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.lease != lease || t.held[name] != nil || t.seen[name].Fence > fence {
		return
	}
	dutyCtx, cancel := context.WithCancelCause(ctx)
	h := &holding{fence: fence, cancel: cancel, done: make(chan struct{})}
	t.held[name] = h
	t.seen[name] = Duty{t.Self, fence}
	t.note("duty taken", name, nil)
	t.group.Go(func() error {
		defer close(h.done)
		err := t.Gained(dutyCtx, name, fence)
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.held[name] == h {
			delete(t.held, name)
		}
		if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrLost) && !errors.Is(err, ErrLeaving) {
			t.note("duty ended", name, fmt.Errorf("hold %s: %w", name, err))
		}
		return nil
	})
}
