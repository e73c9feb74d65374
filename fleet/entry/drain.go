package entry

import (
	"net/netip"
	"sync/atomic"

	"verbenalanding.example/fleet/record"
)

// stateInService is the only state of an instance in which it receives requests.
const stateInService = "inService"

// DrainStatus is this entry instance's status in the drain of an instance.
type DrainStatus struct {
	Instance string `json:"instance"`
	// Applied is the highest drain number applied; no new request has been sent to the instance since then.
	Applied uint64 `json:"seen"`
	// InFlight is the number of this entry instance's requests in flight at the instance.
	InFlight int `json:"inFlight"`
}

// target is an instance to which requests are sent.
type target struct {
	id       string
	inFlight atomic.Int64
	backend  atomic.Pointer[backend]
}

func (e *Entry) target(i record.Instance) *target {
	t, found := e.targets.Load(i.ID)
	if !found {
		t, _ = e.targets.LoadOrStore(i.ID, &target{id: i.ID})
	}
	target := t.(*target)
	if b := target.backend.Load(); b == nil || b.addr != i.Addr {
		target.setAddr(i.Addr)
	}
	return target
}

func (t *target) setAddr(addr netip.AddrPort) {
	if previous := t.backend.Swap(&backend{addr: addr, host: addr.String()}); previous != nil {
		previous.close()
	}
}

// SetInstances replaces the instance records; call it on every change and from Refresh.
func (e *Entry) SetInstances(instances []record.Instance) {
	byPool := map[string][]record.Instance{}
	listed := map[string]bool{}
	for _, i := range instances {
		byPool[i.Pool] = append(byPool[i.Pool], i)
		listed[i.ID] = true
	}
	e.updateView(func(v *view) { v.instances = byPool })
	for _, i := range instances {
		if i.State != stateInService {
			e.closeIdle(i.ID)
		}
	}
	e.targets.Range(func(id, t any) bool {
		if !listed[id.(string)] && t.(*target).inFlight.Load() == 0 {
			e.closeIdle(id.(string))
		}
		return true
	})
}

func (e *Entry) closeIdle(id string) {
	if t, found := e.targets.Load(id); found {
		if b := t.(*target).backend.Load(); b != nil {
			b.closeIdle()
		}
	}
}

// SetLeaving replaces the ids of the instances that the platform's list shows as leaving.
func (e *Entry) SetLeaving(ids []string) {
	leaving := map[string]bool{}
	for _, id := range ids {
		leaving[id] = true
	}
	e.updateView(func(v *view) { v.leaving = leaving })
}

// SetPeers replaces the ids of the other registered entry instances.
func (e *Entry) SetPeers(ids []string) {
	peers := append([]string(nil), ids...)
	e.updateView(func(v *view) { v.peers = peers })
}

func (e *Entry) updateView(apply func(*view)) {
	e.Default()
	e.viewLock.Lock()
	next := *e.view.Load()
	next.generation++
	apply(&next)
	e.view.Store(&next)
	e.viewLock.Unlock()
	e.poolLoops.Range(func(_, l any) bool {
		l.(*poolLoop).wake()
		return true
	})
}

// DrainStatus returns the status of every instance whose record is not in service. An instance whose record the pool's
// loop has not applied yet is omitted until a later call.
func (e *Entry) DrainStatus() []DrainStatus {
	e.Default()
	v := e.view.Load()
	var all []DrainStatus
	for pool, instances := range v.instances {
		for _, i := range instances {
			if i.State != stateInService && e.applied(pool, v.generation) {
				all = append(all, DrainStatus{Instance: i.ID, Applied: i.Drain, InFlight: e.InFlight(i.ID)})
			}
		}
	}
	return all
}

// applied reports whether the pool's loop has applied the view of a generation; a loop that starts later reads a newer one.
func (e *Entry) applied(pool string, generation uint64) bool {
	l, found := e.poolLoops.Load(pool)
	return !found || l.(*poolLoop).appliedGeneration.Load() >= generation
}

// InFlight returns the number of this entry instance's requests in flight at an instance.
func (e *Entry) InFlight(id string) int {
	if t, found := e.targets.Load(id); found {
		return int(t.(*target).inFlight.Load())
	}
	return 0
}
