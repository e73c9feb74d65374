package quota_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// modelRun is a run in the model.
type modelRun struct {
	need workload.Resources
	// known is true once the pool's holder knows the run.
	known bool
}

// modelHolder is a holder of a pool's duty.
type modelHolder struct {
	account *quota.Account
	fence   int
	version int
}

// modelPool is a pool with its workers' runs.
type modelPool struct {
	name   string
	runs   []modelRun
	holder *modelHolder
	// former is a lost holder whose orders workers still carry out, until they report to the present one.
	former *modelHolder
	// waiting are the needs of the ready tasks.
	waiting []int64
}

// modelWrite is a write that the store may apply now, later or never.
type modelWrite struct {
	pool     *modelPool
	fence    int
	revision uint64
	value    []byte
}

// model holds the store, the pools and the limits of all versions of the configuration.
type model struct {
	t        *rapid.T
	now      time.Time
	limits   []int64
	pools    []*modelPool
	value    []byte
	revision uint64
	late     []modelWrite
}

func (m *model) record() (r quota.Record) {
	if m.value != nil {
		if err := json.Unmarshal(m.value, &r); err != nil {
			m.t.Fatalf("record: got %v, want none", err)
		}
	}
	return r
}

func (m *model) total() (sum int64) {
	for _, p := range m.pools {
		sum += p.occupied()
	}
	return sum
}

func (p *modelPool) occupied() (sum int64) {
	for _, r := range p.runs {
		sum += r.need.CPU
	}
	return sum
}

// usage returns what a holder knows. Until the workers have reported, any run may be present in the rest of the grant.
func (p *modelPool) usage(h *modelHolder) (u quota.Usage) {
	for _, r := range p.runs {
		if r.known || h != p.holder {
			u.Known = u.Known.Plus(r.need)
		}
	}
	if h == p.holder && p.former != nil {
		u.Uncertain = cpu(1 << 20)
	}
	for _, n := range p.waiting {
		u.Short = u.Short.Plus(cpu(n))
		u.Least.CPU = max(u.Least.CPU, n)
	}
	return u
}

// inForce returns the highest limit of the versions that a holder may have.
func (m *model) inForce() int64 {
	oldest := len(m.limits) - 1
	for _, p := range m.pools {
		oldest = min(oldest, p.holder.version)
		if p.former != nil {
			oldest = min(oldest, p.former.version)
		}
	}
	return slices.Max(m.limits[oldest:])
}

// apply applies a write whose conditions hold.
func (m *model) apply(w modelWrite) bool {
	if w.revision != m.revision || w.fence != w.pool.holder.fence {
		return false
	}
	m.value = w.value
	m.revision++
	return true
}

func (m *model) observe(h *modelHolder) { h.account.Observe(m.record(), m.revision, m.now) }

func (m *model) configure(h *modelHolder, version int) {
	h.version = version
	h.account.SetLimit(int64(version+1), cpu(m.limits[version]))
}

func (m *model) takeOver(p *modelPool) {
	p.former = p.holder
	version := len(m.limits) - 1
	fence := 1
	if p.former != nil {
		fence = p.former.fence + 1
		version = p.former.version
	}
	p.holder = &modelHolder{account: quota.NewAccount(p.name), fence: fence}
	m.configure(p.holder, version)
	for i := range p.runs {
		p.runs[i].known = false
	}
}

// start lets a holder start a waiting task if its allowance permits.
func (m *model) start(p *modelPool, h *modelHolder) {
	if len(p.waiting) == 0 {
		return
	}
	u, allowance, limit := p.usage(h), h.account.Allowance(), h.account.Limit().CPU
	need := p.waiting[0]
	occupied := u.Known.CPU + u.Uncertain.CPU
	fits := occupied+need <= allowance.Amount.CPU || (need > limit && occupied == 0 && need <= allowance.Alone.CPU)
	if !fits {
		return
	}
	before := m.total()
	p.waiting = p.waiting[1:]
	p.runs = append(p.runs, modelRun{cpu(need), h == p.holder})
	if highest := m.inForce(); before+need > highest && before > 0 {
		m.t.Fatalf("start of %d in pool %s: got %d running after it, want %d at most; record %s", need, p.name, before+need, highest, m.value)
	}
}

func (m *model) decide(p *modelPool, h *modelHolder, outcome string) {
	c, ok := h.account.Decide(p.usage(h), m.now)
	if !ok {
		return
	}
	value, err := json.Marshal(c.Record)
	if err != nil {
		m.t.Fatalf("record: got %v, want none", err)
	}
	w := modelWrite{pool: p, fence: h.fence, revision: h.account.Revision(), value: value}
	switch outcome {
	case "applied":
		m.apply(w)
		m.observe(h)
	case "answer lost":
		m.apply(w)
	case "late":
		m.late = append(m.late, w)
	case "not sent":
	}
}

// Guards against starts above the highest limit in force, and against a part of a limit that nobody can use any more, whatever writes are lost or late
// and whichever holders are replaced.
func TestGrantsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A lost holder's grant that is freed at once shows in one of some hundred histories.
		for range 6 {
			playHistory(t)
		}
	})
}

