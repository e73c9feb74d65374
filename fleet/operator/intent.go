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
	// minFinishedAge is the age above which an intent that has been carried out is removed. It is far above the time until
	// a holder reads an intent, 10 s, and the longest outage of the store, 10 minutes.
	minFinishedAge = 24 * time.Hour
	// maxFinishedRemovals is the most intents that one change removes, so that the change stays below 4 KB.
	maxFinishedRemovals = 20
)

// finishedIntents returns intents that have been carried out and can be removed, so that intents for cancelled jobs and
// retired instances do not accumulate in the configuration. Cordons stay until they are withdrawn, and a wave has at most
// one resume intent. If the records cannot be read, it returns none.
func (s *Server) finishedIntents(ctx context.Context, set declaration.Set) []declaration.Ref {
	var old []declaration.Intent
	for _, key := range slices.Sorted(maps.Keys(set.Intents)) {
		i := set.Intents[key]
		if (i.Kind == declaration.CancelJob || i.Kind == declaration.RetireInstance) && s.Now().Sub(i.At) > minFinishedAge {
			old = append(old, i)
		}
	}
	if len(old) == 0 {
		return nil
	}
	instances, unread := byName(ctx, s.Records.Instances, func(i record.Instance) string { return i.ID })
	jobs, err := byName(ctx, s.Records.Jobs, func(j record.Job) string { return j.ID })
	if unread != nil || err != nil {
		return nil
	}
	var refs []declaration.Ref
	for _, i := range old {
		job, isListed := jobs[i.Target]
		isDone := !isListed || isFinishedJob(job)
		if i.Kind == declaration.RetireInstance {
			isDone = instances[i.Target].State == "retired"
		}
		if isDone && len(refs) < maxFinishedRemovals {
			refs = append(refs, declaration.Ref{Kind: declaration.KindIntent, Name: i.Key()})
		}
	}
	return refs
}
