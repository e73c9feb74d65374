package jobs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

// TestFuzzHolder runs holders through random faults. A longer run:
//
//	go test ./jobs -run TestFuzzHolder -rapid.checks=20000 -timeout 60m
func TestFuzzHolder(t *testing.T) {
	rapid.Check(t, fuzzHolder)
}

// fuzzState is the state of one random run.
type fuzzState struct {
	*fixture
	lastJob int
	faults  *flaky
	// reserved is what each team reserved at the last check, when checkedHolder was the holder. predecessorKilled means that the current
	// holder took over from a killed one since then.
	reserved          map[string]platform.Resources
	checkedHolder     *Holder
	predecessorKilled bool
}

// injectFaults makes calls of the current holder fail at random.
func (m *fuzzState) injectFaults() {
	m.holder.Store = flakyStore{Store: m.store, flaky: m.faults}
	m.holder.Workers = flakyWorkers{Workers: m.workers, flaky: m.faults}
}

func (m *fuzzState) replace() {
	m.takeOver()
	m.injectFaults()
}

func fuzzHolder(t *rapid.T) {
	m := &fuzzState{fixture: newFixture(4), reserved: map[string]platform.Resources{}}
	m.faults = &flaky{seed: rapid.Uint64().Draw(t, "seed"), now: func() time.Time { return m.now }}
	m.injectFaults()
	class := rapid.SampledFrom([]string{"urgent", "standard", "deferrable"})
	worker := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"})
	rack := rapid.SampledFrom([]string{"r0", "r1"})
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			for range rapid.IntRange(1, 4).Draw(t, "jobs") {
				m.lastJob++
				j := m.job(fmt.Sprintf("j%d", m.lastJob), class.Draw(t, "class"), rapid.Int64Range(1, 4).Draw(t, "cores"), rapid.Bool().Draw(t, "repeatable"))
				j.Team = rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team")
				m.runTime[j.ID] = time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
				m.failing[j.ID] = rapid.IntRange(0, 9).Draw(t, "fails") == 0
				m.submit(t, j)
			}
		},
		"advance":     func(t *rapid.T) { m.step(t, rapid.IntRange(1, 20).Draw(t, "steps")) },
		"advanceLong": func(t *rapid.T) { m.step(t, rapid.IntRange(20, 400).Draw(t, "steps")) },
		"store": func(t *rapid.T) {
			m.store.SetFaults(standin.StoreFaults{Down: rapid.Bool().Draw(t, "down"), LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose")})
		},
		"worker": func(t *rapid.T) {
			m.workers.SetFaults(worker.Draw(t, "worker"), standin.WorkerFaults{
				FailAll: rapid.IntRange(0, 3).Draw(t, "failAll") == 0, Down: rapid.IntRange(0, 3).Draw(t, "down") == 0,
				LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"), NoCheckpoint: rapid.Bool().Draw(t, "noCheckpoint"),
			})
		},
		"reboot": func(t *rapid.T) {
			id := worker.Draw(t, "worker")
			m.workers.Reboot(id)
			m.members[id].BootCount++
		},
		"rack": func(t *rapid.T) {
			r, lost := rack.Draw(t, "rack"), rapid.Bool().Draw(t, "lost")
			m.workers.SetRackLost(r, lost)
			m.setRack(r, map[bool]string{true: "failed", false: "inService"}[lost])
		},
		// Workers may be listed as failed while they still run their tasks.
		"list": func(t *rapid.T) {
			m.members[worker.Draw(t, "worker")].State = rapid.SampledFrom([]string{"inService", "draining", "failed"}).Draw(t, "state")
		},
		"takeOver": func(*rapid.T) { m.replace() },
		"calls": func(t *rapid.T) {
			m.faults.percent = rapid.SampledFrom([]uint64{0, 0, 10, 40}).Draw(t, "percent")
		},
		"resume": func(t *rapid.T) { m.resume(t) },
		// A kill ends the holder in the middle of a step: from a random call on all calls fail, and another holder takes over.
		"kill": func(t *rapid.T) {
			m.killAfter(t, rapid.IntRange(0, 12).Draw(t, "calls"))
		},
		"cancel": func(t *rapid.T) {
			var ids []string
			for _, id := range sortedKeys(m.submitted) {
				if len(ids) < 3 && id[len(id)-1]%2 == 0 {
					ids = append(ids, id)
				}
			}
			if err := m.intake.Cancel(context.Background(), "a", ids); err != nil && !errors.Is(err, ErrUnknownOutcome) {
				t.Fatalf("cancel: got %v", err)
			}
		},
		"": func(t *rapid.T) { m.check(t) },
	})
	m.recover(t)
}

