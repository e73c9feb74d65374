package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
)

// ErrNoProcess is returned by RequestStatus when the node's machine refuses the connection since no process listens there.
var ErrNoProcess = errors.New("no process listens")

// StatusRequest asks another node for its status and may report duties that were taken over from it.
type StatusRequest struct {
	From string `json:"from"`
	// Duties names the duties whose newest known fences are requested.
	Duties []string `json:"duties,omitempty"`
	// Held holds, for each duty that the asked node is to confirm as a witness, the revision of the record that names it.
	Held map[string]uint64 `json:"held,omitempty"`
	// Revoke holds the revisions up to which the asked node must confirm no holder of a duty any more, and must hold it no more itself.
	Revoke map[string]uint64 `json:"revoke,omitempty"`
	// Taken holds the fences of duties that the requesting node has taken over.
	Taken map[string]uint64 `json:"taken,omitempty"`
}

// Status is the reply of a node to a StatusRequest.
type Status struct {
	// Node and Session name the process that answers.
	Node    string `json:"node"`
	Session string `json:"session"`
	// Refused names the duties that the node does not confirm.
	Refused []string `json:"refused,omitempty"`
	// StoreAge is how long ago the store last answered the node.
	StoreAge time.Duration `json:"storeAge"`
	// LastContact holds how long ago each holder that the node monitors last answered it.
	LastContact map[string]time.Duration `json:"heard,omitempty"`
	// Fences holds, for each requested duty, the newest known fence or, if it is later, the revision at which the duty's key was deleted.
	Fences map[string]uint64 `json:"fences,omitempty"`
}

const (
	// standbyCount is how many nodes monitor a holder; some of them may be lost together with it.
	standbyCount = 4
	// monitorInterval is how often the state of holders is checked, statusInterval how often a holder is polled; statusTimeout bounds a
	// status request.
	monitorInterval = 50 * time.Millisecond
	statusInterval  = 200 * time.Millisecond
	statusTimeout   = 300 * time.Millisecond
	// unresponsiveAfter is the time without an answer after which a holder is replaced, unless another standby received an answer from it
	// within recentContact.
	unresponsiveAfter = 800 * time.Millisecond
	recentContact     = 600 * time.Millisecond
	// storeLostAfter is the age of the store's last answer to a holder, as a fraction of the lease, at which the holder is replaced. Its
	// successor must have received an answer within storeReachableWithin. A renewal is due every eighth of a lease.
	storeLostAfter       = 0.44
	storeReachableWithin = 0.28
	// takeoverRetryDelay is the delay between two attempts to take over from the same holder.
	takeoverRetryDelay = 500 * time.Millisecond
)

// holderHealth is the health of a holder as seen by a standby.
type holderHealth struct {
	session string
	// lastContact is when the holder last answered, or when the standby began to monitor it.
	lastContact time.Time
	polledAt    time.Time
	polling     bool
	// refusals counts the polls in a row that failed with ErrNoProcess.
	refusals int
	storeAge time.Duration
	// takeoverAt is when the last attempt to take over its duties began.
	takeoverAt time.Time
}

// takeoverReason is why a holder must be replaced; empty if it need not be.
type takeoverReason string

const (
	processGone        takeoverReason = "holder process is not running"
	holderUnresponsive takeoverReason = "holder is unresponsive"
	holderDisconnected takeoverReason = "holder is disconnected from the store"
)

// assess returns why the holder must be replaced, if it must; reachable is whether the standby itself reaches the store.
func (h *holderHealth) assess(now time.Time, ttl time.Duration, reachable bool) takeoverReason {
	switch {
	case !reachable || now.Sub(h.takeoverAt) < takeoverRetryDelay:
		return ""
	case h.refusals >= 2:
		return processGone
	case now.Sub(h.lastContact) >= unresponsiveAfter:
		return holderUnresponsive
	case h.storeAge >= fraction(ttl, storeLostAfter) && now.Sub(h.lastContact) < recentContact:
		return holderDisconnected
	}
	return ""
}

