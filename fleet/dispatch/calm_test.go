package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/workload"
)

// calm makes the choices of a model in which nothing fails any more: the highest value of each choice is what goes well.
type calm struct{ source }

func (calm) pick(_ string, _, high int) int { return high }

const (
	// calmStep is how often holders and workers act once nothing fails.
	calmStep = 500 * time.Millisecond
	// calmSteps take longer than a worker can be suspected and than a lost holder's runs may be present.
	calmSteps = 40
	// workSteps are how long a worker that lives may be without work while there is some for it.
	workSteps = 6
)

// settle ends all faults and lets what was begun end.
func (m *model) settle() {
	m.t, m.calm = calm{m.t}, true
	for _, w := range m.workers {
		w.cut = false
		m.setRegistered(w, !w.left)
	}
	for range calmSteps {
		m.calmly("")
	}
}

// calmly lets time pass without faults; all runs but those of a job are done.
func (m *model) calmly(kept string) {
	m.pass(calmStep)
	m.lostAct()
	m.act(m.present)
	m.record()
	for _, w := range m.workers {
		for _, id := range sortedTasks(w.runs) {
			if id.Job != kept {
				m.end(w, id, workload.EndDone)
			}
		}
	}
}

// checkWork checks that each worker that lives gets work.
func (m *model) checkWork() {
	living := 0
	for _, w := range m.workers {
		if !w.left {
			living++
		}
	}
	if living == 0 {
		return
	}
	m.store(workload.Job{ID: "all", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: living, Need: workload.Resources{CPU: modelCPU}, Estimate: time.Second, MaxPerWorker: 1},
	}})
	for range workSteps {
		m.calmly("all")
	}
	for _, w := range m.workers {
		if !w.left && len(w.runs) == 0 {
			m.t.Fatalf("work for %s: got none %v after there is some, want a task", w.id, workSteps*calmStep)
		}
	}
}

// Guards against workers that get no work any more though they live, as after a record whose write was not answered, and against work
// that waits for ever after faults have ended.
func TestEachWorkerGetsWorkOnceFaultsEnd(t *testing.T) {
	checksAtLeast(t, "1000")
	rapid.Check(t, func(t *rapid.T) {
		m := randomModel(t)
		t.Repeat(m.actions())
		m.settle()
		m.checkWork()
	})
}
