package maintenance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// PoolLoop is the duty pool/<name>: it owns the pool's instances, their reservations and the moves out of the pool.
type PoolLoop struct {
	Duty
	Pool string
	// Planner learns demand and decides moves.
	Planner *move.Planner
	// Demand returns the samples since the last call; when nil, the loop plans no moves.
	Demand func() []move.Sample

	tookOver bool
	// unansweredWrites names the instances with an unanswered write of their records. Budgets need no such list: every
	// reservation is a new write of the budget's record, which makes a late earlier write fail.
	unansweredWrites map[string]bool
	unassignedSince  map[string]time.Time
	missingSince     map[string]time.Time
	nextPlan         time.Time
	index            *budget.Index
	indexRevision    uint64
}

// step is one step of a pool's loop.
type step struct {
	*PoolLoop
	View
	ctx      context.Context
	now      time.Time
	set      declaration.Set
	revision uint64
	index    *budget.Index
	slow     bool
	// instanceIDs are the sorted ids of the pool's instances.
	instanceIDs []string
	// instancesCopied is set once Instances is a copy of the shared map that this step may change.
	instancesCopied bool
}

// Run repeats Step until the context ends or another holder has fenced this one.
func (l *PoolLoop) Run(ctx context.Context) error {
	l.setDefaults()
	return l.run(ctx, l.duty(), l.Step)
}

// Step executes what is due now; it returns record.ErrFenced when the duty has a newer holder.
func (l *PoolLoop) Step(ctx context.Context, now time.Time) error {
	l.prepare()
	defer func() { l.stepEnded = l.Now() }()
	view, slow, err := l.refresh(ctx)
	if err != nil {
		return fmt.Errorf("pool %s: %w", l.Pool, err)
	}
	set, revision := l.Configuration()
	s := &step{PoolLoop: l, View: view, ctx: ctx, now: now, set: set, revision: revision, index: l.indexOf(set, revision), slow: slow}
	// Every pool's loop reads the whole fleet each second, so the index and the copy of the instances are made only when
	// something changes.
	s.Budgets = maps.Clone(view.Budgets)
	s.Moves = maps.Clone(view.Moves)
	for _, part := range []func() error{s.claim, s.rewriteUnanswered, s.adopt, s.advance, s.syncMoves, s.release, s.planMoves, s.begin} {
		if err := part(); err != nil {
			return fmt.Errorf("pool %s: %w", l.Pool, err)
		}
	}
	return nil
}

func (l *PoolLoop) prepare() {
	l.setDefaults()
	if l.unansweredWrites == nil {
		l.unansweredWrites = map[string]bool{}
		l.unassignedSince, l.missingSince = map[string]time.Time{}, map[string]time.Time{}
	}
	if l.Planner == nil {
		l.Planner = &move.Planner{}
	}
}

// indexOf returns the index of the budgets for a configuration revision.
func (l *PoolLoop) indexOf(set declaration.Set, revision uint64) *budget.Index {
	if l.index == nil || l.indexRevision != revision || revision == 0 {
		l.index, l.indexRevision = budget.NewIndex(set), revision
	}
	return l.index
}

// copyInstances copies the map of instances before the first write of a step.
func (s *step) copyInstances() {
	if !s.instancesCopied {
		s.Instances = maps.Clone(s.Instances)
		s.instancesCopied = true
	}
}

func (l *PoolLoop) duty() string { return PoolDutyPrefix + l.Pool }

// claim rewrites the pool's records that have a lower epoch, so that the writes of an earlier holder fail.
// Instances come before budgets, because a reservation may be released only when an earlier holder can no longer change its
// instance.
func (s *step) claim() error {
	for id, i := range s.Instances {
		if i.Value.Pool == s.Pool {
			s.instanceIDs = append(s.instanceIDs, id)
		}
	}
	slices.Sort(s.instanceIDs)
	for _, id := range s.instanceIDs {
		i := s.Instances[id].Value
		if i.Epoch > s.Epoch {
			return fmt.Errorf("instance %s: %w", id, record.ErrFenced)
		}
		if i.Epoch < s.Epoch || !s.tookOver {
			if err := s.saveInstance(i); err != nil {
				return err
			}
		}
	}
	if s.tookOver {
		return nil
	}
	if err := s.claimMoves(); err != nil {
		return err
	}
	if err := s.claimBudgets(); err != nil {
		return err
	}
	s.tookOver = true
	return nil
}

// claimMoves rewrites the moves out of the pool, and the finished moves of its instances, which an earlier holder could
// overwrite with a new proposal.
func (s *step) claimMoves() error {
	for _, id := range slices.Sorted(maps.Keys(s.Moves)) {
		m := s.Moves[id].Value
		final := moveChart.IsFinal(m.State)
		switch {
		case m.From == s.Pool && m.Epoch > s.Epoch:
			return fmt.Errorf("move %s: %w", id, record.ErrFenced)
		case m.From == s.Pool:
			m.Epoch = s.Epoch
		case !final || s.Instances[id].Value.Pool != s.Pool:
			continue
		}
		if err := s.putMove(m); err != nil {
			return err
		}
	}
	return nil
}

