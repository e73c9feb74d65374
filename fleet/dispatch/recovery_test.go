package dispatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/workload"
)

// faultless makes the choices of a model without faults: the highest value of each choice is the fault-free one.
type faultless struct{ source }

func (faultless) pick(_ string, _, high int) int { return high }

const (
	// recoveryStep is the interval at which holders and workers act once no more faults occur.
	recoveryStep = 500 * time.Millisecond
	// recoverySteps take longer than a worker may be suspected and than runs of a lost holder may be present.
	recoverySteps = 40
	// workSteps is how long a live worker may be without work while there is some for it.
	workSteps = 6
)

// endFaults ends all faults and lets the present runs end.
func (m *model) endFaults() {
	m.t, m.faultsEnded = faultless{m.t}, true
	for _, w := range m.workers {
		w.disconnected = false
		m.setRegistered(w, !w.departed)
	}
	for range recoverySteps {
		m.stepWithoutFaults("")
	}
}

// stepWithoutFaults simulates a step without faults; all runs but those of the job kept are done.
func (m *model) stepWithoutFaults(kept string) {
	m.advance(recoveryStep)
	m.lostAct()
	m.act(m.current)
	m.record()
	for _, w := range m.workers {
		for _, id := range sortedTasks(w.runs) {
			if id.Job != kept {
				m.end(w, id, workload.EndDone)
			}
		}
	}
}

// checkWork checks that each live worker gets work.
func (m *model) checkWork() {
	live := 0
	for _, w := range m.workers {
		if !w.departed {
			live++
		}
	}
	if live == 0 {
		return
	}
	m.store(workload.Job{ID: "all", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: live, Need: workload.Resources{CPU: modelCPU}, Estimate: time.Second, MaxPerWorker: 1},
	}})
	for range workSteps {
		m.stepWithoutFaults("all")
	}
	for _, w := range m.workers {
		if !w.departed && len(w.runs) == 0 {
			m.t.Fatalf("work for %s: got none %v after there is some, want a task", w.id, workSteps*recoveryStep)
		}
	}
}

// Guards against live workers that never get work again after faults have ended, for example after an unanswered write of a record, and
// against tasks that are never started.
func TestEachWorkerGetsWorkOnceFaultsEnd(t *testing.T) {
	checksAtLeast(t, "1000")
	rapid.Check(t, func(t *rapid.T) {
		m := randomModel(t)
		t.Repeat(m.actions())
		m.endFaults()
		m.checkWork()
	})
}
