package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// TestFuzzPlanner compares the planner's reservations with a simple model under random events. A longer run:
//
//	go test ./placement -run TestFuzzPlanner -rapid.checks=100000
func TestFuzzPlanner(t *testing.T) {
	rapid.Check(t, fuzzPlanner)
}

// model tracks the jobs, their workers and their reservations as they follow from the planner's actions.
type model struct {
	p        *Planner
	now      time.Time
	jobs     map[string]Job
	placedOn map[string]string
	reserved map[string]platform.Resources
	evicting map[string]bool
	up       map[string]bool
	lastJob  int
	quota    int64
}

func fuzzPlanner(t *rapid.T) {
	m := &model{
		p: newTestPlanner(4), now: startTime, jobs: map[string]Job{}, placedOn: map[string]string{}, reserved: map[string]platform.Resources{},
		evicting: map[string]bool{}, up: map[string]bool{"w0": true, "w1": true, "w2": true, "w3": true},
	}
	m.quota = rapid.SampledFrom([]int64{12000, 60000}).Draw(t, "quota")
	quota := platform.Resources{MilliCores: m.quota, MemoryBytes: 1 << 40}
	m.p.Handle(startTime, Quotas{Teams: map[string]Quota{"red": {Total: quota, Granted: quota}}})
	pickPlaced := func(t *rapid.T, from map[string]string) string {
		ids := make([]string, 0, len(from))
		for id := range from {
			ids = append(ids, id)
		}
		if len(ids) == 0 {
			t.Skip("nothing runs")
		}
		return rapid.SampledFrom(sortStrings(ids)).Draw(t, "job")
	}
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			m.lastJob++
			j := testJob(fmt.Sprintf("j%03d", m.lastJob), rapid.SampledFrom(declaration.Classes).Draw(t, "class"), rapid.Int64Range(1, 8).Draw(t, "cores"))
			j.Kind = fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "kind"))
			j.Repeatable, j.Checkpoints, j.Submitted = rapid.Bool().Draw(t, "repeatable"), rapid.Bool().Draw(t, "checkpoints"), m.now
			m.jobs[j.ID] = j
			m.apply(t, Submit{Job: j})
		},
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, Tick{})
		},
		"end": func(t *rapid.T) {
			id := pickPlaced(t, m.placedOn)
			m.forget(id)
			delete(m.jobs, id)
			m.apply(t, Ended{ID: id, Succeeded: rapid.Bool().Draw(t, "succeeded")})
		},
		"requeue": func(t *rapid.T) {
			id := pickPlaced(t, m.placedOn)
			m.forget(id)
			m.apply(t, Requeue{ID: id, NotBefore: m.now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second)})
		},
		"cancel": func(t *rapid.T) {
			for id := range m.jobs {
				if rapid.Bool().Draw(t, "cancel") {
					m.forget(id)
					delete(m.jobs, id)
					m.apply(t, Cancel{IDs: []string{id}})
				}
				break
			}
		},
		"confirm": func(t *rapid.T) { m.apply(t, Confirmed{ID: pickPlaced(t, m.placedOn)}) },
		"used": func(t *rapid.T) {
			id := pickPlaced(t, m.placedOn)
			m.apply(t, Used{ID: id, Used: cores(rapid.Int64Range(0, 10).Draw(t, "cores")), AsOf: m.now})
		},
		"worker": func(t *rapid.T) {
			id := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(t, "worker")
			m.toggleWorker(t, id)
		},
		"": func(t *rapid.T) { m.check(t) },
	})
	m.endAllJobs(t)
}

func sortStrings(ids []string) []string {
	for i := range ids {
		for k := i; k > 0 && ids[k] < ids[k-1]; k-- {
			ids[k], ids[k-1] = ids[k-1], ids[k]
		}
	}
	return ids
}

func (m *model) forget(id string) {
	delete(m.placedOn, id)
	delete(m.reserved, id)
	delete(m.evicting, id)
}