// rewriteUnanswered rewrites the records whose last write was unanswered, so that a late write fails.
func (s *step) rewriteUnanswered() error {
	for _, id := range slices.Sorted(maps.Keys(s.unansweredWrites)) {
		if i, ok := s.Instances[id]; ok && i.Value.Pool == s.Pool {
			if err := s.saveInstance(i.Value); err != nil {
				return err
			}
		}
		delete(s.unansweredWrites, id)
	}
	return nil
}

// saveInstance writes an instance record with the loop's epoch.
func (s *step) saveInstance(i record.Instance) error {
	i.Epoch = s.Epoch
	return s.putInstance(i)
}

func (s *step) putInstance(i record.Instance) error {
	key := record.InstancePrefix + i.ID
	revision, err := record.Save(s.ctx, s.Store, key, i, s.Instances[i.ID].Revision, 0)
	if err != nil {
		if errors.Is(err, store.ErrUnavailable) {
			s.unansweredWrites[i.ID] = true
		}
		return err
	}
	s.copyInstances()
	s.Instances[i.ID] = Versioned[record.Instance]{Value: i, Revision: revision}
	return nil
}

// transition sends an event to an instance's state chart and writes the result.
func (s *step) transition(id, event, rule, detail string, change func(*record.Instance)) error {
	i := s.Instances[id].Value
	next, err := instanceChart.Next(i.State, event)
	if err != nil {
		return fmt.Errorf("instance %s: %w", id, err)
	}
	from := i.State
	i.State = next
	i.Since = s.now
	i.Reason = s.reason(rule, detail, s.revision, s.now)
	if change != nil {
		change(&i)
	}
	if i.Pool == s.Pool {
		i.Epoch = s.Epoch
	}
	if err := s.putInstance(i); err != nil {
		return err
	}
	s.Log.Info().Str("instance", id).Str("pool", i.Pool).Str("from", from).Str("to", next).Str("rule", rule).Str("detail", detail).Msg("instance changed state")
	return nil
}

// reasonInterval is the minimum time between two writes of the same rule with different figures, so that a stop that waits
// causes few writes.
const reasonInterval = 3 * time.Second

// explain records why an instance stays in its state if the reason differs from the recorded one.
func (s *step) explain(id, rule, detail string) error {
	i := s.Instances[id].Value
	sameRule := i.Reason.Rule == rule
	if sameRule && (i.Reason.Detail == detail || s.now.Sub(i.Reason.At) < reasonInterval) {
		return nil
	}
	i.Reason = s.reason(rule, detail, s.revision, s.now)
	return s.saveInstance(i)
}

// memberOf returns the instance as a member for the budgets. Until a moved instance serves again, it counts in its former
// pool.
func memberOf(i record.Instance) budget.Member {
	m := budget.Member{ID: i.ID, Pool: i.Pool, Location: i.Location}
	if i.ArrivedFrom != "" {
		m.Pool = i.ArrivedFrom
	}
	return m
}

// rebootTime returns the longest reboot time, declared or measured, of the waves that cover the instance.
func (s *step) rebootTime(i record.Instance) time.Duration {
	longest := time.Duration(0)
	for name, w := range s.set.Waves {
		if name != i.Wave && !budget.Covers(w.Scope, s.set.Services, memberOf(i)) {
			continue
		}
		longest = max(longest, w.RebootTime)
		if r := s.Waves[name].Value; r.Cycles > 0 {
			longest = max(longest, r.CycleTime/time.Duration(r.Cycles))
		}
	}
	return longest
}

// waveRuns reports whether a wave is running according to its record and is not paused by its declaration, which may be newer.
func (s *step) waveRuns(name string) bool {
	declared, ok := s.set.Waves[name]
	return ok && !declared.Paused && s.Waves[name].Value.State == wave.Running
}

// stopOrdered reports whether the order to stop the instance is still in force.
func (s *step) stopOrdered(i record.Instance) bool {
	switch i.StopPurpose {
	case wave.StopWave:
		w, ok := s.Waves[i.Wave]
		return ok && s.waveRuns(i.Wave) && w.Value.Round == i.Round && slices.Contains(w.Value.Active, i.ID)
	case wave.StopMove:
		m, ok := s.Moves[i.ID]
		return ok && m.Value.From == s.Pool && m.Value.To == i.MoveTo && !moveChart.IsFinal(m.Value.State)
	case wave.StopRetire:
		return s.retiring(i.ID)
	}
	return false
}
