package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/duty"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/maintenance"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

var poolSizes = []int{25, 75, targetPools}

// configuration measures the cost of following the change log for an entry instance.
func (c *Capacity) configuration(ctx context.Context) ([]Slope, error) {
	memory := Slope{
		Quantity: "configuration in memory", Role: "entry instance", Per: "pool", Unit: "bytes", Target: targetPools,
		Limit: memoryLimit, Mechanism: "change log, one copy of the set",
	}
	load := Slope{
		Quantity: "applying and validating changes", Role: "entry instance", Per: "pool", Unit: "share of a core", Target: targetPools,
		Limit: coreLimit, Mechanism: "change log, 16,000 changes a day",
	}
	traffic := Slope{
		Quantity: "following changes", Role: "entry instance", Per: "pool", Unit: "bytes/s", Target: targetPools,
		Limit: trafficLimit, Mechanism: "one watch on the change log, changed objects only",
	}
	for _, pools := range poolSizes {
		set := fleetSet(pools)
		s := standin.NewStore()
		l, bytes, err := heapOf(func() (*configuration.Log, error) {
			l := &configuration.Log{Store: s, Now: time.Now}
			_, err := l.Propose(ctx, configuration.Change{ID: "all", Delta: declaration.Diff(declaration.Set{}, fleetSet(pools))})
			return l, err
		})
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(pools), bytes})
		pool := set.Pools[poolName(0)]
		pool.Maximum++
		change := configuration.Change{ID: "one", Base: 1, By: "operator", Delta: declaration.Delta{
			Written: declaration.Set{Pools: map[string]declaration.Pool{pool.Name: pool}},
		}}
		encoded, err := json.Marshal(change)
		if err != nil {
			return nil, err
		}
		traffic.Points = append(traffic.Points, Point{float64(pools), float64(len(encoded)) * changesPerSecond})
		seconds, err := fastest(20, func() error { return declaration.Validate(set.Apply(change.Delta)) })
		if err != nil {
			return nil, err
		}
		load.Points = append(load.Points, Point{float64(pools), seconds * changesPerSecond})
		runtime.KeepAlive(l)
	}
	return []Slope{memory, load, traffic}, nil
}

// mirrors measures the cost of following the instance records for an entry instance.
func (c *Capacity) mirrors(ctx context.Context) ([]Slope, error) {
	memory := Slope{
		Quantity: "instance records in memory", Role: "entry instance", Per: "worker", Unit: "bytes", Target: targetWorkers,
		Limit: memoryLimit, Mechanism: "one watch on the instance records",
	}
	start := Slope{
		Quantity: "reading all records at start", Role: "entry instance", Per: "worker", Unit: "seconds", Target: targetWorkers,
		Mechanism: "pages of 500 records",
	}
	step := Slope{
		Quantity: "maintenance steps", Role: "holder of 1/39 of the duties", Per: "worker", Unit: "share of a core", Target: targetWorkers,
		Limit: coreLimit, Mechanism: "one loop for each pool and wave, a step a second",
	}
	for _, workers := range []int{500, 1500, targetWorkers} {
		pools := max(workers*targetPools/targetWorkers, 1)
		s := standin.NewStore()
		for i := range workers {
			r := instance(i, pools)
			if _, err := record.Save(ctx, s, record.InstancePrefix+r.ID, r, 0, 0); err != nil {
				return nil, err
			}
		}
		m, bytes, err := heapOf(func() (*mirror.Mirror[record.Instance], error) {
			m := &mirror.Mirror[record.Instance]{Store: s, Prefix: record.InstancePrefix}
			return m, m.Refresh(ctx)
		})
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(workers), bytes})
		seconds, err := fastest(3, func() error { return m.Refresh(ctx) })
		if err != nil {
			return nil, err
		}
		start.Points = append(start.Points, Point{float64(workers), seconds})
		load, err := stepLoad(ctx, s, workers, pools)
		if err != nil {
			return nil, err
		}
		step.Points = append(step.Points, Point{float64(workers), load})
		runtime.KeepAlive(m)
	}
	return []Slope{memory, start, step}, nil
}

// idleDrains never confirms a drain, since no stop is in progress in the measured steps.
type idleDrains struct{}

// Confirmed reports that nothing is confirmed.
func (idleDrains) Confirmed(context.Context, string, uint64) (bool, error) { return false, nil }

// stepLoad returns the share of a core that a node uses for the steps of its share of the pools' loops.
func stepLoad(ctx context.Context, s store.Store, workers, pools int) (float64, error) {
	set := fleetSet(pools)
	set.PauseWaves()
	control := standin.NewControl()
	for i := range workers {
		r := instance(i, pools)
		control.Add(platform.Instance{ID: r.ID, Addr: r.Addr, Location: r.Location, Capacity: r.Capacity, Status: platform.Live, Healthy: true})
	}
	now := time.Unix(1_790_000_100, 0)
	fleet := &maintenance.Fleet{Store: s, Control: control, MinInterval: time.Hour, Now: func() time.Time { return now }}
	loop := &maintenance.PoolLoop{Pool: poolName(0), Duty: maintenance.Duty{
		Store: s, Control: control, Drains: idleDrains{}, Epoch: 1, Fleet: fleet,
		Configuration: func() (declaration.Set, uint64) { return set, 1 }, Now: func() time.Time { return now },
	}}
	if err := loop.Step(ctx, now); err != nil {
		return 0, err
	}
	seconds, err := fastest(10, func() error { return loop.Step(ctx, now) })
	heldDuties := float64(pools*dutiesPerPool) / targetEntries
	return seconds * max(heldDuties, 1), err
}