// toggleWorker removes a worker and requeues its jobs, or adds it again.
func (m *model) toggleWorker(t *rapid.T, id string) {
	if m.up[id] = !m.up[id]; m.up[id] {
		m.apply(t, WorkerUp{Worker: Worker{
			ID: id, Pool: "a", Location: platform.Location{DataCentre: "d", Rack: "r" + id[1:]}, Capacity: platform.Resources{MilliCores: 8000, MemoryBytes: 64 << 30},
		}})
		return
	}
	m.apply(t, WorkerDown{ID: id})
	for job, w := range m.placedOn {
		if w == id {
			m.forget(job)
			m.apply(t, Requeue{ID: job})
		}
	}
}

func (m *model) apply(t *rapid.T, e Event) {
	for _, a := range m.p.Handle(m.now, e) {
		switch a := a.(type) {
		case Start:
			if m.placedOn[a.Job] != "" || m.jobs[a.Job].ID == "" || !m.up[a.Worker] {
				t.Fatalf("start of %s on %s: it runs on %q, submitted %v, worker up %v", a.Job, a.Worker, m.placedOn[a.Job], m.jobs[a.Job].ID != "", m.up[a.Worker])
			}
			m.placedOn[a.Job], m.reserved[a.Job] = a.Worker, a.Reserved
		case Checkpoint:
			m.requireRunningOn(t, a.Job, a.Worker)
			m.evicting[a.Job] = true
		case Stop:
			m.requireRunningOn(t, a.Job, a.Worker)
			if !m.jobs[a.Job].Repeatable {
				t.Fatalf("stop of non-repeatable job %s", a.Job)
			}
			m.evicting[a.Job] = true
		case Throttle:
			m.requireRunningOn(t, a.Job, a.Worker)
			if !m.p.jobs[a.Job].confirmed {
				t.Fatalf("throttle of %s, which is not confirmed to run", a.Job)
			}
			r := m.reserved[a.Job]
			if a.Percent < 100 {
				r.MilliCores = r.MilliCores * int64(a.Percent) / 100
			} else {
				r = m.p.jobs[a.Job].need
			}
			m.reserved[a.Job] = r
		case Impossible:
			delete(m.jobs, a.Job)
		case Wait:
		}
	}
}

func (m *model) requireRunningOn(t *rapid.T, job, worker string) {
	if m.placedOn[job] != worker {
		t.Fatalf("action for %s on %s, which runs on %q", job, worker, m.placedOn[job])
	}
}

// check verifies that no worker's capacity and no team's quota is exceeded.
func (m *model) check(t *rapid.T) {
	use := map[string]platform.Resources{}
	for job, w := range m.placedOn {
		use[w] = add(use[w], m.reserved[job])
	}
	for w, r := range use {
		if !fits(r, platform.Resources{MilliCores: 8000, MemoryBytes: 64 << 30}) {
			t.Fatalf("worker %s: got %s reserved, want at most 8 cores", w, Format(r))
		}
	}
	if got := m.p.TeamUse("red").MilliCores; got > m.quota {
		t.Fatalf("team use: got %d, want at most %d", got, m.quota)
	}
}

// endAllJobs brings all workers up and ends each job that starts. All jobs must start eventually, and no reservation may be
// left.
func (m *model) endAllJobs(t *rapid.T) {
	for id, up := range m.up {
		if !up {
			m.toggleWorker(t, id)
		}
	}
	for range 2000 {
		m.now = m.now.Add(5 * time.Second)
		m.apply(t, Tick{})
		m.check(t)
		ids := make([]string, 0, len(m.placedOn))
		for id := range m.placedOn {
			ids = append(ids, id)
		}
		for _, id := range sortStrings(ids) {
			m.forget(id)
			delete(m.jobs, id)
			m.apply(t, Ended{ID: id, Succeeded: true})
		}
		if len(m.jobs) == 0 {
			if p := m.p; p.TeamUse("red") != (platform.Resources{}) || len(p.jobs) != 0 || len(p.pending) != 0 || len(p.evicting) != 0 {
				t.Fatalf("empty planner: got use %s, %d jobs, want none", Format(p.TeamUse("red")), len(p.jobs))
			}
			return
		}
	}
	t.Fatalf("jobs left: got %d, want 0", len(m.jobs))
}
