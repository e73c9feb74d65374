package node

import (
	"context"
	"encoding/json"
	"strings"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

const (
	// largeList is the size in bytes from which on a list of jobs is kept without what only the tasks of ended jobs need. The store keeps the jobs that
	// have ended whole, for as long as their state is shown.
	largeList = 2 << 20
	// endedBytes is the size in bytes up to which the value of an ended job is kept as it is.
	endedBytes = 2 << 10
)

// listJobs lists the pool's jobs.
func (f *jobFollower) listJobs(ctx context.Context) ([]store.Event, error) {
	var events []store.Event
	err := f.pool.listPages(ctx, jobKey(f.pool.name, ""), "list of jobs not read again yet", func(page []store.Entry) {
		for _, e := range page {
			events = append(events, store.Event{Entry: e})
		}
		f.shrink(ctx, events)
	})
	return events, err
}

// shrink shortens the values of the jobs that have ended, once a list is large. It waits for the records, which say which jobs have.
func (f *jobFollower) shrink(ctx context.Context, events []store.Event) {
	size := 0
	for i := range events {
		size += len(events[i].Entry.Value)
	}
	if size < largeList || !f.await(ctx, f.loaded) {
		return
	}
	for i := range events {
		if e := &events[i].Entry; len(e.Value) > endedBytes && f.hasEnded(e.Key) {
			e.Value = withoutWork(e.Value)
		}
	}
}

// hasEnded reports whether the record of the job with a key says that the job has ended.
func (f *jobFollower) hasEnded(key string) bool {
	r, ok := f.records[strings.TrimPrefix(key, jobKey(f.pool.name, ""))]
	return ok && r.State.Terminal()
}

// withoutWork returns the value of a stored job without its specification and with its first step only. One that cannot be decoded stays as it is.
func withoutWork(value []byte) []byte {
	var j workload.Job
	if err := json.Unmarshal(value, &j); err != nil || len(j.Steps) == 0 {
		return value
	}
	j.Spec, j.Steps = "", j.Steps[:1]
	short, err := json.Marshal(j)
	if err != nil {
		return value
	}
	return short
}