func (m *fuzzState) setRack(rack, state string) {
	for _, i := range m.members {
		if i.Location.Rack == rack {
			i.State = state
		}
	}
}

func (m *fuzzState) step(t *rapid.T, n int) {
	for range n {
		if err := m.holder.Step(context.Background(), m.now); err != nil {
			t.Fatalf("step of the current holder at %v: got %v, want none", m.now, err)
		}
		m.now = m.now.Add(250 * time.Millisecond)
	}
}

// resume lets a paused holder continue; nothing that it does may take effect.
func (m *fuzzState) resume(t *rapid.T) {
	if len(m.paused) == 0 {
		t.Skip("no paused holder")
	}
	old := m.paused[rapid.IntRange(0, len(m.paused)-1).Draw(t, "holder")]
	// Several steps, since the store may be down during the first one.
	for range 3 {
		if err := old.Step(context.Background(), m.now); errors.Is(err, record.ErrFenced) {
			return
		}
	}
}

// killAfter cancels the holder's context after a number of calls, which simulates a kill of its process.
func (m *fuzzState) killAfter(t *rapid.T, calls int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	count := &killSwitch{left: calls, kill: cancel}
	m.holder.Store = killSwitchStore{Store: m.holder.Store, killSwitch: count}
	m.holder.Workers = killSwitchWorkers{Workers: m.holder.Workers, killSwitch: count}
	if err := m.holder.Step(ctx, m.now); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatalf("killed step: got %v", err)
	}
	m.replace()
	m.predecessorKilled = true
	// A killed holder does not resume.
	m.paused = m.paused[:len(m.paused)-1]
}

// check verifies the invariants that must hold at any time.
func (m *fuzzState) check(t *rapid.T) {
	for id, j := range m.submitted {
		if n := m.workers.Starts(id); !j.Repeatable && n > 1 {
			t.Fatalf("starts of non-repeatable job %s: got %d, want at most 1", id, n)
		}
	}
	for id, j := range m.unconfirmed {
		if n := m.workers.Starts(id); !j.Repeatable && n > 1 {
			t.Fatalf("starts of non-repeatable job %s: got %d, want at most 1", id, n)
		}
	}
	if lines := m.workers.Overcommitted(); len(lines) > 0 {
		t.Fatalf("overcommitted: %s", strings.Join(lines, "; "))
	}
	m.checkQuotas(t)
}

// checkQuotas expects no start above a quota. If a holder is killed between the record of a start and the record of the end
// that freed the quota for it, the next holder counts both jobs until it has queried the worker. The ended job had been
// stopped, so no two tasks run above the quota. From then on the use must not grow. Found by rapid with seed 58058369.
func (m *fuzzState) checkQuotas(t *rapid.T) {
	p := m.holder.planner
	if p == nil {
		return
	}
	for team, declared := range m.set.Teams {
		reserved := p.TeamUse(team)
		bound := quotaOf(declared)
		if m.checkedHolder == m.holder {
			bound = maximum(bound, m.reserved[team])
		} else if m.predecessorKilled {
			bound = maximum(bound, reserved)
		}
		if !fits(reserved, bound) {
			t.Fatalf("team %s reserves %s, want at most %s", team, placement.Format(reserved), placement.Format(bound))
		}
		m.reserved[team] = reserved
	}
	m.checkedHolder, m.predecessorKilled = m.holder, false
}

// recover clears all faults and expects every job reported as recorded to reach a final state.
func (m *fuzzState) recover(t *rapid.T) {
	m.faults.percent = 0
	m.store.SetFaults(standin.StoreFaults{})
	for id, i := range m.members {
		m.workers.SetFaults(id, standin.WorkerFaults{})
		i.State = "inService"
	}
	m.workers.SetRackLost("r0", false)
	m.workers.SetRackLost("r1", false)
	for range 60 {
		m.step(t, 120)
		m.check(t)
		if m.unfinished(t) == "" {
			return
		}
	}
	t.Fatalf("30 min after the last fault: got %s, want every job in a final state", m.unfinished(t))
}

// unfinished describes a job that is not in a final state, or succeeded without a start; it is empty if there is none.
func (m *fuzzState) unfinished(t *rapid.T) string {
	for id := range m.submitted {
		j := m.load(t, id)
		if !jobChart.IsFinal(j.State) {
			return fmt.Sprintf("job %s in state %s, reason %+v", id, j.State, j.Reason)
		}
		if starts := m.workers.Starts(id); j.State == succeeded && starts == 0 {
			return fmt.Sprintf("job %s succeeded without a start", id)
		}
	}
	return ""
}