// heartbeats measures the traffic between entry instances in normal operation.
func (c *Capacity) heartbeats(context.Context) ([]Slope, error) {
	s := Slope{
		Quantity: "heartbeats sent and received", Role: "entry instance", Per: "peer", Unit: "bytes/s", Target: 12,
		Limit: trafficLimit, Mechanism: "one exchange for each pair of a region every 4 s, at most 8 begun a second",
	}
	h := peer.Heartbeat{From: "region1-dc01-entry01", ConfigRevision: 1_000_000, InstanceRevision: 10_000_000}
	// The demand of two of a node's pools differs enough from the last report to the peer, or is due to be reported again.
	for i := range 2 {
		h.Demand = append(h.Demand, peer.Demand{
			Pool: poolName(i), Services: []admission.ServiceDemand{{Service: poolName(i) + "-urgent", Slots: 12.34}},
		})
	}
	encoded, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	// jsonrpc2 adds its envelope. TCP and IP add their headers to one segment in each direction and to an acknowledgement.
	const envelope, headers, everySeconds = 80, 3 * 52, 4.0
	perExchange := float64(2*(len(encoded)+envelope) + headers)
	for _, peers := range []int{3, 8, 12} {
		s.Points = append(s.Points, Point{float64(peers), perExchange * float64(peers) / everySeconds})
	}
	return []Slope{s}, nil
}

// drains measures the messages and store reads of a drain.
func (c *Capacity) drains(ctx context.Context) ([]Slope, error) {
	messages := Slope{
		Quantity: "drain messages", Role: "all holders together", Per: "entry instance", Unit: "messages/s", Target: targetEntries,
		Mechanism: "drain.status to every entry instance each 500 ms of a drain",
	}
	reads := Slope{
		Quantity: "reads of the registrations", Role: "store", Per: "entry instance", Unit: "reads/s", Target: targetEntries,
		Limit: store.Shares[store.Maintenance].Reads, Mechanism: "one list for each round of drain.status calls",
	}
	// A drain of an instance whose requests take a few seconds needs about 10 rounds.
	const rounds = 10
	for _, entries := range []int{3, 9, targetEntries} {
		queries, lists := 0, 0
		members := map[string]record.Entry{}
		for i := range entries {
			id := fmt.Sprintf("entry%02d", i)
			members[id] = record.Entry{ID: id}
		}
		queried := make(chan struct{}, entries*rounds)
		t := &drain.Tracker{
			Members: func(context.Context) (map[string]record.Entry, error) { lists++; return members, nil },
			Query: func(context.Context, record.Entry, []string) ([]drain.Status, error) {
				queried <- struct{}{}
				return nil, nil
			},
		}
		now := time.Unix(0, 0)
		t.Confirmed("i", 1, now)
		for range rounds {
			t.Poll(ctx, now)
		}
		queries = len(queried)
		messages.Points = append(messages.Points, Point{float64(entries), float64(queries) * stopsPerSecond})
		reads.Points = append(reads.Points, Point{float64(entries), float64(lists) * stopsPerSecond})
	}
	return []Slope{messages, reads}, nil
}

// duties measures the store calls for membership and duties, which the stand-in counts for some seconds.
func (c *Capacity) duties(ctx context.Context) ([]Slope, error) {
	writes := Slope{
		Quantity: "renewals", Role: "store", Per: "entry instance", Unit: "writes/s", Target: targetEntries,
		Limit: store.Shares[store.Membership].Writes, Mechanism: "one lease for each process, renewed every 3 s",
	}
	reads := Slope{
		Quantity: "waiting watches on members and duties", Role: "store", Per: "entry instance", Unit: "calls at a time", Target: targetEntries,
		Limit: store.Shares[store.Membership].Reads, Mechanism: "two watches for each process",
	}
	for _, entries := range []int{3, 9, 27} {
		renewed, err := renewals(ctx, entries)
		if err != nil {
			return nil, err
		}
		writes.Points = append(writes.Points, Point{float64(entries), renewed})
		reads.Points = append(reads.Points, Point{float64(entries), 2 * float64(entries)})
	}
	return []Slope{writes, reads}, nil
}

