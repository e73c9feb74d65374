package daemon

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/archive"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/duty"
	"verbenalanding.example/fleet/entry"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/jobs"
	"verbenalanding.example/fleet/maintenance"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	snapshotDuty       = "snapshot"
	deferredDutyPrefix = "deferred/"
	jobsDutyPrefix     = "jobs/"
	// housekeepingInterval is the interval at which snapshots are written and stale registrations are removed.
	housekeepingInterval = 5 * time.Second
)

// duties runs the duties that this process holds.
type duties struct {
	daemon    *Daemon
	stores    stores
	mirrors   *mirrors
	configLog *configuration.Log
	tracker   *drain.Tracker
	entry     *entry.Entry
	view      *view
	claims    *claims
	demands   *demands
	observer  *observer
	fleet     *maintenance.Fleet
	log       zerolog.Logger
}

func newDuties(d *Daemon, s stores, m *mirrors, c *configuration.Log, t *drain.Tracker, e *entry.Entry, v *view, cl *claims, dm *demands, o *observer, log zerolog.Logger) *duties {
	return &duties{
		daemon: d, stores: s, mirrors: m, configLog: c, tracker: t, entry: e, view: v, claims: cl, demands: dm, observer: o, log: log,
		fleet: &maintenance.Fleet{Store: s[store.Maintenance], Control: d.Platform, MinInterval: 500 * time.Millisecond, InFlight: e.InFlight},
	}
}

// names returns the names of the duties that exist under the configuration in force.
func (d *duties) names() []string {
	set, _, err := d.configLog.Current()
	if err != nil {
		return nil
	}
	names := []string{snapshotDuty}
	for pool := range d.pools(set) {
		names = append(names, maintenance.PoolDutyPrefix+pool)
	}
	for wave := range set.Waves {
		names = append(names, maintenance.WaveDutyPrefix+wave)
	}
	names = appendShards(names, claimDutyPrefix, claim.Shards)
	names = appendShards(names, deferredDutyPrefix, deferred.Shards)
	return appendShards(names, jobsDutyPrefix, jobs.DefaultShards)
}

// pools returns the declared pools and the removed pools that still have instances.
func (d *duties) pools(set declaration.Set) map[string]bool {
	pools := map[string]bool{}
	for name := range set.Pools {
		pools[name] = true
	}
	for _, i := range d.view.instances() {
		pools[i.Pool] = true
	}
	return pools
}

func appendShards(names []string, prefix string, shards int) []string {
	for i := range shards {
		names = append(names, prefix+strconv.Itoa(i))
	}
	return names
}

// run performs a duty until its context ends.
func (d *duties) run(ctx context.Context, t duty.Term) error {
	switch {
	case t.Name == snapshotDuty:
		return d.runSnapshotDuty(ctx, t)
	case strings.HasPrefix(t.Name, maintenance.PoolDutyPrefix):
		pool := strings.TrimPrefix(t.Name, maintenance.PoolDutyPrefix)
		loop := &maintenance.PoolLoop{Duty: d.maintenanceDuty(t), Pool: pool, Planner: &move.Planner{}, Demand: d.samples}
		return loop.Run(ctx)
	case strings.HasPrefix(t.Name, maintenance.WaveDutyPrefix):
		name := strings.TrimPrefix(t.Name, maintenance.WaveDutyPrefix)
		loop := &maintenance.WaveLoop{Duty: d.maintenanceDuty(t), Wave: name, Forecasts: &move.Planner{}, Demand: d.samples}
		return loop.Run(ctx)
	case strings.HasPrefix(t.Name, claimDutyPrefix):
		return d.runShard(ctx, t, claimDutyPrefix, d.runClaimShard)
	case strings.HasPrefix(t.Name, deferredDutyPrefix):
		return d.runShard(ctx, t, deferredDutyPrefix, d.runDeferredShard)
	case strings.HasPrefix(t.Name, jobsDutyPrefix):
		return d.runShard(ctx, t, jobsDutyPrefix, d.runJobsShard)
	default:
		return fmt.Errorf("unknown duty %s", t.Name)
	}
}

func (d *duties) runShard(ctx context.Context, t duty.Term, prefix string, runHolder func(context.Context, duty.Term, int) error) error {
	shard, err := strconv.Atoi(strings.TrimPrefix(t.Name, prefix))
	if err != nil {
		return fmt.Errorf("duty %s: %w", t.Name, err)
	}
	return runHolder(ctx, t, shard)
}

