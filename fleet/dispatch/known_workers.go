package dispatch

import (
	"maps"
	"slices"
	"time"
)

// KnownWorkers returns the workers to record for a successor without a list of machines: those that may have runs of this holder or of a
// previous one. changed is false while the record in the store names exactly these.
func (p *Pool) KnownWorkers(now time.Time) (ids []string, changed bool) {
	if !p.RecordWorkers {
		return nil, false
	}
	known := map[string]bool{}
	for id := range p.inheritedKnown {
		if !p.priorLeaseEnded(id, now) && p.awaitsReport(id) {
			known[id] = true
		}
	}
	for id := range p.workers {
		known[id] = true
	}
	for id := range p.recordedKnown {
		if !known[id] {
			// An unanswered write may have removed the worker from the record, so it gets no starts before it is recorded again.
			delete(p.recordedKnown, id)
			p.knownObsolete = true
		}
	}
	return slices.Sorted(maps.Keys(known)), p.knownObsolete || len(known) > len(p.recordedKnown)
}

// KnownWorkersRecorded reports that a record of known workers is in the store; these workers may get starts.
func (p *Pool) KnownWorkersRecorded(ids []string) {
	p.recordedKnown, p.knownObsolete = toSet(ids), false
}

// InheritKnownWorkers applies the record of known workers that the previous holder stored.
func (p *Pool) InheritKnownWorkers(ids []string) {
	p.inheritedKnown, p.recordedKnown = toSet(ids), toSet(ids)
}

func toSet(ids []string) map[string]bool {
	s := make(map[string]bool, len(ids))
	for _, id := range ids {
		s[id] = true
	}
	return s
}
