package declaration

import "time"

// Options determines how a document changes the set in force.
type Options struct {
	// Prune removes declared objects that are not in the document; intents and the pause of a wave are kept.
	Prune bool
	// By is the operator and Now the time of new intents.
	By  string
	Now time.Time
}

// ApplyTo returns the set that results from applying the document to the set in force. The caller checks it with Check.
func (d Document) ApplyTo(current Set, o Options) Set {
	next := current.Apply(Delta{})
	if o.Prune {
		next = Set{Intents: next.Intents}.Apply(Delta{})
	}
	copyObjects(next.Pools, d.Set.Pools)
	copyObjects(next.Services, d.Set.Services)
	copyObjects(next.Teams, d.Set.Teams)
	copyObjects(next.Budgets, d.Set.Budgets)
	copyObjects(next.Objectives, d.Set.Objectives)
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

func copyObjects[T any](to, from map[string]T) {
	for name, value := range from {
		to[name] = value
	}
}

// completeIntent adds the operator and time to an intent from a file; an intent that is already in force is kept as it is.
func completeIntent(current, i Intent, o Options) Intent {
	if current.Target != "" && (i.At.IsZero() || i.At.Equal(current.At)) {
		return current
	}
	i.By = o.By
	if i.At.IsZero() || i.At.After(o.Now) {
		i.At = o.Now.UTC().Round(0)
	}
	return i
}
