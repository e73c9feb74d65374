package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
)

// ErrNoProcess is returned by Ask when the other machine answers that no process listens there.
var ErrNoProcess = errors.New("no process listens")

// StatusRequest is what a node asks another one.
type StatusRequest struct {
	From string `json:"from"`
	// Duties are those whose newest fences are asked for.
	Duties []string `json:"duties,omitempty"`
	// Taken holds the fences of duties that the asking node has taken.
	Taken map[string]uint64 `json:"taken,omitempty"`
}

// Status is what a node tells of itself.
type Status struct {
	// StoreAge is how long ago the store last answered the node.
	StoreAge time.Duration `json:"storeAge"`
	// Heard tells how long ago each holder that the node watches last answered it.
	LastContact map[string]time.Duration `json:"heard,omitempty"`
	// Fences are the newest fences that the node knows of the duties that it was asked about.
	Fences map[string]uint64 `json:"fences,omitempty"`
}

const (
	// guards is how many nodes watch a holder; some of them may be lost together with it.
	guards = 4
	// guardEvery is how often holders are looked at, askEvery how often one is asked, askTimeout bounds a question.
	guardEvery = 50 * time.Millisecond
	askEvery   = 200 * time.Millisecond
	askTimeout = 300 * time.Millisecond
	// silentAfter is the silence after which a holder is replaced unless another guard has heard it within heardWithin.
	silentAfter = 800 * time.Millisecond
	heardWithin = 600 * time.Millisecond
	// storeLost is the age of the store's last answer to a holder, as a part of a lease, from which on it is replaced by a node
	// whose own is younger than storeFresh; a renewal is due each eighth of a lease.
	storeLost  = 0.44
	storeFresh = 0.28
	// contestPause lies between two attempts at the duties of the same holder.
	contestPause = 500 * time.Millisecond
)

// watched is what a guard knows of a holder.
type watched struct {
	session string
	// heard is when the holder last answered, or when the guard began to watch it.
	heard    time.Time
	asked    time.Time
	asking   bool
	gone     int
	storeAge time.Duration
	// contested is when its duties were last taken or tried to be.
	contested time.Time
}

// verdict is why a holder is replaced; empty while it is not.
type verdict string

const (
	processGone  verdict = "holder's process is gone"
	holderSilent verdict = "holder is silent"
	holderCut    verdict = "holder is cut from the store"
)

// judge decides about a holder from what was heard of it; fresh tells whether the node itself reaches the store.
func (w *watched) judge(now time.Time, ttl time.Duration, fresh bool) verdict {
	switch {
	case !fresh || now.Sub(w.contested) < contestPause:
		return ""
	case w.gone >= 2:
		return processGone
	case now.Sub(w.heard) >= silentAfter:
		return holderSilent
	case w.storeAge >= part(ttl, storeLost) && now.Sub(w.heard) < heardWithin:
		return holderCut
	}
	return ""
}

// fresh reports whether the store answered the node lately; the lock must be held.
func (el *Elector) fresh(now time.Time) bool { return el.contactAge(now) <= part(el.TTL, storeFresh) }

// StoreReachable reports whether the store answered the node lately.
func (el *Elector) StoreReachable() bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.fresh(el.Clock())
}

// guard watches the holders whose likely successor this node is, so that a lost one is replaced before its lease ends. That is
// safe since workers refuse the orders of an older fence, and a successor waits for those that it has not heard.
func (el *Elector) guard(ctx context.Context) error {
	if el.RequestStatus == nil {
		return nil
	}
	for range interval.Each(ctx, guardEvery) {
		for _, holder := range el.watchedHolders() {
			el.look(ctx, holder)
		}
	}
	return nil
}

// watchedHolders returns the holders that this node watches.
func (el *Elector) watchedHolders() []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	if !el.listed || el.leaving {
		return nil
	}
	if el.stale {
		el.chooseHolders()
		el.stale = false
	}
	return el.holders
}

// chooseHolders finds the holders of which this node is a likely successor; the lock must be held.
func (el *Elector) chooseHolders() {
	now := el.Clock()
	holders := map[string]Member{}
	for name, d := range el.seen {
		if d.Node != el.Self.Node && slices.Contains(el.wanted, name) && el.place(name, d.Node) < guards {
			holders[d.Node] = d.Member
		}
	}
	for node := range el.watching {
		if _, still := holders[node]; !still {
			delete(el.watching, node)
		}
	}
	for node, m := range holders {
		if w := el.watching[node]; w == nil || w.session != m.Session {
			el.watching[node] = &watched{session: m.Session, heard: now}
		}
	}
	el.holders = slices.Collect(maps.Values(holders))
}

