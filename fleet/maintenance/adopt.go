package maintenance

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// defaultSpareDelay is how long an unassigned instance is reserved for non-spare pools before a spare pool may adopt it.
const defaultSpareDelay = 10 * time.Second

// adopt creates records for listed instances without one. The store creates a key only once, so of several pools that try
// to adopt the same instance at the same time only one succeeds.
func (s *step) adopt() error {
	pool, ok := s.set.Pools[s.Pool]
	if !ok || s.slow {
		return nil
	}
	free := s.unassigned(pool)
	racks := map[budget.Domain]int{}
	members := 0
	for _, id := range s.instanceIDs {
		if i := s.Instances[id].Value; i.State != wave.Retired {
			members++
			racks[budget.RackOf(memberOf(i))]++
		}
	}
	for members < pool.Instances || pool.Spare && s.otherPoolsFull() {
		if len(free) == 0 {
			return nil
		}
		chosen := chooseByRack(s.Pool, free, racks)
		free = slices.DeleteFunc(free, func(i platform.Instance) bool { return i.ID == chosen.ID })
		err := s.create(chosen)
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		if errors.Is(err, store.ErrOverShare) {
			// The share of the store's writes is used up; the next steps adopt the other instances of a new fleet.
			return nil
		}
		if err != nil {
			return err
		}
		members++
		racks[budget.Domain(chosen.Location)]++
	}
	return nil
}

// otherPoolsFull reports whether every non-spare pool has its declared number of instances. Until then a spare pool adopts
// no more than its own number, since the other pools' share of the store's writes may not suffice to adopt theirs within
// SpareDelay.
func (s *step) otherPoolsFull() bool {
	members := map[string]int{}
	for _, i := range s.Instances {
		if i.Value.State != wave.Retired {
			members[i.Value.Pool]++
		}
	}
	for name, p := range s.set.Pools {
		if !p.Spare && members[name] < p.Instances {
			return false
		}
	}
	return true
}

// chooseByRack returns an instance in the rack with the fewest members of the pool, so that the loss of a rack removes few
// of them. Among equal racks each pool has its own order of preference: if all pools tried the same instance first, they
// would spend their share of the store's writes on conflicts.
func chooseByRack(pool string, free []platform.Instance, racks map[budget.Domain]int) platform.Instance {
	return slices.MinFunc(free, func(a, b platform.Instance) int {
		return cmp.Or(
			cmp.Compare(racks[budget.Domain(a.Location)], racks[budget.Domain(b.Location)]),
			cmp.Compare(preference(pool, a.ID), preference(pool, b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

func preference(pool, instance string) uint64 { return xxhash.Sum64String(pool + "\x00" + instance) }

// unassigned returns the listed instances without a record that the pool may adopt now.
func (s *step) unassigned(pool declaration.Pool) []platform.Instance {
	var free []platform.Instance
	stillUnassigned := map[string]time.Time{}
	for id, i := range s.Listed {
		if _, ok := s.Instances[id]; ok || i.Status != platform.Live || !i.Healthy {
			continue
		}
		since, ok := s.unassignedSince[id]
		if !ok {
			since = s.now
		}
		stillUnassigned[id] = since
		if pool.Spare && s.now.Sub(since) < s.SpareDelay || !pool.Spare && s.cordoned(i.Location.Rack) {
			continue
		}
		free = append(free, i)
	}
	s.unassignedSince = stillUnassigned
	slices.SortFunc(free, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return free
}

func (s *step) create(i platform.Instance) error {
	return s.saveInstance(record.Instance{
		ID: i.ID, Pool: s.Pool, State: instanceChart.Initial, Addr: i.Addr, Location: i.Location, Capacity: i.Capacity,
		// For a reused id, the drain number must not start below those that entry instances have already confirmed.
		Drain: uint64(max(0, s.now.Unix())), BootCount: i.BootCount, Since: s.now,
		Reason: s.reason("adopted", "listed by the platform without a record", s.revision, s.now),
	})
}

func (s *step) cordoned(rack string) bool {
	_, ok := s.set.Intents[declaration.Intent{Kind: declaration.CordonRack, Target: rack}.Key()]
	return ok
}

// retiring reports whether an operator retires the instance or the platform lists it as leaving.
func (s *step) retiring(id string) bool {
	_, ok := s.set.Intents[declaration.Intent{Kind: declaration.RetireInstance, Target: id}.Key()]
	return ok || s.Listed[id].Status == platform.Leaving
}