func (d *duties) runClaimShard(ctx context.Context, t duty.Term, shard int) error {
	return d.claims.runShard(ctx, t, shard)
}

func (d *duties) runDeferredShard(ctx context.Context, t duty.Term, shard int) error {
	h := &deferred.Holder{
		Store: d.stores[store.DeferredWork], Shard: shard, Epoch: t.Epoch, Executor: d.entry, Log: d.log,
	}
	return h.Run(ctx)
}

func (d *duties) runJobsShard(ctx context.Context, t duty.Term, shard int) error {
	h := &jobs.Holder{
		Store: d.stores[store.Jobs], Workers: d.daemon.Platform, Epoch: t.Epoch, Shard: shard,
		Configuration: d.view.configuration, Members: d.view.instances, Log: d.log,
	}
	d.observer.setJobsHolder(shard, h)
	defer d.observer.setJobsHolder(shard, nil)
	return h.Run(ctx)
}

func (d *duties) maintenanceDuty(t duty.Term) maintenance.Duty {
	return maintenance.Duty{
		Store: d.stores[store.Maintenance], Control: d.daemon.Platform, Drains: drains{d.tracker}, Epoch: t.Epoch,
		Configuration: d.view.configuration, Log: d.log, Fleet: d.fleet,
		Interval: d.daemon.Timing.Step, CheckTime: d.daemon.Timing.Check, SpareDelay: d.daemon.Timing.SpareDelay,
		ClockSkew: d.daemon.Timing.ClockSkew,
	}
}

func (d *duties) samples() []move.Sample { return d.demands.samples(time.Now()) }

// drains provides the tracker's drain confirmations to the maintenance loops.
type drains struct {
	tracker *drain.Tracker
}

// Confirmed reports whether every entry instance has confirmed a drain; otherwise the error names those that have not.
func (d drains) Confirmed(_ context.Context, instance string, number uint64) (bool, error) {
	confirmed, unconfirmed := d.tracker.Confirmed(instance, number, time.Now())
	if !confirmed {
		return false, errors.New(unconfirmed)
	}
	return true, nil
}

// runSnapshotDuty runs housekeeping and merges the archived counts until the context ends or one of the two fails.
func (d *duties) runSnapshotDuty(ctx context.Context, t duty.Term) error {
	merger := &archive.Merger{Store: d.stores[store.Maintenance], Epoch: t.Epoch, Window: d.longestWindow, Log: d.log}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.housekeeping(ctx) })
	group.Go(func() error { return merger.Run(ctx) })
	return group.Wait()
}

// longestWindow returns the longest objective window, which is how long counts are kept.
func (d *duties) longestWindow() time.Duration {
	set, _ := d.view.configuration()
	window := defaultWindow
	for _, o := range set.Objectives {
		window = max(window, o.Window)
	}
	return window
}

// housekeeping periodically writes snapshots and removes stale registrations.
func (d *duties) housekeeping(ctx context.Context) error {
	for range interval.FromNow(ctx, housekeepingInterval) {
		if err := d.configLog.Compact(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("could not write the configuration snapshot")
		}
		if err := d.removeStaleRegistrations(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn().Err(err).Msg("could not remove stale registrations")
		}
	}
	return ctx.Err()
}

// removeStaleRegistrations removes the registration of every entry instance without a live key that the platform lists as gone or
// that an operator has retired.
func (d *duties) removeStaleRegistrations(ctx context.Context) error {
	set, _ := d.view.configuration()
	members := record.MembersOf(d.mirrors.members.All())
	for id := range members.Registered {
		if _, live := members.Live[id]; live {
			continue
		}
		intent := declaration.Intent{Kind: declaration.RetireInstance, Target: id}
		_, retired := set.Intents[intent.Key()]
		if !retired && !d.view.gone(id) {
			continue
		}
		_, revision, _ := d.mirrors.members.Get(id)
		if err := d.stores[store.Membership].Delete(ctx, record.EntryPrefix+id, revision); err != nil {
			return fmt.Errorf("remove registration of %s: %w", id, err)
		}
		d.log.Info().Str("instance", id).Msg("removed the registration of an entry instance that is gone")
	}
	return nil
}
