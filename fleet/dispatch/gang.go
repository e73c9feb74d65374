package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// placeGang starts all tasks of a gang at once, or none.
func (p *Pool) placeGang(st *stepState, u uncertainty, now time.Time) {
	for _, t := range st.tasks {
		if !waiting(t, u) {
			return
		}
	}
	// The tickets are for the step, and so for all tasks of the gang.
	if st.tasks[0].job.queue.Advice != nil && !p.hasTickets(st.tasks[0], now) {
		return
	}
	chosen := make([]*worker, len(st.tasks))
	promised := map[*worker]workload.Resources{}
	racks := []string{""}
	if st.tasks[0].step.SameRack {
		racks = p.racks()
	}
	for _, rack := range racks {
		clear(promised)
		if p.fitGang(st, rack, chosen, promised, now) {
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
			return
		}
	}
}

func (p *Pool) fitGang(st *stepState, rack string, chosen []*worker, promised map[*worker]workload.Resources, now time.Time) bool {
	perWorker := map[*worker]int{}
	for i, t := range st.tasks {
		chosen[i] = nil
		need := t.step.Reserved()
		for _, w := range p.sortedWorkers() {
			if rack != "" && w.Rack != rack {
				continue
			}
			if !p.usable(w, now) || !p.admits(w, t, now) || !w.free().Minus(promised[w]).Fits(need) {
				continue
			}
			if limit := t.step.MaxPerWorker; limit > 0 && perWorker[w] >= limit {
				continue
			}
			chosen[i] = w
			break
		}
		if chosen[i] == nil {
			return false
		}
		promised[chosen[i]] = promised[chosen[i]].Plus(need)
		perWorker[chosen[i]]++
	}
	return true
}

func (p *Pool) racks() []string {
	var list []string
	for _, w := range p.workers {
		if !slices.Contains(list, w.Rack) {
			list = append(list, w.Rack)
		}
	}
	slices.Sort(list)
	// Tasks that fit on no single rack still run across racks, only slower.
	return append(list, "")
}