// playHistory draws a history of holders, runs, writes and limits.
func playHistory(t *rapid.T) {
	m := &model{t: t, now: epoch, limits: []int64{rapid.Int64Range(10, 200).Draw(t, "limit")}}
	for i := range rapid.IntRange(1, 4).Draw(t, "pools") {
		p := &modelPool{name: fmt.Sprintf("p%d", i)}
		m.pools = append(m.pools, p)
		m.takeOver(p)
	}
	pool := func() *modelPool { return rapid.SampledFrom(m.pools).Draw(t, "pool") }
	decide := func(outcome string) func(*rapid.T) {
		return func(*rapid.T) {
			p := pool()
			m.decide(p, p.holder, outcome)
		}
	}
	actions := map[string]func(*rapid.T){
		"decide":      decide("applied"),
		"decide2":     decide("applied"),
		"answer lost": decide("answer lost"),
		"late":        decide("late"),
		"not sent":    decide("not sent"),
		"observe":     func(*rapid.T) { m.observe(pool().holder) },
		"former holder": func(*rapid.T) {
			if p := pool(); p.former != nil {
				m.decide(p, p.former, "applied")
				m.start(p, p.former)
			}
		},
		"apply late": func(*rapid.T) {
			if len(m.late) > 0 {
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "write")
				m.apply(m.late[i])
				m.late = slices.Delete(m.late, i, i+1)
			}
		},
		"take over": func(*rapid.T) { m.takeOver(pool()) },
		"report": func(*rapid.T) {
			p := pool()
			p.former = nil
			for i := range p.runs {
				p.runs[i].known = true
			}
		},
		"wait": func(*rapid.T) {
			m.now = m.now.Add(rapid.SampledFrom([]time.Duration{10, 100, 600}).Draw(t, "ms") * time.Millisecond)
		},
		"arrive": func(*rapid.T) {
			p := pool()
			p.waiting = append(p.waiting, rapid.Int64Range(1, 60).Draw(t, "need"))
		},
		"cancel": func(*rapid.T) { pool().waiting = nil },
		"start":  func(*rapid.T) { p := pool(); m.start(p, p.holder) },
		"start all": func(*rapid.T) {
			p := pool()
			for range len(p.waiting) {
				m.start(p, p.holder)
			}
		},
		"end": func(*rapid.T) {
			if p := pool(); len(p.runs) > 0 {
				i := rapid.IntRange(0, len(p.runs)-1).Draw(t, "run")
				p.runs = slices.Delete(p.runs, i, i+1)
			}
		},
		"new limit": func(*rapid.T) { m.limits = append(m.limits, rapid.Int64Range(5, 200).Draw(t, "limit")) },
		"configure": func(*rapid.T) { m.configure(pool().holder, len(m.limits)-1) },
		"round":     func(*rapid.T) { m.round() },
		"load": func(*rapid.T) {
			p := pool()
			need := rapid.Int64Range(1, 20).Draw(t, "need")
			for range rapid.IntRange(1, 30).Draw(t, "tasks") {
				p.waiting = append(p.waiting, need)
			}
		},
		"late and demand": func(*rapid.T) {
			// The write is carried out after its holder has started more.
			p := pool()
			m.now = m.now.Add(time.Second)
			m.decide(p, p.holder, "late")
			p.waiting = append(p.waiting, 1, 2, 5, 10)
			for range len(p.waiting) {
				m.start(p, p.holder)
			}
			if n := len(m.late); n > 0 {
				m.apply(m.late[n-1])
			}
		},
		"end many": func(*rapid.T) {
			p := pool()
			p.runs = p.runs[rapid.IntRange(0, len(p.runs)).Draw(t, "runs"):]
		},
	}
	// More steps than the default lead into shortages and lowered limits.
	for range 6 {
		t.Repeat(actions)
	}
	m.checkDemandInOnePool(pool())
}

// round lets all holders learn of the store, decide and start what they can.
func (m *model) round() {
	m.now = m.now.Add(100 * time.Millisecond)
	for _, p := range m.pools {
		m.observe(p.holder)
		m.decide(p, p.holder, "applied")
		for range len(p.waiting) {
			m.start(p, p.holder)
		}
	}
}

// checkDemandInOnePool lets all other runs end and checks that the demand of one pool then gets the limit.
func (m *model) checkDemandInOnePool(p *modelPool) {
	limit := m.limits[len(m.limits)-1]
	for _, other := range m.pools {
		other.runs, other.waiting, other.former = nil, nil, nil
		m.configure(other.holder, len(m.limits)-1)
	}
	for range 2 * limit {
		p.waiting = append(p.waiting, 1)
	}
	for end := m.now.Add(2 * time.Second); m.now.Before(end); m.now = m.now.Add(50 * time.Millisecond) {
		for _, other := range m.pools {
			m.observe(other.holder)
			m.decide(other, other.holder, "applied")
		}
		for range len(p.waiting) {
			m.start(p, p.holder)
		}
	}
	if got := m.total(); float64(got) < 0.9*float64(limit) {
		m.t.Fatalf("what runs after 2 s of demand in pool %s: got %d, want 0.9 of %d; record %s", p.name, got, limit, m.value)
	}
}
