package tenure

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

// Question is what a node asks another one.
type Question struct {
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
	Heard map[string]time.Duration `json:"heard,omitempty"`
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
func (t *Tenure) fresh(now time.Time) bool { return t.contactAge(now) <= part(t.TTL, storeFresh) }

// Reaches reports whether the store answered the node lately.
func (t *Tenure) Reaches() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh(t.Clock())
}

// guard watches the holders whose likely successor this node is, so that a lost one is replaced before its lease ends. That is
// safe since workers refuse the orders of an older fence, and a successor waits for those that it has not heard.
func (t *Tenure) guard(ctx context.Context) error {
	if t.Ask == nil {
		return nil
	}
	for range interval.Each(ctx, guardEvery) {
		for _, holder := range t.watchedHolders() {
			t.look(ctx, holder)
		}
	}
	return nil
}

// watchedHolders returns the holders that this node watches.
func (t *Tenure) watchedHolders() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.listed || t.leaving {
		return nil
	}
	if t.stale {
		t.chooseHolders()
		t.stale = false
	}
	return t.holders
}

// chooseHolders finds the holders of which this node is a likely successor; the lock must be held.
func (t *Tenure) chooseHolders() {
	now := t.Clock()
	holders := map[string]Member{}
	for name, d := range t.seen {
		if d.Node != t.Self.Node && slices.Contains(t.wanted, name) && t.place(name, d.Node) < guards {
			holders[d.Node] = d.Member
		}
	}
	for node := range t.watching {
		if _, still := holders[node]; !still {
			delete(t.watching, node)
		}
	}
	for node, m := range holders {
		if w := t.watching[node]; w == nil || w.session != m.Session {
			t.watching[node] = &watched{session: m.Session, heard: now}
		}
	}
	t.holders = slices.Collect(maps.Values(holders))
}

// look asks a holder when that is due and replaces it when it is lost.
func (t *Tenure) look(ctx context.Context, holder Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	w := t.watching[holder.Node]
	if w == nil {
		return
	}
	if !w.asking && now.Sub(w.asked) >= askEvery {
		w.asking, w.asked = true, now
		t.group.Go(func() error {
			t.askHolder(ctx, holder, w)
			return nil
		})
	}
	why := w.judge(now, t.TTL, t.fresh(now))
	if why == "" {
		return
	}
	w.contested = now
	t.group.Go(func() error {
		if why != holderSilent || t.agreed(ctx, holder) {
			t.replace(ctx, holder, why)
		}
		return nil
	})
}

func (t *Tenure) ask(ctx context.Context, m Member, q Question) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return t.Ask(ctx, m, q)
}

func (t *Tenure) askHolder(ctx context.Context, holder Member, w *watched) {
	status, err := t.ask(ctx, holder, Question{From: t.Self.Node})
	t.mu.Lock()
	defer t.mu.Unlock()
	w.asking = false
	switch {
	case err == nil:
		w.heard, w.gone, w.storeAge = t.Clock(), 0, status.StoreAge
	case errors.Is(err, ErrNoProcess):
		w.gone++
	}
}

// agreed asks the other likely successors; one that heard the holder lately objects, and at least one must answer: a node that
// hears nobody is cut off itself.
func (t *Tenure) agreed(ctx context.Context, holder Member) bool {
	t.mu.Lock()
	var others []Member
	for _, s := range t.standings("", holder.Node) {
		if s.node != t.Self.Node && len(others) < guards {
			others = append(others, t.members[s.node].Member)
		}
	}
	t.mu.Unlock()
	answered := false
	for _, m := range others {
		status, err := t.ask(ctx, m, Question{From: t.Self.Node})
		if err != nil {
			continue
		}
		answered = true
		if age, ok := status.Heard[holder.Node]; ok && age < heardWithin {
			return false
		}
	}
	return answered
}

// replace takes the duties of a lost holder for which this node comes first, then tells it.
func (t *Tenure) replace(ctx context.Context, holder Member, why verdict) {
	taken := map[string]uint64{}
	t.mu.Lock()
	duties := map[string]Duty{}
	for name, d := range t.seen {
		if d.Node == holder.Node && d.Session == holder.Session && t.place(name, holder.Node) < guards {
			duties[name] = d
		}
	}
	t.mu.Unlock()
	for name, d := range duties {
		if !t.stillHeld(ctx, name, d) {
			continue
		}
		t.note(string(why), name, nil)
		if fence, ok := t.take(ctx, name, d.Fence); ok {
			taken[name] = fence
		}
	}
	if len(taken) == 0 {
		return
	}
	if _, err := t.ask(ctx, holder, Question{From: t.Self.Node, Taken: taken}); err != nil {
		t.note("lost holder not told", holder.Node, nil)
	}
}

// stillHeld reports whether a duty has the same holder after the time that is left to the guards that come first.
func (t *Tenure) stillHeld(ctx context.Context, name string, d Duty) bool {
	t.mu.Lock()
	delay := time.Duration(t.place(name, d.Node)) * rankDelay
	t.mu.Unlock()
	if !interval.Wait(ctx, delay) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen[name] == d
}

// Answer tells another node about this one.
func (t *Tenure) Answer(q Question) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for name, fence := range q.Taken {
		if h := t.held[name]; h != nil && fence > h.fence {
			t.drop(name, "another node holds the duty")
		}
	}
	s := Status{StoreAge: t.contactAge(now), Heard: map[string]time.Duration{}, Fences: map[string]uint64{}}
	for node, w := range t.watching {
		s.Heard[node] = now.Sub(w.heard)
	}
	for _, name := range q.Duties {
		s.Fences[name] = t.seen[name].Fence
	}
	return s
}
