package demo

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/sample"
	"verbenalanding.example/fleet/standin"
)

const (
	dataCentres = 3
	slots       = 8
	connections = 64
	// requestTime is how long a backend server processes a request.
	requestTime = 200 * time.Millisecond
	rebootTime  = 300 * time.Millisecond
	gigabyte    = 1_000_000_000
)

// deployment is one of the two sample deployments with its stand-ins and entry instances.
type deployment struct {
	name string
	// tokensFile is the file with the operators' hashed tokens.
	tokensFile    string
	log           zerolog.Logger
	printProgress func(format string, args ...any)
	rand          *rand.Rand

	set     declaration.Set
	site    *standin.Site
	entries *entries
	traffic *traffic
	auditor *auditor
	wave    string
	jobs    jobCounts
}

func (d *deployment) run(ctx context.Context) error {
	if err := d.open(); err != nil {
		return err
	}
	siteCtx, stopSite := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSite()
	siteGroup := &errgroup.Group{}
	siteGroup.Go(func() error { return d.site.Run(siteCtx) })
	err := d.startEntries(ctx)
	if err == nil {
		err = d.runPhases(ctx)
	}
	err = errors.Join(err, d.entries.stopAll())
	stopSite()
	return errors.Join(err, siteGroup.Wait())
}

// open loads the sample declarations and creates the stand-ins, the traffic and the auditor.
func (d *deployment) open() error {
	set, err := sample.Set(d.name)
	if err != nil {
		return err
	}
	set.PauseWaves()
	d.set = set
	instances := 0
	for _, p := range set.Pools {
		instances += p.Instances
	}
	d.site = &standin.Site{
		Name: d.name, Instances: instances, DataCentres: dataCentres, Capacity: instanceCapacity(d.name),
		Slots: slots, Connections: connections, ServiceTime: requestTime, RebootTime: rebootTime,
	}
	if err := d.site.Open(); err != nil {
		return err
	}
	d.entries = &entries{}
	d.traffic = newTraffic(d)
	d.auditor = newAuditor(d)
	return nil
}

// team returns the declared team with index n in the order of names, modulo the number of teams.
func (d *deployment) team(n int) string {
	teams := slices.Sorted(maps.Keys(d.set.Teams))
	return teams[n%len(teams)]
}

func instanceCapacity(name string) platform.Resources {
	if name == "cascade" {
		return platform.Resources{MilliCores: 64_000, MemoryBytes: 128 * gigabyte}
	}
	return platform.Resources{MilliCores: 16_000, MemoryBytes: 64 * gigabyte}
}

// runPhases applies the declarations, waits until the pools are filled and runs the phases of the demonstration.
func (d *deployment) runPhases(ctx context.Context) error {
	if err := d.apply(ctx, "declare", d.set); err != nil {
		return err
	}
	d.printProgress("declarations applied: %d pools, %d services, %d budgets", len(d.set.Pools), len(d.set.Services), len(d.set.Budgets))
	if err := d.awaitPools(ctx); err != nil {
		return err
	}
	d.printProgress("%d instances are in service behind %d entry instances", d.site.Instances, dataCentres)

	backgroundCtx, stop := context.WithCancel(ctx)
	defer stop()
	group, backgroundCtx := errgroup.WithContext(backgroundCtx)
	group.Go(func() error { return d.auditor.run(backgroundCtx) })
	group.Go(func() error { return d.traffic.run(backgroundCtx) })
	err := d.demonstrate(ctx)
	d.traffic.stop()
	stop()
	return errors.Join(err, group.Wait())
}

func (d *deployment) demonstrate(ctx context.Context) error {
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	if err := pause(ctx, calmTime); err != nil {
		return err
	}
	d.printProgress("calm: %s", d.traffic.summary(calm))
	if err := d.declareWave(ctx); err != nil {
		return err
	}
	d.traffic.setPhase(flood)
	d.printProgress("flood begins while the wave runs: five times the mean rate of %s", d.traffic.floodedServices())
	if err := pause(ctx, floodTime); err != nil {
		return err
	}
	d.printProgress("flood: %s", d.traffic.summary(flood))
	d.traffic.setPhase(afterFlood)
	if err := d.replaceEntries(ctx); err != nil {
		return err
	}
	if err := d.awaitWave(ctx); err != nil {
		return err
	}
	if err := d.awaitJobs(ctx); err != nil {
		return err
	}
	return pause(ctx, settleTime)
}

// apply proposes a change from the configuration in force to another set of declarations, as an operator would.
func (d *deployment) apply(ctx context.Context, id string, next declaration.Set) error {
	l := &configuration.Log{Store: d.site.Store, Validate: declaration.Validate, Now: time.Now, Log: d.log}
	if err := l.CatchUp(ctx); err != nil {
		return err
	}
	set, revision, err := l.Current()
	if err != nil {
		return err
	}
	_, err = l.Propose(ctx, configuration.Change{ID: id, Base: revision, By: "demo", Delta: declaration.Diff(set, next)})
	return err
}

// declareWave adds a wave over one pool without restrictions on the time of day.
func (d *deployment) declareWave(ctx context.Context) error {
	d.wave = "demo"
	pool := map[string]string{"cascade": "cuttingRoom", "tintaviva": "faultsAndFirmware"}[d.name]
	next := d.set.Apply(declaration.Delta{})
	next.Waves[d.wave] = declaration.Wave{
		Name: d.wave, Scope: declaration.Scope{Pools: []string{pool}}, Every: 21 * 24 * time.Hour,
		HaltAfter: 2, RebootTime: time.Second,
	}
	if err := d.apply(ctx, "wave", next); err != nil {
		return fmt.Errorf("declare wave: %w", err)
	}
	d.printProgress("wave %s declared over pool %s", d.wave, pool)
	return nil
}

func (d *deployment) awaitPools(ctx context.Context) error {
	return await(ctx, "pools to fill", func() (bool, error) {
		instances, err := d.instances(ctx)
		if err != nil {
			return false, err
		}
		count := map[string]int{}
		for _, i := range instances {
			if i.State == "inService" {
				count[i.Pool]++
			}
		}
		for name, p := range d.set.Pools {
			if count[name] < p.Instances {
				return false, nil
			}
		}
		return true, nil
	})
}

// await polls a condition until it holds, fails or the context ends.
func await(ctx context.Context, goal string, condition func() (bool, error)) error {
	for {
		ok, err := condition()
		if ok || err != nil {
			return err
		}
		if err := pause(ctx, 100*time.Millisecond); err != nil {
			return fmt.Errorf("wait for %s: %w", goal, err)
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if !interval.Wait(ctx, d) {
		return ctx.Err()
	}
	return nil
}
