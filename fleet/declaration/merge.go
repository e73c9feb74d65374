package declaration

import "time"

// Options says how a document changes the set in force.
type Options struct {
	// Prune removes declared objects that are not in the document; intents and the pause of a wave stay.
	Prune bool
	// By and Now are the operator and time of new intents.
	By  string
	Now time.Time
}

// ApplyTo returns the set that results from applying the document to the set in force. The result must be checked with Check.
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
		// A pause is the intent of an operator, so a file without the field paused must not resume the wave.
		if _, ok := d.positions[Ref{KindWave, name}].fields["paused"]; !ok {
			w.Paused = current.Waves[name].Paused
		}
		next.Waves[name] = w
	}
	for key, i := range d.Set.Intents {
		next.Intents[key] = completeIntent(current.Intents[key], i, o)
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

// completeIntent adds the operator and time to an intent from a file; an intent already in force keeps its own.
func completeIntent(old, i Intent, o Options) Intent {
	if old.Target != "" && (i.At.IsZero() || i.At.Equal(old.At)) {
		return old
	}
	i.By = o.By
	if i.At.IsZero() || i.At.After(o.Now) {
		i.At = o.Now.UTC().Round(0)
	}
	return i
}
