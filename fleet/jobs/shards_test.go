package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

// shardFixture has two shards with one pool and two workers each, and one team.
type shardFixture struct {
	*fixture
	pools   [2]string
	holders [2]*Holder
	quota   platform.Resources
}

func newShardFixture() *shardFixture {
	s := &shardFixture{fixture: newFixture(4), quota: platform.Resources{MilliCores: 6000, MemoryBytes: 8 * gib}}
	for i := 0; s.pools[0] == "" || s.pools[1] == ""; i++ {
		name := fmt.Sprintf("pool%d", i)
		s.pools[ShardOf(name, 2)] = name
	}
	s.set.Pools = map[string]declaration.Pool{s.pools[0]: {}, s.pools[1]: {}}
	s.set.Teams = map[string]declaration.Team{"red": {MilliCores: s.quota.MilliCores, MemoryBytes: s.quota.MemoryBytes}}
	for i, id := range sortedKeys(s.members) {
		s.members[id].Pool = s.pools[i%2]
	}
	s.intake.Shards = 2
	s.replace(0)
	s.replace(1)
	return s
}

func (s *shardFixture) replace(shard int) {
	s.takeOver()
	s.holders[shard] = s.holder
	s.holder.Shard, s.holder.Shards = shard, 2
}

func (s *shardFixture) submitTo(t fataler, id string, shard int, cores int64) {
	t.Helper()
	j := s.job(id, "standard", cores, true)
	j.Pool = s.pools[shard]
	s.submit(t, j)
}

func (s *shardFixture) step(t fataler, n int) {
	t.Helper()
	for range n {
		var use platform.Resources
		for _, h := range s.holders {
			if err := h.Step(context.Background(), s.now); err != nil {
				t.Fatalf("step: got %v, want none", err)
			}
			use = sum(use, h.planner.TeamUse("red"))
		}
		if !fits(use, s.quota) {
			t.Fatalf("use of both shards: got %+v, want at most %+v", use, s.quota)
		}
		s.now = s.now.Add(250 * time.Millisecond)
	}
}

// The unused part of a shard's grant must be returned to the other shards. It was kept for ever when a former holder had left
// the grant, and when the answer to the write of the grant was lost. Found by rapid with seeds 20261240 and 20269079.
func TestUnusedGrantIsReturned(t *testing.T) {
	cases := map[string]func(*testing.T, *shardFixture){
		"of a former holder": func(t *testing.T, s *shardFixture) {
			s.submitTo(t, "first", 0, 4)
			s.step(t, 80)
			s.replace(0)
		},
		"after a lost answer": func(t *testing.T, s *shardFixture) {
			s.holders[0].Store = &lostGrantAnswers{Store: s.store, left: 1}
			s.submitTo(t, "first", 0, 4)
			s.step(t, 1)
			check.NoError(t, s.intake.Cancel(context.Background(), s.pools[0], []string{"first"}))
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			s := newShardFixture()
			prepare(t, s)
			s.submitTo(t, "second", 1, 4)
			s.step(t, 4*120)
			j, _, err := record.Load[record.Job](context.Background(), s.store, Key(1, "second"))
			check.NoError(t, err)
			check.Equal(t, "state", j.State, succeeded)
		})
	}
}

// Two shards that place jobs of the same team must not reserve more than its quota in total, whichever answers are lost. A
// longer run:
//
//	go test ./jobs -run TestFuzzShards -rapid.checks=10000
func TestFuzzShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShardFixture()
		faults := &flaky{seed: rapid.Uint64().Draw(t, "seed"), percent: 20, now: func() time.Time { return s.now }}
		replace := func(shard int) {
			s.replace(shard)
			s.holder.Store = flakyStore{Store: s.store, flaky: faults}
		}
		replace(0)
		replace(1)
		for n := range rapid.IntRange(1, 20).Draw(t, "rounds") {
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				replace(rapid.IntRange(0, 1).Draw(t, "shard"))
			} else {
				for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
					s.submitTo(t, fmt.Sprintf("j%d-%d", n, i), rapid.IntRange(0, 1).Draw(t, "pool"), rapid.Int64Range(1, 3).Draw(t, "cores"))
				}
			}
			s.step(t, rapid.IntRange(1, 400).Draw(t, "steps"))
		}
		faults.percent = 0
		for range 100 {
			s.step(t, 40)
			if len(s.holders[0].jobs)+len(s.holders[1].jobs) == 0 {
				return
			}
		}
		t.Fatalf("open jobs after 1,000 s: got %d and %d, want none", len(s.holders[0].jobs), len(s.holders[1].jobs))
	})
}

// Run must end with its context, and with ErrFenced when another holder has taken over.
func TestRunEnds(t *testing.T) {
	w := newFixture(1)
	w.holder.Now = func() time.Time { return w.now }
	w.holder.Timing.StepEvery = time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	check.NoError(t, w.holder.Run(ctx))
	w.submit(t, w.job("j", "standard", 1, true))
	w.takeOver()
	w.holder.Epoch++
	w.run(t, time.Second)
	w.store.SetFaults(standin.StoreFaults{})
	w.now = w.now.Add(time.Second)
	old := w.paused[0]
	check.ErrorIs(t, old.Run(context.Background()), record.ErrFenced)
}
