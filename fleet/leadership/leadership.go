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

// Prefix is the key prefix of duties.
const Prefix = controlPrefix + "duty/"

const (
	// controlPrefix is the key prefix of duties and nodes; a single watch covers both.
	controlPrefix = "control/"
	nodePrefix    = controlPrefix + "node/"
	// AnnouncementPrefix is the key prefix of what the holders of duties announce to all nodes.
	AnnouncementPrefix = controlPrefix + "announcement/"
)

const (
	// callTimeout bounds a call to the store, so that a renewal can be retried within the lease.
	callTimeout = 500 * time.Millisecond
	// acquireInterval is how often the node checks for vacant duties.
	acquireInterval = 50 * time.Millisecond
	// rankDelay is how long a node leaves a vacant duty to each node that ranks before it, for at most maxRank nodes; those nodes may be
	// lost.
	rankDelay = 100 * time.Millisecond
	maxRank   = 5
	// settleTime is how long a node waits after its start before it acquires vacant duties, so that nodes that start together share them.
	settleTime = 300 * time.Millisecond
)

// Duty is the holder of a duty and its fencing token, as last read from the store.
type Duty struct {
	Member
	Fence uint64 `json:"fence,omitempty"`
}

// Elector acquires vacant duties and holds them while its lease is valid. Set the exported fields before Run.
type Elector struct {
	Store store.Transactor
	Self  Member
	// TTL is the duration of the lease: how long an unreachable holder keeps a duty that no standby takes over.
	TTL time.Duration
	// Clock is a monotonic clock that also advances while the machine is suspended.
	Clock func() time.Time
	// OnAcquired does the work of an acquired duty, in a goroutine of its own; its context ends when the duty is lost or released.
	OnAcquired func(ctx context.Context, name string, fence uint64) error
	// RequestStatus sends a request to another node. If it is nil, a lost holder is replaced only once its lease has expired.
	RequestStatus func(ctx context.Context, m Member, q StatusRequest) (Status, error)
	// FenceWorkers sends a fencing token of this node to each worker that a former holder of a duty may order, without a lease, and returns an
	// error unless all of them have answered. With the token 0, which workers ignore, it only shows whether they answer. If it is nil, a duty is
	// not taken before its former holder is known to be confirmed no more.
	FenceWorkers func(ctx context.Context, name string, fence uint64) error
	// OnEvent is called with changes to log; nil ignores them.
	OnEvent func(Event)
	// OnAnnouncement is called with each changed key under AnnouncementPrefix, by the name of its duty; nil ignores them.
	OnAnnouncement func(duty string, e store.Event)

	mu     sync.Mutex
	wanted []string
	duties map[string]Duty
	// formerHolders holds the last known holder of each vacant duty, vacatedAt the revision at which its key was deleted.
	formerHolders map[string]Duty
	vacatedAt     map[string]uint64
	// records holds the witnesses of each duty, as last read from the store.
	records map[string]witnessRecord
	// revoked holds, for each duty, the fencing token up to which this node confirms no holder any more; acquiring holds the same for the
	// duties that this node is acquiring.
	revoked   map[string]uint64
	acquiring map[string]uint64
	unproven  map[string]unproven
	members   map[string]member
	// vacantSince is when each vacant duty was first seen without a holder.
	vacantSince map[string]time.Time
	held        map[string]*holding
	lease       store.LeaseID
	// registeredLease is the lease under which the node's own key was written.
	registeredLease store.LeaseID
	// leaseUntil is when the lease may expire.
	leaseUntil time.Time
	// renewedAt is when the last successful renewal was sent.
	renewedAt time.Time
	// lastTick is the last time at which the process recorded that it runs.
	lastTick time.Time
	// pauses counts the pauses that were detected.
	pauses int
	// resumedAt is when the last pause was detected.
	resumedAt time.Time
	// lastStoreContact is when the store last answered any call of the node.
	lastStoreContact time.Time
	// storeUnreachableAt is when the monitoring of holders last found the store unreachable.
	storeUnreachableAt time.Time
	health             map[string]*holderHealth
	// holders are the holders that this node monitors; holdersStale is true when they must be chosen again.
	holders      []Member
	holdersStale bool
	// releasing is the duty that is being handed to another node.
	releasing string
	// synced is true once the initial list of duties and nodes was applied.
	synced      bool
	leaving     bool
	startedAt   time.Time
	group       *errgroup.Group
	lastOutcome map[string]string
	// confirmationLogged is the last logged outcome of a request to the other nodes to confirm the held duties, and when it was logged.
	confirmationLogged   string
	confirmationLoggedAt time.Time
}

