package declaration

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// Kind is the kind of a declared object.
type Kind string

// The kinds of declared objects.
const (
	KindPool      Kind = "pool"
	KindService   Kind = "service"
	KindTeam      Kind = "team"
	KindBudget    Kind = "budget"
	KindWave      Kind = "wave"
	KindObjective Kind = "objective"
	KindIntent    Kind = "intent"
)

// Ref identifies a declared object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Delta is the difference between two sets: the objects to write and the objects to remove.
type Delta struct {
	Written Set   `json:"written"`
	Removed []Ref `json:"removed,omitempty"`
}

// Key returns the key of an intent in Set.Intents.
func (i Intent) Key() string { return string(i.Kind) + "/" + i.Target }

// Refs returns the objects that the delta writes or removes, sorted by kind and name.
func (d Delta) Refs() []Ref {
	refs := append([]Ref(nil), d.Removed...)
	refs = appendRefs(refs, KindPool, d.Written.Pools)
	refs = appendRefs(refs, KindService, d.Written.Services)
	refs = appendRefs(refs, KindTeam, d.Written.Teams)
	refs = appendRefs(refs, KindBudget, d.Written.Budgets)
	refs = appendRefs(refs, KindWave, d.Written.Waves)
	refs = appendRefs(refs, KindObjective, d.Written.Objectives)
	refs = appendRefs(refs, KindIntent, d.Written.Intents)
	slices.SortFunc(refs, compareRefs)
	return refs
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Refs()) == 0 }

// Diff returns the delta that turns one set into another.
func Diff(from, to Set) Delta {
	var d Delta
	d.Written.Pools = diffObjects(&d, KindPool, from.Pools, to.Pools)
	d.Written.Services = diffObjects(&d, KindService, from.Services, to.Services)
	d.Written.Teams = diffObjects(&d, KindTeam, from.Teams, to.Teams)
	d.Written.Budgets = diffObjects(&d, KindBudget, from.Budgets, to.Budgets)
	d.Written.Waves = diffObjects(&d, KindWave, from.Waves, to.Waves)
	d.Written.Objectives = diffObjects(&d, KindObjective, from.Objectives, to.Objectives)
	d.Written.Intents = diffObjects(&d, KindIntent, from.Intents, to.Intents)
	slices.SortFunc(d.Removed, compareRefs)
	return d
}

// Apply returns a new set with the delta applied; the receiver is not changed.
func (s Set) Apply(d Delta) Set {
	return Set{
		Pools:      applyObjects(s.Pools, d.Written.Pools, d.Removed, KindPool),
		Services:   applyObjects(s.Services, d.Written.Services, d.Removed, KindService),
		Teams:      applyObjects(s.Teams, d.Written.Teams, d.Removed, KindTeam),
		Budgets:    applyObjects(s.Budgets, d.Written.Budgets, d.Removed, KindBudget),
		Waves:      applyObjects(s.Waves, d.Written.Waves, d.Removed, KindWave),
		Objectives: applyObjects(s.Objectives, d.Written.Objectives, d.Removed, KindObjective),
		Intents:    applyObjects(s.Intents, d.Written.Intents, d.Removed, KindIntent),
	}
}

func appendRefs[T any](refs []Ref, k Kind, written map[string]T) []Ref {
	for name := range written {
		refs = append(refs, Ref{Kind: k, Name: name})
	}
	return refs
}

func diffObjects[T any](d *Delta, k Kind, from, to map[string]T) map[string]T {
	written := map[string]T{}
	for name, value := range to {
		if old, ok := from[name]; !ok || !reflect.DeepEqual(old, value) {
			written[name] = value
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			d.Removed = append(d.Removed, Ref{Kind: k, Name: name})
		}
	}
	return written
}

func applyObjects[T any](current, written map[string]T, removed []Ref, k Kind) map[string]T {
	to := make(map[string]T, len(current)+len(written))
	maps.Copy(to, current)
	for _, r := range removed {
		if r.Kind == k {
			delete(to, r.Name)
		}
	}
	maps.Copy(to, written)
	return to
}
