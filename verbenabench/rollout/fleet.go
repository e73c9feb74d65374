package rollout

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/wave"
)

// ErrDeployment is returned for an unknown deployment.
var ErrDeployment = fmt.Errorf("unknown deployment")

const (
	rebootTime = 4 * time.Minute
	waveName   = "kernel"
	// workersPerRack is the number of workers in a rack.
	workersPerRack = 4
)

type poolSize struct {
	name  string
	size  int
	spare bool
}

// poolSizes returns the pools and the number of data centres of a deployment.
func poolSizes(deployment string) ([]poolSize, int, error) {
	switch deployment {
	case "", "cascade":
		return []poolSize{{"fittingDesk", 9, false}, {"cuttingRoom", 9, false}, {"billing", 11, false}, {"embroidery", 12, false}, {"ledgerTools", 8, true}}, 3, nil
	case "tintaviva":
		return []poolSize{{"meterReading", 9, false}, {"faultsAndFirmware", 9, false}, {"deviceHistory", 11, false}, {"consumables", 12, false}, {"supportTools", 8, true}}, 3, nil
	case "large":
		return distribute(197, 4300), 11, nil
	}
	return nil, 0, fmt.Errorf("%w: %q", ErrDeployment, deployment)
}

// distribute distributes workers over pools of different sizes. Every tenth pool is a spare pool.
func distribute(pools, workers int) []poolSize {
	list := make([]poolSize, 0, pools)
	remaining := workers
	for k := range pools {
		mean := remaining / (pools - k)
		size := mean
		if k+1 < pools {
			// Sizes differ by up to half of the mean in a fixed pattern.
			size = max(1, mean+(k%5-2)*mean/4)
		}
		list = append(list, poolSize{name: fmt.Sprintf("pool%03d", k), size: size, spare: k%10 == 9})
		remaining -= size
	}
	return list
}

// newConfiguration returns a configuration with budgets of a twelfth of each guarded pool, a quarter of each spare pool, a tenth of each data
// centre, which is also the limit of its racks, and a tenth of the fleet.
func newConfiguration(pools []poolSize, dataCentres int) declaration.Set {
	set := declaration.Set{
		Pools: map[string]declaration.Pool{}, Budgets: map[string]declaration.Budget{},
		Waves: map[string]declaration.Wave{waveName: {Name: waveName, RebootTime: rebootTime, HaltAfter: 3, Every: 21 * 24 * time.Hour}},
	}
	total := 0
	for _, p := range pools {
		set.Pools[p.name] = declaration.Pool{Name: p.name, Instances: p.size, Slots: 8, Spare: p.spare}
		share := 12
		if p.spare {
			share = 4
		}
		set.Budgets[p.name] = declaration.Budget{Name: p.name, Scope: declaration.Scope{Pools: []string{p.name}}, MaxUnavailable: max(1, p.size/share)}
		total += p.size
	}
	for k := range dataCentres {
		name := fmt.Sprintf("dc%02d", k)
		set.Budgets[name] = declaration.Budget{Name: name, Scope: declaration.Scope{DataCentres: []string{name}}, MaxUnavailable: max(2, total/dataCentres/10), MaxRacks: max(2, total/dataCentres/10)}
	}
	set.Budgets["fleet"] = declaration.Budget{Name: "fleet", MaxUnavailable: max(4, total/10)}
	return set
}

// placeMembers assigns the members of the pools to racks and data centres in turn.
func placeMembers(pools []poolSize, dataCentres int, random *rand.Rand) []wave.Member {
	var members []wave.Member
	k := 0
	for _, p := range pools {
		for range p.size {
			members = append(members, wave.Member{
				Member: budget.Member{ID: fmt.Sprintf("w%04d", k), Pool: p.name}, State: wave.InService,
			})
			k++
		}
	}
	order := random.Perm(len(members))
	for slot, k := range order {
		dc := slot % dataCentres
		members[k].Location = platform.Location{
			Region: fmt.Sprintf("r%d", dc%3), DataCentre: fmt.Sprintf("dc%02d", dc), Rack: fmt.Sprintf("rack%03d", slot/dataCentres/workersPerRack),
		}
	}
	return members
}
