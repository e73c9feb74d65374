package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// stopOrder is an order to stop an instance in service.
type stopOrder struct {
	stop   string
	wave   string
	round  uint64
	moveTo string
	detail string
}

// begin starts the ordered stops that the budgets allow; none begins while the store is slow.
func (s *step) begin() error {
	if s.slow {
		return nil
	}
	for _, id := range s.instanceIDs {
		i, ok := s.Instances[id]
		if !ok || i.Value.Pool != s.Pool || s.outOfService(i.Value) || i.Value.State != wave.InService {
			continue
		}
		o, ok := s.orderFor(id)
		if !ok {
			continue
		}
		if err := s.beginOne(id, o); err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// drainRetryDelay is how long an instance serves after a drain that took too long, before it is drained again.
const drainRetryDelay = 10 * time.Minute

// orderFor returns the order for an instance; retirement has priority over waves, and waves over moves.
func (s *step) orderFor(id string) (stopOrder, bool) {
	if i := s.Instances[id].Value; i.Reason.Rule == wave.RuleDrainLimit && s.now.Sub(i.Since) < drainRetryDelay {
		return stopOrder{}, false
	}
	if s.retiring(id) {
		return stopOrder{stop: wave.StopRetire, detail: "retirement"}, true
	}
	for _, name := range slices.Sorted(maps.Keys(s.Waves)) {
		w := s.Waves[name].Value
		// An instance that has returned stays among the wave's orders until the wave's loop has read its record.
		done := s.Instances[id].Value.Maintained.After(w.Started)
		if s.waveRuns(name) && !done && slices.Contains(w.Active, id) {
			return stopOrder{stop: wave.StopWave, wave: name, round: w.Round, detail: fmt.Sprintf("wave %s round %d", name, w.Round)}, true
		}
	}
	m, ok := s.Moves[id]
	if ok && m.Value.From == s.Pool && m.Value.Epoch == s.Epoch && (m.Value.State == "proposed" || m.Value.State == "reserved") {
		return stopOrder{stop: wave.StopMove, moveTo: m.Value.To, detail: fmt.Sprintf("move to pool %s: %s", m.Value.To, m.Value.Reason.Detail)}, true
	}
	return stopOrder{}, false
}

func (s *step) beginOne(id string, o stopOrder) error {
	denied, err := s.reserve(id)
	if err != nil {
		return err
	}
	if denied != nil {
		return s.explain(id, "budget."+denied.Rule, denied.Figures.String())
	}
	if o.stop == wave.StopMove && s.Moves[id].Value.State == "proposed" {
		if err := s.moveEvent(id, "reserve", "reserved", "every budget allows the stop"); err != nil {
			return err
		}
	}
	return s.transition(id, "drain", o.stop, o.detail, func(i *record.Instance) {
		i.Drain++
		i.DrainSince = s.now
		i.StopPurpose, i.MoveTo = o.stop, o.moveTo
		i.Wave, i.Round = o.wave, o.round
		i.Command, i.CommandAcknowledged, i.Attempts = "", false, 0
	})
}
