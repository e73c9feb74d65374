package operator

import (
	"context"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
)

const (
	// minFinishedAge is the minimum age of a finished intent that is removed. It is far above the 10 s until a holder reads an
	// intent and the longest outage of the store, 10 minutes.
	minFinishedAge = 24 * time.Hour
	// maxFinishedRemovals is the maximum number of intents that one change removes; it keeps the change below 4 KB.
	maxFinishedRemovals = 20
)

// finishedIntents returns the finished intents that can be removed, so that intents for cancelled jobs and retired instances
// do not accumulate in the configuration. Cordons remain until they are withdrawn, and a wave has at most one resume intent.
// If the records cannot be read, it returns none.
func (s *Server) finishedIntents(ctx context.Context, set declaration.Set) []declaration.Ref {
	var candidates []declaration.Intent
	for _, key := range slices.Sorted(maps.Keys(set.Intents)) {
		i := set.Intents[key]
		if (i.Kind == declaration.CancelJob || i.Kind == declaration.RetireInstance) && s.Now().Sub(i.At) > minFinishedAge {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	instances, instancesErr := byName(ctx, s.Records.Instances, func(i record.Instance) string { return i.ID })
	jobs, jobsErr := byName(ctx, s.Records.Jobs, func(j record.Job) string { return j.ID })
	entries, entriesErr := byName(ctx, s.Records.Entries, func(e Entry) string { return e.ID })
	if instancesErr != nil || jobsErr != nil || entriesErr != nil {
		return nil
	}
	var refs []declaration.Ref
	for _, i := range candidates {
		job, isListed := jobs[i.Target]
		isDone := !isListed || isFinishedJob(job)
		if i.Kind == declaration.RetireInstance {
			isDone = isRetired(i.Target, instances, entries)
		}
		if isDone && len(refs) < maxFinishedRemovals {
			refs = append(refs, declaration.Ref{Kind: declaration.KindIntent, Name: i.Key()})
		}
	}
	return refs
}

// isRetired reports whether an instance has been retired. An entry instance has no record of its own; it is retired once it is not registered any
// more.
func isRetired(id string, instances map[string]record.Instance, entries map[string]Entry) bool {
	if i, ok := instances[id]; ok {
		return i.State == "retired"
	}
	_, registered := entries[id]
	return !registered
}
