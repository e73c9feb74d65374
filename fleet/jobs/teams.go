package jobs

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// grantPart is the divisor of a quota that gives the step by which a shard's grant grows and shrinks. Large steps let few
// writes serve many jobs.
const grantPart = 8

// idleGrantTimeout is how long a grant is kept after its use has fallen.
const idleGrantTimeout = time.Minute

// maxTeamWrites limits the writes of team records per step.
const maxTeamWrites = 4

// grant is the part of a team's quota that this shard may use.
type grant struct {
	granted platform.Resources
	// loaded means that the team's record has been read, which includes the grant of an earlier holder.
	loaded    bool
	idleSince time.Time
}

// adjustGrants enlarges grants that were too small and otherwise returns idle ones. The grants of all shards never exceed a
// quota in total, because each change is a compare-and-swap on the team's record.
func (h *Holder) adjustGrants(ctx context.Context) {
	shortages := h.planner.Shortages()
	names := make([]string, 0, len(shortages))
	for name := range shortages {
		if _, ok := h.set.Teams[name]; ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	names = names[:min(len(names), maxTeamWrites)]
	// In parallel, because a slow store takes 2 s per call and the step must end in time to renew task leases.
	failures := make([]error, len(names))
	var group errgroup.Group
	for i, name := range names {
		group.Go(func() error {
			failures[i] = h.resizeGrant(ctx, name, shortages[name])
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		h.Log.Error().Err(err).Msg("failed to adjust quota grants")
	}
	for _, err := range failures {
		if err != nil {
			h.storeFailed(err)
		}
	}
	if len(names) == 0 {
		h.returnIdleGrant(ctx)
	}
}

func (h *Holder) updateQuotas() {
	quotas := make(map[string]placement.Quota, len(h.set.Teams))
	for name, t := range h.set.Teams {
		if h.grants[name] == nil {
			h.grants[name] = &grant{}
		}
		total := quotaOf(t)
		quotas[name] = placement.Quota{Total: total, Granted: minimum(h.grants[name].granted, total)}
	}
	h.planner.Handle(h.now, placement.Quotas{Teams: quotas})
}

// returnIdleGrant reduces at most one grant that is much larger than its use.
func (h *Holder) returnIdleGrant(ctx context.Context) {
	for _, name := range sortedKeys(h.set.Teams) {
		t, g := h.set.Teams[name], h.grants[name]
		part := fraction(quotaOf(t), grantPart)
		used := h.planner.TeamUse(name)
		// A grant that was not read may date from a former holder, and no other shard returns it.
		if g.loaded && fits(g.granted, sum(used, sum(part, part))) {
			g.idleSince = time.Time{}
			continue
		}
		if g.idleSince.IsZero() {
			g.idleSince = h.now
		}
		if h.now.Sub(g.idleSince) >= idleGrantTimeout {
			if err := h.resizeGrant(ctx, name, used); err != nil {
				h.storeFailed(err)
			}
			return
		}
	}
}

// resizeGrant sets this shard's grant to wanted plus one step, at most to the part of the quota that the other shards do not hold.
func (h *Holder) resizeGrant(ctx context.Context, name string, wanted platform.Resources) error {
	// A read and a write, each of which takes 2 s with a slow store.
	ctx, cancel := context.WithTimeout(ctx, 2*h.Timing.StoreTimeout)
	defer cancel()
	key := record.TeamPrefix + name
	usage, revision, err := record.Load[record.TeamUsage](ctx, h.Store, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	shard := strconv.Itoa(h.Shard)
	own := usage.Grants[shard]
	g := h.grants[name]
	if own.Epoch > h.Epoch {
		return nil
	}
	g.loaded = true
	total := quotaOf(h.set.Teams[name])
	available := total
	for other, o := range usage.Grants {
		if other != shard {
			available = difference(available, o.Amount)
		}
	}
	amount := minimum(sum(wanted, fraction(total, grantPart)), available)
	amount = maximum(amount, platform.Resources{})
	if amount == own.Amount && own.Epoch == h.Epoch {
		g.granted = amount
		return nil
	}
	if usage.Grants == nil {
		usage = record.TeamUsage{Team: name, Grants: map[string]record.Grant{}}
	}
	usage.Grants[shard] = record.Grant{Amount: amount, Epoch: h.Epoch}
	// A smaller grant applies immediately, even if the answer is lost; a larger one only once the write is confirmed.
	g.granted = minimum(g.granted, amount)
	if _, err := record.Save(ctx, h.Store, key, usage, revision, 0); err != nil {
		// The record may hold a larger grant than is used here. It is read again, so that the excess is returned.
		g.loaded = false
		return err
	}
	g.granted = amount
	g.idleSince = time.Time{}
	return nil
}

func minimum(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores: min(a.MilliCores, b.MilliCores), MemoryBytes: min(a.MemoryBytes, b.MemoryBytes), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func maximum(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores: max(a.MilliCores, b.MilliCores), MemoryBytes: max(a.MemoryBytes, b.MemoryBytes), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func difference(a, b platform.Resources) platform.Resources {
	return platform.Resources{
		MilliCores: a.MilliCores - b.MilliCores, MemoryBytes: a.MemoryBytes - b.MemoryBytes, Accelerators: a.Accelerators - b.Accelerators,
	}
}

func fraction(a platform.Resources, parts int64) platform.Resources {
	return platform.Resources{MilliCores: a.MilliCores / parts, MemoryBytes: a.MemoryBytes / parts, Accelerators: a.Accelerators / parts}
}