// storeReachable reports whether the store answered the node recently; the lock must be held.
func (el *Elector) storeReachable(now time.Time) bool {
	return el.storeContactAge(now) <= fraction(el.TTL, storeReachableWithin)
}

// StoreReachable reports whether the store answered the node recently.
func (el *Elector) StoreReachable() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.storeReachable(el.Clock())
}

// monitorHolders polls the holders of which this node is a likely successor, so that a lost one is replaced before its lease expires.
// That is safe since workers reject orders with an older fence, and a successor waits for the workers that have not reported to it.
func (el *Elector) monitorHolders(ctx context.Context) error {
	if el.RequestStatus == nil {
		return nil
	}
	for range interval.Each(ctx, monitorInterval) {
		el.observeStore()
		for _, holder := range el.monitoredHolders() {
			el.checkHolder(ctx, holder)
		}
	}
	return nil
}

// observeStore records when the store was last unreachable.
func (el *Elector) observeStore() {
	el.mu.Lock()
	defer el.mu.Unlock()
	if now := el.Clock(); !el.storeReachable(now) {
		el.storeUnreachableAt = now
	}
}

// monitoredHolders returns the holders that this node monitors.
func (el *Elector) monitoredHolders() []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	if !el.synced || el.leaving {
		return nil
	}
	if el.holdersStale {
		el.updateHolders()
		el.holdersStale = false
	}
	return el.holders
}

// updateHolders chooses the holders of which this node is a likely successor; the lock must be held.
func (el *Elector) updateHolders() {
	now := el.Clock()
	holders := map[string]Member{}
	for name, d := range el.duties {
		if d.Node != el.Self.Node && slices.Contains(el.wanted, name) && el.rank(name, d.Node) < standbyCount {
			holders[d.Node] = d.Member
		}
	}
	for node := range el.health {
		if _, monitored := holders[node]; !monitored {
			delete(el.health, node)
		}
	}
	for node, m := range holders {
		if h := el.health[node]; h == nil || h.session != m.Session {
			el.health[node] = &holderHealth{session: m.Session, lastContact: now}
		}
	}
	el.holders = slices.Collect(maps.Values(holders))
}

// checkHolder polls a holder when that is due and replaces it when it is lost.
func (el *Elector) checkHolder(ctx context.Context, holder Member) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	h := el.health[holder.Node]
	if h == nil {
		return
	}
	if !h.polling && now.Sub(h.polledAt) >= statusInterval {
		h.polling, h.polledAt = true, now
		el.group.Go(func() error {
			el.pollHolder(ctx, holder, h)
			return nil
		})
	}
	reason := h.assess(now, el.TTL, el.storeReachable(now))
	if reason == "" {
		return
	}
	if reason == holderDisconnected && now.Sub(el.storeUnreachableAt) < fraction(el.TTL, storeLostAfter) {
		// After an outage of the store for all nodes, the first one that it answers must not replace holders that it is about to answer.
		return
	}
	h.takeoverAt = now
	el.group.Go(func() error {
		if reason != holderUnresponsive || el.confirmUnresponsive(ctx, holder) {
			el.takeOver(ctx, holder, reason)
		}
		return nil
	})
}

func (el *Elector) requestStatus(ctx context.Context, m Member, q StatusRequest) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return el.RequestStatus(ctx, m, q)
}

func (el *Elector) pollHolder(ctx context.Context, holder Member, h *holderHealth) {
	status, err := el.requestStatus(ctx, holder, StatusRequest{From: el.Self.Node})
	el.mu.Lock()
	defer el.mu.Unlock()
	h.polling = false
	switch {
	case err == nil:
		h.lastContact, h.refusals, h.storeAge = el.Clock(), 0, status.StoreAge
	case errors.Is(err, ErrNoProcess):
		h.refusals++
	default:
		h.refusals = 0
	}
}

