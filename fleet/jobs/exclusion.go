package jobs

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"verbenalanding.example/fleet/quarantine"
	"verbenalanding.example/fleet/record"
)

// Kinds of exclusions.
const (
	ExcludedWorker  = "worker"
	ExcludedJobKind = "jobKind"
)

// Exclusion is a quarantined worker or a suspect job kind, which gets no work or only probe jobs.
type Exclusion struct {
	Kind   string        `json:"kind"`
	Name   string        `json:"name"`
	Since  time.Time     `json:"since"`
	Reason record.Reason `json:"reason"`
}

// exclusions holds the exclusions in force; it is safe for concurrent use.
type exclusions struct {
	mu     sync.Mutex
	byName map[string]Exclusion
}

// Exclusions returns the quarantined workers and suspect job kinds. It may be called concurrently with Run.
func (h *Holder) Exclusions() []Exclusion {
	h.excluded.mu.Lock()
	defer h.excluded.mu.Unlock()
	all := make([]Exclusion, 0, len(h.excluded.byName))
	for _, e := range h.excluded.byName {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Exclusion) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// recordExclusion updates the exclusions after a decision of the quarantine.
func (h *Holder) recordExclusion(a quarantine.Action) {
	switch a := a.(type) {
	case quarantine.Quarantine:
		h.exclude(ExcludedWorker, a.Worker, "quarantine", a.Detail)
	case quarantine.Suspect:
		h.exclude(ExcludedJobKind, a.Kind, "suspectKind", a.Detail)
	case quarantine.Release:
		h.readmit(ExcludedWorker, a.Worker)
	case quarantine.Clear:
		h.readmit(ExcludedJobKind, a.Kind)
	}
}

func (h *Holder) exclude(kind, name, rule, detail string) {
	h.excluded.mu.Lock()
	defer h.excluded.mu.Unlock()
	if h.excluded.byName == nil {
		h.excluded.byName = map[string]Exclusion{}
	}
	reason := record.Reason{Rule: rule, Detail: detail, ConfigRevision: h.revision, At: h.now}
	h.excluded.byName[kind+"/"+name] = Exclusion{Kind: kind, Name: name, Since: h.now, Reason: reason}
}

func (h *Holder) readmit(kind, name string) {
	h.excluded.mu.Lock()
	defer h.excluded.mu.Unlock()
	delete(h.excluded.byName, kind+"/"+name)
}
