package placement

import (
	"maps"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/declaration"
	policy "verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
)

// lookAhead is the number of waiting jobs of a class that may fail to fit before the baseline stops trying further ones.
const lookAhead = 16

// firstFit is the baseline. It serves the classes in order, and the jobs of a class in the order of their arrival. A job is placed by its
// declared size on the first worker with enough free capacity, within its team's quota. There is no preemption, learning or quarantine.
type firstFit struct {
	quotas       map[string]platform.Resources
	reserved     map[string]platform.Resources
	pools        map[string]*firstFitPool
	free         map[string]platform.Resources
	workerOf     map[string]string
	changedPools map[*firstFitPool]bool
}

type firstFitPool struct {
	name    string
	workers []string
	queues  map[declaration.Class][]*jobModel
	largest platform.Resources
}

func newFirstFit(f *fleetModel) *firstFit {
	return &firstFit{
		quotas: f.teams, reserved: map[string]platform.Resources{}, pools: map[string]*firstFitPool{},
		free: map[string]platform.Resources{}, workerOf: map[string]string{}, changedPools: map[*firstFitPool]bool{},
	}
}

func (b *firstFit) pool(name string) *firstFitPool {
	if b.pools[name] == nil {
		b.pools[name] = &firstFitPool{name: name, queues: map[declaration.Class][]*jobModel{}}
	}
	return b.pools[name]
}

func (b *firstFit) workerUp(_ time.Time, w policy.Worker) {
	p := b.pool(w.Pool)
	p.workers = append(p.workers, w.ID)
	if p.largest.Accelerators < w.Capacity.Accelerators || p.largest.MilliCores == 0 {
		p.largest = w.Capacity
	}
	b.free[w.ID] = w.Capacity
}

func (b *firstFit) workerDown(_ time.Time, id string) {
	// Negative enough that no job fits after the worker's tasks have ended and returned their reservations.
	b.free[id] = platform.Resources{MilliCores: -1 << 40, MemoryBytes: -1 << 50, Accelerators: -1 << 30}
}

func (b *firstFit) submit(_ time.Time, j *jobModel) {
	p := b.pool(j.Pool)
	p.queues[j.Class] = append(p.queues[j.Class], j)
	b.changedPools[p] = true
}

func (b *firstFit) confirmed(time.Time, *jobModel, string) {}

func (b *firstFit) cancel(_ time.Time, _ []*jobModel) {
	for _, p := range b.pools {
		for class, queue := range p.queues {
			waiting := queue[:0]
			for _, j := range queue {
				if !j.cancelled {
					waiting = append(waiting, j)
				}
			}
			p.queues[class] = waiting
		}
	}
}

func (b *firstFit) used(time.Time, *jobModel, platform.Resources, time.Time) {}

func (b *firstFit) ended(now time.Time, n attemptEnd) {
	w := b.workerOf[n.job.ID]
	delete(b.workerOf, n.job.ID)
	b.free[w] = plus(b.free[w], n.job.Declared)
	b.reserved[n.job.Team] = minus(b.reserved[n.job.Team], n.job.Declared)
	b.changedPools[b.pool(n.job.Pool)] = true
	if n.outcome != succeeded && n.job.Repeatable {
		b.submit(now, n.job)
	}
}

func (b *firstFit) tick(time.Time) []policy.Action {
	var out []policy.Action
	pools := slices.SortedFunc(maps.Keys(b.changedPools), func(x, y *firstFitPool) int { return strings.Compare(x.name, y.name) })
	for _, p := range pools {
		for _, class := range declaration.Classes {
			out = b.place(p, class, out)
		}
	}
	clear(b.changedPools)
	return out
}

func (b *firstFit) place(p *firstFitPool, class declaration.Class, out []policy.Action) []policy.Action {
	queue := p.queues[class]
	waiting := make([]*jobModel, 0, len(queue))
	for i, j := range queue {
		if len(waiting) == lookAhead {
			waiting = append(waiting, queue[i:]...)
			break
		}
		if !fits(j.Declared, p.largest) {
			out = append(out, policy.Impossible{Job: j.ID})
			continue
		}
		w := b.firstWithRoom(p, j)
		if w == "" {
			waiting = append(waiting, j)
			continue
		}
		b.free[w] = minus(b.free[w], j.Declared)
		b.reserved[j.Team] = plus(b.reserved[j.Team], j.Declared)
		b.workerOf[j.ID] = w
		out = append(out, policy.Start{Job: j.ID, Worker: w, Reserved: j.Declared})
	}
	p.queues[class] = waiting
	return out
}

func (b *firstFit) firstWithRoom(p *firstFitPool, j *jobModel) string {
	if !fits(plus(b.reserved[j.Team], j.Declared), b.quotas[j.Team]) {
		return ""
	}
	for _, w := range p.workers {
		if fits(j.Declared, b.free[w]) {
			return w
		}
	}
	return ""
}