// renewals returns the number of lease renewals per second of a number of processes.
func renewals(ctx context.Context, entries int) (float64, error) {
	const speedUp = 10
	s := standin.NewStore()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	for i := range entries {
		members := &mirror.Mirror[record.Entry]{Store: s, Prefix: record.EntryPrefix}
		duties := &mirror.Mirror[record.Duty]{Store: s, Prefix: record.DutyPrefix}
		manager := &duty.Manager{
			Store: s, Self: record.Entry{ID: fmt.Sprintf("entry%02d", i)}, Names: func() []string { return nil },
			Members: members, Duties: duties, TTL: duty.DefaultTTL / speedUp, Interval: duty.DefaultInterval / speedUp,
		}
		group.Go(func() error { return members.Run(groupCtx) })
		group.Go(func() error { return duties.Run(groupCtx) })
		group.Go(func() error { return manager.Run(groupCtx) })
	}
	const wait = 3 * time.Second
	before := s.Calls()["renew"]
	interval.Wait(ctx, wait)
	renewed := s.Calls()["renew"] - before
	cancel()
	return float64(renewed) / wait.Seconds() / speedUp, group.Wait()
}

// claims measures the memory of idempotency keys at the holder of a shard.
func (c *Capacity) claims(context.Context) ([]Slope, error) {
	memory := Slope{
		Quantity: "idempotency keys in memory", Role: "holder of a claim shard", Per: "key", Unit: "bytes",
		// A mean of 20 claims per second, kept for 24 h, in 8 shards.
		Target: 20 * 86_400 / claim.Shards, Limit: memoryLimit, Mechanism: "claim journal, 24 h of keys in 8 shards",
	}
	for _, keys := range []int{20_000, 60_000, 200_000} {
		j, bytes, err := heapOf(func() (*claim.Journal, error) { return journalOf(keys) })
		if err != nil {
			return nil, err
		}
		memory.Points = append(memory.Points, Point{float64(keys), bytes})
		runtime.KeepAlive(j)
	}
	return []Slope{memory}, nil
}

// journalOf returns a journal with a number of granted keys.
func journalOf(keys int) (*claim.Journal, error) {
	j := &claim.Journal{Epoch: 1}
	j.Default()
	j.Open(1)
	now := time.Unix(1_790_000_000, 0)
	granted := 0
	for ticket := 1; granted < keys; ticket++ {
		if ticket > 3*keys {
			return nil, fmt.Errorf("journal granted %d of %d keys", granted, keys)
		}
		// Claims arrive at 20 per second in 8 shards.
		now = now.Add(claim.Shards * time.Second / 20)
		r := claim.Request{Service: "alterationCharge", KeyHash: claim.HashKey(fmt.Sprint(ticket)), BodyDigest: strings.Repeat("d", 43), ClaimID: fmt.Sprint(ticket)}
		actions := j.Step(now, claim.Claim{Request: r, Ticket: uint64(ticket)})
		for len(actions) > 0 {
			var next []claim.Action
			for _, a := range actions {
				switch a.(type) {
				case claim.Append:
					next = append(next, j.Step(now, claim.Committed{})...)
				case claim.Grant:
					granted++
				}
			}
			actions = next
		}
	}
	return j, nil
}

// configurationDelay measures the time until a change is in force at every entry instance.
func (c *Capacity) configurationDelay(ctx context.Context) ([]Slope, error) {
	s := Slope{
		Quantity: "change in force everywhere", Role: "all entry instances", Per: "entry instance", Unit: "seconds", Target: targetEntries,
		Limit: 10, Mechanism: "one watch of each process on the change log",
	}
	for _, entries := range []int{3, 9, targetEntries} {
		seconds, err := longestConfigurationDelay(ctx, entries)
		if err != nil {
			return nil, err
		}
		s.Points = append(s.Points, Point{float64(entries), seconds})
	}
	return []Slope{s}, nil
}

// longestConfigurationDelay returns the longest time in seconds until one of several changes is in force at every entry instance, with a
// configuration of the target size.
func longestConfigurationDelay(ctx context.Context, entries int) (float64, error) {
	const changes = 20
	s := standin.NewStore()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, groupCtx := errgroup.WithContext(ctx)
	logs := make([]*configuration.Log, entries)
	for i := range logs {
		logs[i] = &configuration.Log{Store: s, Now: time.Now, Validate: declaration.Validate}
		group.Go(func() error { return logs[i].Run(groupCtx) })
	}
	set := fleetSet(targetPools)
	longest := time.Duration(0)
	for n := range changes {
		delta := declaration.Diff(declaration.Set{}, set)
		if n > 0 {
			pool := set.Pools[poolName(n)]
			pool.Maximum++
			delta = declaration.Delta{Written: declaration.Set{Pools: map[string]declaration.Pool{pool.Name: pool}}}
		}
		start := time.Now()
		accepted, err := logs[0].Propose(ctx, configuration.Change{ID: fmt.Sprint(n), Base: uint64(n), Delta: delta})
		if err != nil {
			return 0, err
		}
		for _, l := range logs {
			for {
				if _, revision, err := l.Current(); err == nil && revision >= accepted.Number {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
		longest = max(longest, time.Since(start))
	}
	cancel()
	return longest.Seconds(), group.Wait()
}