// holding is a duty that this node holds.
type holding struct {
	fence uint64
	// confirmedAt is the send time of the last call that confirmed the fence of the duty's key, peersConfirmedAt that of the last request
	// to which all witnesses agreed.
	confirmedAt      time.Time
	peersConfirmedAt time.Time
	witnessed        witnessed
	// former is the holder that this node could not show to be confirmed no more when it took the duty; nil once it can give no orders.
	former *formerHolder
	// recordUnknown is true if the record of witnesses in the store is that of an earlier attempt to take the duty.
	recordUnknown bool
	// readAt is when the last read of the key was sent.
	readAt time.Time
	cancel context.CancelCauseFunc
	done   chan struct{}
}

// ErrLost is the cause when the context of a duty ends because another node may hold it now.
var ErrLost = errors.New("duty lost")

// ErrReleased is the cause when the context of a duty ends because this node releases the duty.
var ErrReleased = errors.New("duty released")

// Run acquires and holds duties until the context ends.
func (el *Elector) Run(ctx context.Context) error {
	el.mu.Lock()
	el.initialise()
	el.startedAt = el.Clock()
	el.lastTick = el.startedAt
	el.TTL = cmp.Or(el.TTL, 2500*time.Millisecond)
	el.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	el.group = group
	follower := follow.Follower{Store: el.Store, Prefix: controlPrefix, Clock: el.Clock, Apply: el.applyEvents}
	group.Go(func() error { return follower.Run(groupCtx) })
	group.Go(func() error { return el.maintainLease(groupCtx) })
	group.Go(func() error { return el.acquireVacant(groupCtx) })
	group.Go(func() error { return el.monitorHolders(groupCtx) })
	group.Go(func() error { return el.maintainPeerConfirmation(groupCtx) })
	group.Go(func() error { return el.maintainWitnesses(groupCtx) })
	group.Go(func() error { return el.balance(groupCtx) })
	group.Go(func() error { return el.detectPauses(groupCtx) })
	group.Go(func() error { return el.maintainConfirmations(groupCtx) })
	return group.Wait()
}

// initialise creates the maps, unless a request of another node that arrived before Run has done so; the lock must be held.
func (el *Elector) initialise() {
	if el.held != nil {
		return
	}
	el.duties, el.vacantSince, el.held, el.lastOutcome = map[string]Duty{}, map[string]time.Time{}, map[string]*holding{}, map[string]string{}
	el.members, el.health, el.formerHolders, el.vacatedAt = map[string]member{}, map[string]*holderHealth{}, map[string]Duty{}, map[string]uint64{}
	el.records, el.revoked, el.acquiring = map[string]witnessRecord{}, map[string]uint64{}, map[string]uint64{}
	el.unproven = map[string]unproven{}
}

// SetDuties sets the names of the duties that need a holder.
func (el *Elector) SetDuties(names []string) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.wanted, el.holdersStale = slices.Clone(names), true
	slices.Sort(el.wanted)
}

// Holder returns the holder of a duty.
func (el *Elector) Holder(name string) (Duty, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	d, ok := el.duties[name]
	return d, ok
}

// Valid reports whether the node may still give orders for a duty that it holds with a fence.
func (el *Elector) Valid(name string, fence uint64) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	h := el.held[name]
	if h == nil || h.fence != fence {
		return false
	}
	now := el.Clock()
	return el.tickedRecently(now) && el.confirmedSincePause(h) && now.Before(el.validUntil(h)) && now.Before(el.confirmedUntil(h))
}

// HeldAt returns the latest confirmation that the duty was held with the fence, or the zero value.
func (el *Elector) HeldAt(name string, fence uint64) Confirmation {
	el.mu.Lock()
	defer el.mu.Unlock()
	h := el.held[name]
	if h == nil || h.fence != fence {
		return Confirmation{}
	}
	return h.lastConfirmation()
}

// MarkHeld records that a call that was sent at the given time confirmed the duty as held.
func (el *Elector) MarkHeld(name string, fence uint64, sent time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if h := el.held[name]; h != nil && h.fence == fence {
		h.markConfirmed(sent)
	}
}

// MarkLost drops a duty because a newer holder was detected, for example by a worker that already follows its orders.
func (el *Elector) MarkLost(name string, fence uint64) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if h := el.held[name]; h != nil && h.fence == fence {
		el.drop(name, "superseded by a newer holder")
	}
}

