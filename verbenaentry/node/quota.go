package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/verbenaentry/logs"
)

const (
	// grantPrefix is the prefix of the records that divide the limits of workspaces among the pools.
	grantPrefix = "grant/"
	// grantKeyBytes is the length of a workspace's part of its key before its encoding; names may be longer than a key.
	grantKeyBytes = 16
	// quotaInterval is the time after which grants are decided without an event, quotaPause the shortest pause between two decisions.
	quotaInterval = 50 * time.Millisecond
	quotaPause    = 10 * time.Millisecond
	// grantsPerWrite is the number of records in a transaction, which also holds a condition for each and one for the duty.
	grantsPerWrite = (store.MaxTransaction - 1) / 2
	// grantLines is the number of log lines per second for the grants of a pool.
	grantLines = 200
)

// grantKey is the key of the record of a workspace's limit.
func grantKey(workspace string) string {
	sum := sha256.Sum256([]byte(workspace))
	return grantPrefix + hex.EncodeToString(sum[:grantKeyBytes])
}

// grantRecord is the record of a workspace's limit with the workspace's name, which its key does not show.
type grantRecord struct {
	Workspace string `json:"workspace"`
	quota.Record
}

// grants keeps the grants of the pool's workspaces with a limit. Without such a workspace it makes no call to the store. The pool's lock guards the
// fields but for the last ones.
type grants struct {
	pool     *pool
	accounts map[string]*quota.Account
	// entries holds the records by key as the store had them last; listed is true after the first list.
	entries map[string]store.Entry
	listed  bool
	// workspaces holds the names of the accounts, sorted.
	workspaces []string

	// now triggers a decision before quotaInterval has passed.
	now    *ring.Ring[struct{}]
	budget logs.Budget
	// following is true once the records are followed, tries is the number of the present attempt to write since the last answer. Only run uses these
	// and gauges.
	following bool
	tries     int
	gauges    workspaceGauges
}

func newGrants(p *pool) *grants {
	return &grants{
		pool: p, accounts: map[string]*quota.Account{}, entries: map[string]store.Entry{}, now: ring.New[struct{}](1), tries: 1,
		budget: logs.Budget{PerSecond: grantLines},
	}
}

// configure applies the limits of a configuration to the scheduler at once. The caller holds the pool's lock.
func (g *grants) configure(c *workload.Configuration, scheduler *dispatch.Pool) {
	limited := map[string]bool{}
	for _, w := range c.Workspaces {
		if w.MaxRunning == (workload.Resources{}) {
			continue
		}
		limited[w.Name] = true
		a := g.accounts[w.Name]
		if a == nil {
			a = quota.NewAccount(g.pool.name)
			g.accounts[w.Name] = a
			if g.listed {
				g.observe(w.Name, g.entries[grantKey(w.Name)])
			}
		}
		a.SetLimit(c.Version, w.MaxRunning)
		scheduler.SetAllowance(w.Name, a.Allowance())
	}
	maps.DeleteFunc(g.accounts, func(name string, _ *quota.Account) bool { return !limited[name] })
	g.workspaces = slices.Sorted(maps.Keys(g.accounts))
	_ = g.now.Offer(struct{}{})
}

// observe applies a record as the store has it; a missing one has the revision 0. The caller holds the pool's lock.
func (g *grants) observe(workspace string, e store.Entry) {
	a := g.accounts[workspace]
	var r grantRecord
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &r); err != nil {
			// Without the grants of the other pools nothing can be granted; what was known before stays in force.
			g.pool.log.Error().Err(err).Str("workspace", workspace).Msg("record of grants cannot be decoded")
			return
		}
	}
	a.Observe(r.Record, uint64(e.Revision), g.pool.node.Clock.Now())
	g.pool.scheduler.SetAllowance(workspace, a.Allowance())
}

// apply applies changed records.
func (g *grants) apply(events []store.Event, _ bool) {
	p := g.pool
	p.mu.Lock()
	for _, e := range events {
		if e.Deleted {
			delete(g.entries, e.Entry.Key)
			continue
		}
		g.entries[e.Entry.Key] = e.Entry
	}
	if !g.listed {
		g.listed = true
		for _, name := range g.workspaces {
			g.observe(name, g.entries[grantKey(name)])
		}
	} else {
		changed := map[string]bool{}
		for _, e := range events {
			changed[e.Entry.Key] = true
		}
		for _, name := range g.workspaces {
			if key := grantKey(name); changed[key] {
				g.observe(name, g.entries[key])
			}
		}
	}
	p.mu.Unlock()
	p.triggerPlan()
	_ = g.now.Offer(struct{}{})
}

func (g *grants) follower() *follow.Follower {
	return &follow.Follower{Store: g.pool.node.Store, Prefix: grantPrefix, Clock: g.pool.node.Clock.Now, Apply: g.apply}
}