// look asks a holder when that is due and replaces it when it is lost.
func (el *Elector) look(ctx context.Context, holder Member) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	w := el.watching[holder.Node]
	if w == nil {
		return
	}
	if !w.asking && now.Sub(w.asked) >= askEvery {
		w.asking, w.asked = true, now
		el.group.Go(func() error {
			el.askHolder(ctx, holder, w)
			return nil
		})
	}
	why := w.judge(now, el.TTL, el.fresh(now))
	if why == "" {
		return
	}
	w.contested = now
	el.group.Go(func() error {
		if why != holderSilent || el.agreed(ctx, holder) {
			el.replace(ctx, holder, why)
		}
		return nil
	})
}

func (el *Elector) ask(ctx context.Context, m Member, q StatusRequest) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return el.RequestStatus(ctx, m, q)
}

func (el *Elector) askHolder(ctx context.Context, holder Member, w *watched) {
	status, err := el.ask(ctx, holder, StatusRequest{From: el.Self.Node})
	el.mu.Lock()
	defer el.mu.Unlock()
	w.asking = false
	switch {
	case err == nil:
		w.heard, w.gone, w.storeAge = el.Clock(), 0, status.StoreAge
	case errors.Is(err, ErrNoProcess):
		w.gone++
	}
}

// agreed asks the other likely successors; one that heard the holder lately objects, and at least one must answer: a node that
// hears nobody is cut off itself.
func (el *Elector) agreed(ctx context.Context, holder Member) bool {
	el.mu.Lock()
	var others []Member
	for _, s := range el.standings("", holder.Node) {
		if s.node != el.Self.Node && len(others) < guards {
			others = append(others, el.members[s.node].Member)
		}
	}
	el.mu.Unlock()
	answered := false
	for _, m := range others {
		status, err := el.ask(ctx, m, StatusRequest{From: el.Self.Node})
		if err != nil {
			continue
		}
		answered = true
		if age, ok := status.LastContact[holder.Node]; ok && age < heardWithin {
			return false
		}
	}
	return answered
}

// replace takes the duties of a lost holder for which this node comes first, then tells it.
func (el *Elector) replace(ctx context.Context, holder Member, why verdict) {
	taken := map[string]uint64{}
	el.mu.Lock()
	duties := map[string]Duty{}
	for name, d := range el.seen {
		if d.Node == holder.Node && d.Session == holder.Session && el.place(name, holder.Node) < guards {
			duties[name] = d
		}
	}
	el.mu.Unlock()
	for name, d := range duties {
		if !el.stillHeld(ctx, name, d) {
			continue
		}
		el.note(string(why), name, nil)
		if fence, ok := el.take(ctx, name, d.Fence); ok {
			taken[name] = fence
		}
	}
	if len(taken) == 0 {
		return
	}
	if _, err := el.ask(ctx, holder, StatusRequest{From: el.Self.Node, Taken: taken}); err != nil {
		el.note("lost holder not told", holder.Node, nil)
	}
}

// stillHeld reports whether a duty has the same holder after the time that is left to the guards that come first.
func (el *Elector) stillHeld(ctx context.Context, name string, d Duty) bool {
	el.mu.Lock()
	delay := time.Duration(el.place(name, d.Node)) * rankDelay
	el.mu.Unlock()
	if !interval.Wait(ctx, delay) {
		return false
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.seen[name] == d
}

// HandleStatusRequest tells another node about this one.
func (el *Elector) HandleStatusRequest(q StatusRequest) Status {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	for name, fence := range q.Taken {
		if h := el.held[name]; h != nil && fence > h.fence {
			el.drop(name, "another node holds the duty")
		}
	}
	s := Status{StoreAge: el.contactAge(now), LastContact: map[string]time.Duration{}, Fences: map[string]uint64{}}
	for node, w := range el.watching {
		s.LastContact[node] = now.Sub(w.heard)
	}
	for _, name := range q.Duties {
		s.Fences[name] = el.seen[name].Fence
	}
	return s
}