// Leave releases all duties and acquires no more. It returns once their work has ended or the context ends.
func (el *Elector) Leave(ctx context.Context) {
	el.mu.Lock()
	el.leaving = true
	holdings := maps.Clone(el.held)
	for _, h := range holdings {
		h.cancel(ErrReleased)
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
	el.deleteKeys(ctx, holdings)
	if err := el.Store.Revoke(ctx, lease); err != nil {
		el.notify("duties not released", "", err)
	}
}

// deleteKeys deletes the keys of duties whose work has ended, so that a successor needs no answer of a witness.
func (el *Elector) deleteKeys(ctx context.Context, ended map[string]*holding) {
	var group errgroup.Group
	for name, h := range ended {
		group.Go(func() error {
			if err := el.deleteKey(ctx, name, h); err != nil {
				el.notify("key of the released duty not deleted", name, err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// deleteKey deletes the keys of a duty whose work has ended, unless another node holds it.
func (el *Elector) deleteKey(ctx context.Context, name string, h *holding) error {
	key, recordKey := Prefix+name, witnessPrefix+name
	t := store.Transaction{If: []store.Condition{{Key: key, Revision: store.Revision(h.fence)}}, Delete: []string{key}}
	el.mu.Lock()
	former := h.former
	el.mu.Unlock()
	if former == nil {
		t.Delete = append(t.Delete, recordKey)
	} else {
		// The next holder has to deal with the former one, since this one has not.
		value, err := json.Marshal(witnessRecord{Holder: former.Holder, Witnesses: former.Witnesses})
		if err != nil {
			return err
		}
		t.Put = []store.Write{{Key: recordKey, Value: value}}
	}
	_, _, err := el.Store.Apply(ctx, t)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

func (el *Elector) notify(kind, duty string, err error) {
	el.emit(Event{Kind: kind, Duty: duty, Err: err})
}

func (el *Elector) emit(e Event) {
	if el.OnEvent != nil {
		el.OnEvent(e)
	}
}

// applyEvents updates the duties and nodes from changes in the store; listed is true for the events of a complete list.
func (el *Elector) applyEvents(events []store.Event, listed bool) {
	el.passAnnouncements(events)
	el.mu.Lock()
	defer el.mu.Unlock()
	initial := listed && !el.synced
	el.synced, el.holdersStale = el.synced || listed, true
	for _, e := range events {
		if node, ok := strings.CutPrefix(e.Entry.Key, nodePrefix); ok {
			el.setMember(e, node, initial)
		} else if name, ok := strings.CutPrefix(e.Entry.Key, witnessPrefix); ok {
			el.setWitnesses(e, name)
		} else if name, ok := strings.CutPrefix(e.Entry.Key, Prefix); ok {
			el.setDuty(e, name)
		}
	}
}

// passAnnouncements passes what the holders of duties announce.
func (el *Elector) passAnnouncements(events []store.Event) {
	if el.OnAnnouncement == nil {
		return
	}
	for _, e := range events {
		if duty, ok := strings.CutPrefix(e.Entry.Key, AnnouncementPrefix); ok {
			el.OnAnnouncement(duty, e)
		}
	}
}

// setDuty updates a duty from a change in the store; the lock must be held.
func (el *Elector) setDuty(e store.Event, name string) {
	var d Duty
	if e.Deleted {
		if former, ok := el.duties[name]; ok {
			el.formerHolders[name] = former
		}
		el.vacatedAt[name] = max(el.vacatedAt[name], uint64(e.Entry.Revision))
		delete(el.duties, name)
		el.vacantSince[name] = el.Clock()
	} else {
		if err := json.Unmarshal(e.Entry.Value, &d.Member); err != nil {
			el.notify("duty record not decoded", name, err)
			return
		}
		d.Fence = uint64(e.Entry.Revision)
		if el.duties[name].Fence > d.Fence {
			return
		}
		el.duties[name] = d
		delete(el.vacantSince, name)
		delete(el.formerHolders, name)
	}
	if h := el.held[name]; h != nil && (e.Deleted || d.Fence > h.fence) {
		el.drop(name, "duty key deleted or taken over")
	}
}

// drop stops the work of a held duty that was lost; the lock must be held.
func (el *Elector) drop(name, reason string) {
	h := el.held[name]
	if h == nil {
		return
	}
	h.cancel(ErrLost)
	delete(el.held, name)
	el.notify(reason, name, nil)
}

// notifyTransition reports the first failed call of a kind and the first success after it.
func (el *Elector) notifyTransition(kind string, err error) {
	el.mu.Lock()
	previous := el.lastOutcome[kind]
	outcome := ""
	if err != nil {
		outcome = "failed"
	}
	el.lastOutcome[kind] = outcome
	el.mu.Unlock()
	if previous != outcome {
		if err != nil {
			el.notify("store lost for "+kind, "", err)
		} else {
			el.notify("store regained for "+kind, "", nil)
		}
	}
}