// confirmUnresponsive asks the other standbys of a holder when it last answered them, and reports whether none had a recent answer. At least one
// that monitors the holder must reply: a node that receives no reply from any other is disconnected itself.
func (el *Elector) confirmUnresponsive(ctx context.Context, holder Member) bool {
	answered := false
	for _, m := range el.standbysOf(holder) {
		status, err := el.requestStatus(ctx, m, StatusRequest{From: el.Self.Node})
		if err != nil {
			continue
		}
		age, monitored := status.LastContact[holder.Node]
		if monitored && age < recentContact {
			return false
		}
		answered = answered || monitored
	}
	return answered
}

// standbysOf returns the other nodes that monitor a holder, those of each of its duties.
func (el *Elector) standbysOf(holder Member) []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	var list []Member
	for name, d := range el.duties {
		if !d.sameProcess(holder) {
			continue
		}
		for i, c := range el.candidates(name, holder.Node) {
			m := el.members[c.node].Member
			if i < standbyCount && c.node != el.Self.Node && !slices.ContainsFunc(list, m.sameProcess) {
				list = append(list, m)
			}
		}
	}
	return list
}

// takeOver acquires those duties of a lost holder that no standby of higher rank acquires first, and notifies the holder.
func (el *Elector) takeOver(ctx context.Context, holder Member, reason takeoverReason) {
	taken := map[string]uint64{}
	el.mu.Lock()
	duties := map[string]Duty{}
	for name, d := range el.duties {
		if d.Node == holder.Node && d.Session == holder.Session && el.rank(name, holder.Node) < standbyCount {
			duties[name] = d
		}
	}
	el.mu.Unlock()
	for name, d := range duties {
		if !el.heldAfterDelay(ctx, name, d) {
			continue
		}
		el.notify(string(reason), name, nil)
		if fence, ok := el.acquire(ctx, name, d.Fence, reason); ok {
			taken[name] = fence
		}
	}
	if len(taken) == 0 {
		return
	}
	el.notifyFormer(ctx, holder, taken)
}

// notifyFormer notifies a node of the duties that were taken over from it.
func (el *Elector) notifyFormer(ctx context.Context, former Member, taken map[string]uint64) {
	if el.RequestStatus == nil {
		return
	}
	if _, err := el.requestStatus(ctx, former, StatusRequest{From: el.Self.Node, Taken: taken}); err != nil {
		el.notify("lost holder not notified", former.Node, nil)
	}
}

// heldAfterDelay reports whether a duty still has the same holder after the time in which standbys of higher rank may acquire it.
func (el *Elector) heldAfterDelay(ctx context.Context, name string, d Duty) bool {
	el.mu.Lock()
	delay := time.Duration(el.rank(name, d.Node)) * rankDelay
	el.mu.Unlock()
	if !interval.Wait(ctx, delay) {
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.duties[name] == d
}

// HandleStatusRequest returns the status of this node and drops the duties that the requesting node has taken over.
func (el *Elector) HandleStatusRequest(q StatusRequest) Status {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.initialise()
	now := el.Clock()
	for name, fence := range q.Taken {
		if h := el.held[name]; h != nil && fence > h.fence {
			el.drop(name, "another node holds the duty")
		}
	}
	for name, revision := range q.Revoke {
		el.revoke(name, revision)
	}
	s := Status{Node: el.Self.Node, Session: el.Self.Session, StoreAge: el.storeContactAge(now), LastContact: map[string]time.Duration{}, Fences: map[string]uint64{}}
	for node, h := range el.health {
		s.LastContact[node] = now.Sub(h.lastContact)
	}
	for _, name := range q.Duties {
		s.Fences[name] = max(el.duties[name].Fence, el.vacatedAt[name])
		if record, asked := q.Held[name]; asked && record <= max(el.revoked[name], el.acquiring[name]) {
			s.Refused = append(s.Refused, name)
		}
	}
	return s
}