// run decides on the grants until the context ends.
func (g *grants) run(ctx context.Context) error {
	p := g.pool
	defer g.gauges.drop(p)
	for range interval.EachOr(ctx, quotaInterval, g.now.Items()) {
		p.mu.Lock()
		limited := len(g.workspaces) > 0
		p.mu.Unlock()
		if !limited {
			continue
		}
		if !g.following {
			g.following = true
			p.group.Go(func() error { return g.follower().Run(ctx) })
		}
		if p.active() {
			g.step(ctx)
		}
		pause := quotaPause
		if g.tries > 1 {
			pause = min(storeRetryPause<<min(g.tries, maxBackoffDoublings), writeInterval)
		}
		interval.Wait(ctx, pause)
	}
	return nil
}

// grantChange is a decided change with the figures for its log line.
type grantChange struct {
	workspace string
	revision  store.Revision
	usage     quota.Usage
	quota.Change
}

// step decides on all grants once and writes the changes.
func (g *grants) step(ctx context.Context) {
	p := g.pool
	now := p.node.Clock.Now()
	var changes []grantChange
	p.mu.Lock()
	usage := p.scheduler.WorkspaceUsage(now)
	for _, name := range g.workspaces {
		a := g.accounts[name]
		c, changed := a.Decide(usage[name], now)
		if changed {
			changes = append(changes, grantChange{name, store.Revision(a.Revision()), usage[name], c})
		}
		p.scheduler.SetAllowance(name, a.Allowance())
	}
	g.gauges.update(g, usage, now)
	p.mu.Unlock()
	for chunk := range slices.Chunk(changes, grantsPerWrite) {
		if !g.write(ctx, chunk) {
			return
		}
	}
}

// write writes changes on condition that the duty is held and that the records are those on which the changes were decided, so that a write that
// arrives late has no effect. A raise counts only once the store has answered. It returns false if the store has not, and once the duty
// is lost.
func (g *grants) write(ctx context.Context, changes []grantChange) (answered bool) {
	p := g.pool
	t := store.Transaction{If: []store.Condition{p.dutyCondition()}}
	for _, c := range changes {
		value, err := json.Marshal(grantRecord{c.workspace, c.Record})
		if err != nil {
			p.log.Error().Err(err).Str("workspace", c.workspace).Msg("record of grants not encoded")
			return true
		}
		key := grantKey(c.workspace)
		t.If = append(t.If, store.Condition{Key: key, Revision: c.revision})
		t.Put = append(t.Put, store.Write{Key: key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, p.node.StoreTimeout.forAttempt(g.tries))
	defer cancel()
	sent := p.node.Clock.Now()
	revision, current, err := p.node.Store.Apply(callCtx, t)
	g.logChanges(changes, err, p.node.Clock.Now().Sub(sent))
	switch {
	case err == nil:
		p.node.Elector.MarkHeld(p.name, p.fence, sent)
		current = nil
		for _, w := range t.Put {
			current = append(current, store.Entry{Key: w.Key, Value: w.Value, Revision: revision})
		}
	case !errors.Is(err, store.ErrConflict):
		g.tries++
		return false
	case !p.ownsDuty(current):
		p.markLost()
		return false
	}
	g.tries = 1
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		a := g.accounts[c.workspace]
		if a == nil {
			// The configuration has no limit for it any more.
			continue
		}
		if err != nil {
			a.Refused()
		}
		g.observe(c.workspace, findEntry(current, grantKey(c.workspace)))
	}
	p.triggerPlan()
	return true
}

// logChanges counts and logs the outcome of decisions on grants.
func (g *grants) logChanges(changes []grantChange, err error, took time.Duration) {
	outcome := "written"
	switch {
	case errors.Is(err, store.ErrConflict):
		outcome = "conflict"
	case errors.Is(err, store.ErrRefused):
		outcome = "refused"
	case err != nil:
		outcome = "unanswered"
	}
	observe(g.pool.node.Registry, "grantWrites."+outcome, took)
	for _, c := range changes {
		leftOut, ok := g.budget.Allow(time.Now())
		if !ok {
			continue
		}
		share, granted := c.Record.Pools[g.pool.name], c.Record.Granted()
		line := g.pool.log.Info()
		if leftOut > 0 {
			line = line.Int64("linesLeftOut", leftOut)
		}
		line.Err(err).Str("workspace", c.workspace).Str("reason", string(c.Reason)).Str("outcome", outcome).Uint64("revision", uint64(c.revision)).Dur("took", took).
			Interface("limit", c.Record.Limit).Interface("granted", granted).Interface("before", c.Before).Interface("grant", share.Grant).
			Interface("want", share.Want).Interface("used", c.usage.Known).Interface("short", c.usage.Short).Msg("grant decided")
	}
}
