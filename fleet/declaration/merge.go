package declaration

import "time"

// Options says how a document changes the set in force.
type Options struct {
	// Prune removes declared objects that the document does not hold; intents and paused waves stay.
	Prune bool
	// By and Now are put into intents that are new.
	By  string
	Now time.Time
}

// ApplyTo returns the set that results when the document is applied to the set in force; call Check on the result.
func (d Document) ApplyTo(current Set, o Options) Set {
	next := current.Apply(Delta{})
	if o.Prune {
		next = Set{Intents: next.Intents}.Apply(Delta{})
	}
	merge(next.Pools, d.Set.Pools)
	merge(next.Services, d.Set.Services)
	merge(next.Teams, d.Set.Teams)
	merge(next.Budgets, d.Set.Budgets)
	merge(next.Objectives, d.Set.Objectives)
	for name, w := range d.Set.Waves {
		// A pause is an operator's intent; a file that does not mention it must not resume the wave.
		if _, ok := d.marks[Ref{KindWave, name}].fields["paused"]; !ok {
			w.Paused = current.Waves[name].Paused
		}
		next.Waves[name] = w
	}
	for key, i := range d.Set.Intents {
		next.Intents[key] = stated(current.Intents[key], i, o)
	}
	for key, i := range next.Intents {
		_, isDeclared := next.Waves[i.Target]
		_, isInFile := d.Set.Intents[key]
		if i.Kind == ResumeWave && !isDeclared && !isInFile {
			delete(next.Intents, key)
		}
	}
	return next
}

func merge[T any](to, from map[string]T) {
	for name, value := range from {
		to[name] = value
	}
}

// stated completes an intent from a file; one that is already in force keeps its operator and time.
func stated(old, i Intent, o Options) Intent {
	if old.Target != "" && (i.At.IsZero() || i.At.Equal(old.At)) {
		return old
	}
	i.By = o.By
	if i.At.IsZero() || i.At.After(o.Now) {
		i.At = o.Now.UTC().Round(0)
	}
	return i
}
