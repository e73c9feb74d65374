package dispatch

import (
	"maps"
	"slices"
	"time"
)

// KnownWorkers returns the workers that may run what a holder has started, which a successor learns from no list of machines; changed is false
// while the store's record names them and no other.
func (p *Pool) KnownWorkers(now time.Time) (ids []string, changed bool) {
	if !p.RecordWorkers {
		return nil, false
	}
	known := map[string]bool{}
	for id := range p.inheritedKnown {
		if !p.leasesOver(now) && p.unheard(id) {
			known[id] = true
		}
	}
	for id := range p.workers {
		known[id] = true
	}
	for id := range p.named {
		if !known[id] {
			// A write without an answer may take it out of the record, so that it gets no starts before it is named again.
			delete(p.named, id)
			p.obsolete = true
		}
	}
	return slices.Sorted(maps.Keys(known)), p.obsolete || len(known) > len(p.named)
}

// KnownWorkersRecorded takes note that a record of known workers is in the store; these may get starts.
func (p *Pool) KnownWorkersRecorded(ids []string) {
	p.named, p.obsolete = set(ids), false
}

// InheritKnownWorkers takes over the record of known workers that a holder before left.
func (p *Pool) InheritKnownWorkers(ids []string) {
	p.inheritedKnown, p.named = set(ids), set(ids)
}

func set(ids []string) map[string]bool {
	s := make(map[string]bool, len(ids))
	for _, id := range ids {
		s[id] = true
	}
	return s
}
