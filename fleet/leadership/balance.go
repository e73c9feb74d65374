package leadership

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// balanceInterval is how often the load of the node is compared with that of others.
	balanceInterval = time.Second
	// balanceDelay is how long another node must have been the better holder, since nodes come and go in a rolling restart.
	balanceDelay = 3 * time.Second
	// balanceCooldown is the delay between two duties that a node hands over: each handover leaves a pool briefly without orders.
	balanceCooldown = 5 * time.Second
	// minLoadRatio is the factor by which the load of this node must exceed the load that the other node would have with the duty.
	minLoadRatio = 2
	// releaseTimeout bounds how long the work of a released duty may take to end.
	releaseTimeout = 1500 * time.Millisecond
)

// balance hands duties over to nodes with more processors and fewer duties.
func (el *Elector) balance(ctx context.Context) error {
	var imbalancedSince time.Time
	for range interval.Each(ctx, balanceInterval) {
		now := el.Clock()
		name := el.dutyToRelease()
		switch {
		case name == "":
			imbalancedSince = time.Time{}
		case imbalancedSince.IsZero():
			imbalancedSince = now
		case now.Sub(imbalancedSince) >= balanceDelay:
			el.release(ctx, name)
			imbalancedSince = now.Add(balanceCooldown - balanceDelay)
		}
	}
	return nil
}

// dutyToRelease returns a duty that another node should hold; empty if there is none.
func (el *Elector) dutyToRelease() string {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leaving || len(el.held) == 0 || !el.storeReachable(el.Clock()) {
		return ""
	}
	names := slices.Sorted(maps.Keys(el.held))
	others := el.candidates(names[0], el.Self.Node)
	if len(others) == 0 {
		return ""
	}
	ownLoad := float64(len(el.held)) / max(el.Self.Cores, minCores)
	lightest := slices.MinFunc(others, func(a, b candidate) int { return cmp.Compare(a.load, b.load) })
	if lightest.load*minLoadRatio > ownLoad {
		return ""
	}
	return names[0]
}

// release ends the work of a duty gracefully and deletes its key, so that the node that ranks first acquires it.
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
	el.notify("duty released", name, nil)
	h.cancel(ErrReleased)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	select {
	case <-h.done:
	case <-ctx.Done():
		return
	}
	if err := el.deleteKey(ctx, name, h); err != nil {
		el.notify("key of the released duty not deleted", name, err)
		return
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.duties[name].Fence == h.fence {
		// The watch has not reported the deletion yet.
		delete(el.duties, name)
		el.vacantSince[name], el.holdersStale = el.Clock(), true
	}
}
