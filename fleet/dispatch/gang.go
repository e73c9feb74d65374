package dispatch

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// placeGang starts all tasks of a gang at once, or none. It returns false if the limit of its workspace does not admit it.
func (p *Pool) placeGang(st *stepState, u uncertainty, now time.Time) (withinQuota bool) {
	for _, t := range st.tasks {
		if !waiting(t, u) {
			return true
		}
	}
	if !p.withinQuota(st.tasks[0], now) {
		return false
	}
	// The tickets are for the step, and so for all tasks of the gang.
	if st.tasks[0].job.queue.Advice != nil && !p.hasTickets(st.tasks[0], now) {
		return true
	}
	chosen := p.chooseGang(st, now)
	if chosen == nil {
		if st.tasks[0].job.queue.Advice != nil {
			p.requestMoreTickets(st.tasks[0], now)
		}
		return true
	}
	number := 0
	checkpoint := ""
	for _, t := range st.tasks {
		number = max(number, p.nextRun(t))
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range st.tasks {
		t.checkpoint = checkpoint
		p.start(t, chosen[i], number, now)
	}
	return true
}

// gangFit says which workers a gang may use.
type gangFit struct {
	// avoided are left out.
	avoided []string
	// empty assumes that no other tasks run.
	empty bool
}

// chooseGang returns the workers for the tasks of a gang, or nil. Like a single task, a gang runs again on a worker on which it failed only if the
// other workers could never run it, or if they had no room for some time. Its tasks are equal, so a worker on which one of them failed is left out
// for all.
func (p *Pool) chooseGang(st *stepState, now time.Time) []*worker {
	failedOn, returnsAt := gangFailures(st)
	if chosen := p.fitGang(st, gangFit{avoided: failedOn}, now); chosen != nil || len(failedOn) == 0 {
		return chosen
	}
	if now.Before(returnsAt) && p.fitGang(st, gangFit{avoided: failedOn, empty: true}, now) != nil {
		return nil
	}
	return p.fitGang(st, gangFit{}, now)
}

// gangFailures returns the workers on which a task of a gang failed, and when the gang may run there again although others could run it.
func gangFailures(st *stepState) (failedOn []string, returnsAt time.Time) {
	failures := 0
	var endedAt time.Time
	for _, t := range st.tasks {
		failures += len(t.failedRuns)
		for _, id := range t.failedOn {
			if !slices.Contains(failedOn, id) {
				failedOn = append(failedOn, id)
			}
		}
		if t.readySince.After(endedAt) {
			endedAt = t.readySince
		}
	}
	return failedOn, endedAt.Add(waitAfterFailures(failures))
}

// fitGang returns workers with room for all tasks of a gang, on one rack if it wants that and one has room, or nil.
func (p *Pool) fitGang(st *stepState, f gangFit, now time.Time) []*worker {
	racks := []string{""}
	if step := st.tasks[0].step; step.SameRack {
		racks = p.racks(step.DataRack)
	}
	for _, rack := range racks {
		if chosen := p.fitGangOn(st, rack, f, now); chosen != nil {
			return chosen
		}
	}
	return nil
}

// fitGangOn returns workers of a rack with room for all tasks of a gang, or nil; an empty rack stands for all.
func (p *Pool) fitGangOn(st *stepState, rack string, f gangFit, now time.Time) []*worker {
	chosen := make([]*worker, len(st.tasks))
	promised := map[*worker]workload.Resources{}
	perWorker := map[*worker]int{}
	workers := p.preferredWorkers(st.tasks[0], now)
	for i, t := range st.tasks {
		need := t.step.Reserved()
		for _, w := range workers {
			if (rack != "" && w.Rack != rack) || slices.Contains(f.avoided, w.ID) || !p.admits(w, t, now) {
				continue
			}
			room := w.free()
			if f.empty {
				room = w.Capacity
			}
			if !room.Minus(promised[w]).Fits(need) {
				continue
			}
			if limit := t.step.MaxPerWorker; limit > 0 && perWorker[w] >= limit {
				continue
			}
			chosen[i] = w
			break
		}
		if chosen[i] == nil {
			return nil
		}
		promised[chosen[i]] = promised[chosen[i]].Plus(need)
		perWorker[chosen[i]]++
	}
	return chosen
}

// preferredWorkers returns the workers that may take starts, the best ones for a task first.
func (p *Pool) preferredWorkers(t *task, now time.Time) []*worker {
	var list []*worker
	scores := map[*worker]float64{}
	for _, w := range p.sortedWorkers() {
		if p.usable(w, now) {
			list = append(list, w)
			scores[w] = p.score(w, t, w.free(), now)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return cmp.Compare(scores[a], scores[b]) })
	return list
}

// racks returns the racks of the workers, a preferred one first.
func (p *Pool) racks(preferred string) []string {
	var list []string
	for _, w := range p.workers {
		if !slices.Contains(list, w.Rack) {
			list = append(list, w.Rack)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(compareTrueFirst(a == preferred, b == preferred), cmp.Compare(a, b))
	})
	// Tasks that fit on no single rack still run across racks, only slower.
	return append(list, "")
}
