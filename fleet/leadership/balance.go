package leadership

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// balanceEvery is how often the load of the node is compared with that of others.
	balanceEvery = time.Second
	// balanceAfter is how long another node must have been better placed, since nodes come and go in a rolling restart.
	balanceAfter = 3 * time.Second
	// balancePause lies between two duties that a node gives away: each costs its pool a moment without orders.
	balancePause = 5 * time.Second
	// balanceGain is how many times lighter another node must be, with the duty, than this one is now.
	balanceGain = 2
	// releaseTimeout bounds the end of a duty that is given away.
	releaseTimeout = 1500 * time.Millisecond
)

// balance gives duties to nodes with more processors and fewer duties.
func (el *Elector) balance(ctx context.Context) error {
	var since time.Time
	for range interval.Each(ctx, balanceEvery) {
		now := el.Clock()
		name := el.surplus()
		switch {
		case name == "":
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) >= balanceAfter:
			el.release(ctx, name)
			since = now.Add(balancePause - balanceAfter)
		}
	}
	return nil
}

// surplus returns a duty that another node should hold; empty when there is none.
func (el *Elector) surplus() string {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leaving || len(el.held) == 0 || !el.fresh(el.Clock()) {
		return ""
	}
	names := slices.Sorted(maps.Keys(el.held))
	others := el.standings(names[0], el.Self.Node)
	if len(others) == 0 {
		return ""
	}
	own := float64(len(el.held)) / max(el.Self.Cores, leastCores)
	lightest := slices.MinFunc(others, func(a, b standing) int { return cmp.Compare(a.load, b.load) })
	if lightest.load*balanceGain > own {
		return ""
	}
	return names[0]
}

// release ends the work of a duty in an orderly way and deletes its key, so that the node that comes first takes it.
func (el *Elector) release(ctx context.Context, name string) {
	el.mu.Lock()
	h := el.held[name]
	el.releasing = name
	el.mu.Unlock()
	defer func() {
		el.mu.Lock()
		defer el.mu.Unlock()
		el.releasing = ""
	}()
	if h == nil {
		return
	}
	el.note("duty released", name, nil)
	h.cancel(ErrLeaving)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	select {
	case <-h.done:
	case <-ctx.Done():
		return
	}
	_, _, err := el.Store.Apply(ctx, store.Transaction{
		If: []store.Condition{{Key: Prefix + name, Revision: store.Revision(h.fence)}}, Delete: []string{Prefix + name},
	})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		el.note("released duty keeps its key", name, err)
		return
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.seen[name].Fence == h.fence {
		// The watch has not told the deletion yet.
		delete(el.seen, name)
		el.vacant[name], el.stale = el.Clock(), true
	}
}
