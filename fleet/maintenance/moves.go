package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// planInterval is the time between two plans of moves; the demand that they follow changes over many minutes.
const planInterval = 30 * time.Second

// proposalTimeout is how long a proposed move waits for the budgets before it is abandoned.
const proposalTimeout = 10 * time.Minute

// moveRank is the progress of a move in the order of its state chart.
var moveRank = map[string]int{"proposed": 0, "reserved": 1, "draining": 2, "switched": 3, "checking": 4, "done": 5}

var moveEvents = []string{"reserve", "drain", "switch", "check", "finish"}

func (s *step) saveMove(m record.Move) error {
	m.Epoch = s.Epoch
	return s.putMove(m)
}

func (s *step) putMove(m record.Move) error {
	revision, err := record.Save(s.ctx, s.Store, record.MovePrefix+m.Instance, m, s.Moves[m.Instance].Revision, 0)
	if err != nil {
		return err
	}
	s.Moves[m.Instance] = Versioned[record.Move]{Value: m, Revision: revision}
	return nil
}

func (s *step) moveEvent(id, event, rule, detail string) error {
	m := s.Moves[id].Value
	next, err := moveChart.Next(m.State, event)
	if err != nil {
		return fmt.Errorf("move %s: %w", id, err)
	}
	m.State, m.Since = next, s.now
	m.Reason = s.reason(rule, detail, s.revision, s.now)
	return s.saveMove(m)
}

// syncMoves updates the records of moves out of the pool to match the state of their instances.
func (s *step) syncMoves() error {
	for _, id := range slices.Sorted(maps.Keys(s.Moves)) {
		m := s.Moves[id].Value
		if m.From != s.Pool || moveChart.IsFinal(m.State) {
			continue
		}
		if m.Epoch > s.Epoch {
			return fmt.Errorf("move %s: %w", id, record.ErrFenced)
		}
		if err := s.syncMove(id, m); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

func (s *step) syncMove(id string, m record.Move) error {
	v, ok := s.Instances[id]
	reached, abandon := progress(m, v.Value, ok)
	if m.State == "proposed" && s.now.Sub(m.Since) > proposalTimeout {
		abandon = fmt.Sprintf("not begun within %s: %s", proposalTimeout, v.Value.Reason.Detail)
	}
	if abandon != "" && moveRank[m.State] < moveRank["switched"] {
		return s.moveEvent(id, "abandon", "abandoned", abandon)
	}
	for moveRank[s.Moves[id].Value.State] < moveRank[reached] {
		event := moveEvents[moveRank[s.Moves[id].Value.State]]
		if err := s.moveEvent(id, event, m.Reason.Rule, m.Reason.Detail); err != nil {
			return err
		}
	}
	return nil
}

// progress returns the state that a move has reached according to its instance's record, or why it is abandoned.
func progress(m record.Move, i record.Instance, exists bool) (reached, abandon string) {
	switch {
	case !exists:
		// An instance can be removed after the switch to the other pool; the move is then over.
		return "done", "the instance has left the fleet"
	case i.Pool == m.From && i.State == "draining" && i.StopPurpose == wave.StopMove:
		return "draining", ""
	case i.Pool == m.From && i.State == wave.InService && m.State == "draining":
		return "", "the drain was given up: " + i.Reason.Detail
	case i.Pool == m.From && i.State != wave.InService:
		return "", "the instance is stopped for another reason"
	case i.Pool == m.From:
		return m.State, ""
	case i.Pool == m.To && i.State == "moving":
		return "switched", ""
	case i.Pool == m.To && i.ArrivedFrom != "":
		return "checking", ""
	}
	return "done", "the instance is in pool " + i.Pool
}

// planMoves adds the demand samples to the planner and proposes moves out of the pool.
func (s *step) planMoves() error {
	if _, declared := s.set.Pools[s.Pool]; !declared {
		return s.leaveRemovedPool()
	}
	if s.Demand == nil {
		return nil
	}
	for _, sample := range s.Demand() {
		s.Planner.Observe(sample)
	}
	if s.slow || s.now.Before(s.nextPlan) {
		return nil
	}
	s.nextPlan = s.now.Add(planInterval)
	for _, a := range s.Planner.Plan(s.now, s.pools()) {
		m, ok := a.(move.Move)
		if !ok || m.From != s.Pool {
			continue
		}
		if err := s.propose(m); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// leaveRemovedPool proposes a move for each instance of a pool that is no longer declared, since without a pool it would
// have no owner. The instances move to a spare pool, or else to the first declared pool.
func (s *step) leaveRemovedPool() error {
	to := s.fallbackPool()
	if s.slow || to == "" {
		return nil
	}
	for _, id := range s.instanceIDs {
		if s.Instances[id].Value.State != wave.InService {
			continue
		}
		m := move.Move{Instance: id, From: s.Pool, To: to, Rule: "poolRemoved", Detail: "pool " + s.Pool + " is not declared any more"}
		if err := s.propose(m); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// fallbackPool returns the pool that receives the instances of removed pools, or "" when no pool is declared.
func (s *step) fallbackPool() string {
	names := slices.Sorted(maps.Keys(s.set.Pools))
	for _, n := range names {
		if s.set.Pools[n].Spare {
			return n
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[0]
}

func (s *step) propose(m move.Move) error {
	if old, ok := s.Moves[m.Instance]; ok && !moveChart.IsFinal(old.Value.State) {
		return nil
	}
	return s.saveMove(record.Move{
		Instance: m.Instance, From: m.From, To: m.To, State: moveChart.Initial, Since: s.now,
		Reason: s.reason(m.Rule, m.Detail, s.revision, s.now),
	})
}

// pools returns the declared pools with their members for the planner.
func (s *step) pools() []move.Pool {
	byName := map[string]*move.Pool{}
	names := slices.Sorted(maps.Keys(s.set.Pools))
	for _, n := range names {
		byName[n] = &move.Pool{Declared: s.set.Pools[n]}
	}
	for id, v := range s.Instances {
		s.addMember(byName, id, v.Value)
	}
	pools := make([]move.Pool, 0, len(names))
	for _, n := range names {
		pools = append(pools, *byName[n])
	}
	return pools
}

func (s *step) addMember(byName map[string]*move.Pool, id string, i record.Instance) {
	if i.State == wave.Retired {
		return
	}
	m := move.Member{Member: memberOf(i), InService: i.State == wave.InService, Cordoned: s.cordoned(i.Location.Rack)}
	m.Busy = s.retiring(id) || s.Listed[id].Status == platform.Gone
	for _, w := range s.Waves {
		m.Busy = m.Busy || slices.Contains(w.Value.Active, id)
	}
	pool := i.Pool
	if mv, ok := s.Moves[id]; ok && mv.Value.From == i.Pool && !moveChart.IsFinal(mv.Value.State) {
		pool = mv.Value.To
	}
	target := byName[pool]
	switch {
	case target == nil:
	case pool != i.Pool || i.ArrivedFrom != "":
		target.Incoming = append(target.Incoming, m)
	default:
		target.Members = append(target.Members, m)
	}
}
