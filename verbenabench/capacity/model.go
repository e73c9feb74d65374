package capacity

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

// The target size of the design and the limits of control costs.
const (
	targetWorkers = 4300
	targetPools   = 197
	targetTeams   = 280
	targetEntries = 39
	// changesPerSecond corresponds to 16,000 configuration changes per day.
	changesPerSecond = 16_000.0 / 86_400
	// stopsPerSecond corresponds to the maintenance of each worker once in 3 weeks and 290 additional restarts per day.
	stopsPerSecond = 4300.0/(21*86_400) + 290.0/86_400
	// coreLimit, memoryLimit and trafficLimit are the limits for the costs of control on a node.
	coreLimit    = 0.023
	memoryLimit  = 64 << 20
	trafficLimit = 3000.0
	// dutiesPerPool counts the loop of the pool and that of its wave.
	dutiesPerPool = 2
)

// fleetSet returns a configuration with a number of pools, each with a service, a budget and a wave, and with teams in the proportion of
// the target size.
func fleetSet(pools int) declaration.Set {
	s := declaration.Set{
		Pools: map[string]declaration.Pool{}, Services: map[string]declaration.Service{}, Teams: map[string]declaration.Team{},
		Budgets: map[string]declaration.Budget{}, Waves: map[string]declaration.Wave{},
		Objectives: map[string]declaration.Objective{}, Intents: map[string]declaration.Intent{},
	}
	for i := range pools {
		name := poolName(i)
		s.Pools[name] = declaration.Pool{
			Name: name, Instances: targetWorkers / targetPools, Slots: 8, Connections: 64, Minimum: 10, Maximum: 40,
			MilliCores: 64_000, MemoryBytes: 128_000_000_000,
		}
		for _, class := range []declaration.Class{declaration.Urgent, declaration.Standard} {
			service := fmt.Sprintf("%s-%s", name, class)
			s.Services[service] = declaration.Service{
				Name: service, Pool: name, Class: class, Deadline: 5 * time.Second, Repeatable: true,
				MaxRequest: 1 << 16, MaxAnswer: 1 << 20, Share: 40,
			}
		}
		scope := declaration.Scope{Pools: []string{name}}
		s.Budgets[name] = declaration.Budget{Name: name, Scope: scope, MaxUnavailable: 2, MaxRacks: 1}
		s.Waves[name] = declaration.Wave{Name: name, Scope: scope, Every: 21 * 24 * time.Hour, RebootTime: 5 * time.Minute, HaltAfter: 2}
	}
	for i := range pools * targetTeams / targetPools {
		name := fmt.Sprintf("team%03d", i)
		s.Teams[name] = declaration.Team{Name: name, MilliCores: 100_000, MemoryBytes: 200_000_000_000}
	}
	return s
}

func poolName(i int) string { return fmt.Sprintf("pool%03d", i) }

// instance returns the record of the i-th instance, with the instances spread over a number of pools.
func instance(i, pools int) record.Instance {
	return record.Instance{
		ID: fmt.Sprintf("region1-dc%02d-i%05d", i%11, i), Pool: poolName(i % pools), State: "inService",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
		Location: platform.Location{
			Region: fmt.Sprintf("region%d", i%3+1), DataCentre: fmt.Sprintf("dc%02d", i%11), Rack: fmt.Sprintf("dc%02d-rack%03d", i%11, i/44),
		},
		Capacity:   platform.Resources{MilliCores: 64_000, MemoryBytes: 128_000_000_000},
		Epoch:      1,
		Since:      time.Unix(1_790_000_000, 0).UTC(),
		Maintained: time.Unix(1_790_000_000, 0).UTC(),
		Reason:     record.Reason{Rule: "checked", Detail: "healthy for 10s", ConfigRevision: 1, At: time.Unix(1_790_000_000, 0).UTC()},
	}
}

// heapOf returns the value that a function builds and the bytes that it occupies on the heap.
func heapOf[T any](build func() (T, error)) (T, float64, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value, err := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return value, max(float64(after.HeapAlloc)-float64(before.HeapAlloc), 1), err
}

// fastest returns the shortest time in seconds of several runs, which is the one least affected by other load on the machine.
func fastest(runs int, operation func() error) (float64, error) {
	best := time.Duration(1<<63 - 1)
	for range runs {
		start := time.Now()
		if err := operation(); err != nil {
			return 0, err
		}
		best = min(best, time.Since(start))
	}
	return best.Seconds(), nil
}
