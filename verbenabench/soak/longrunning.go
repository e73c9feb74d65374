package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// countInterval is the interval at which the runs of a long-running job are counted.
const countInterval = 20 * time.Millisecond

// longRunning reports whether a job runs until it is cancelled.
func longRunning(j *standin.Job) bool { return j.Steps[0].LongRunning }

func taskCount(j *standin.Job) int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// awaitLongRunning waits until all tasks of each long-running job run and then cancels it. Jobs that were cancelled before must end.
func (s *Soak) awaitLongRunning(ctx context.Context) error {
	s.record.mu.Lock()
	jobs := slices.Clone(s.record.accepted)
	s.record.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	for i, j := range jobs {
		if longRunning(j) {
			group.Go(func() error { return s.endLongRunning(groupCtx, j, i) })
		}
	}
	return group.Wait()
}

func (s *Soak) endLongRunning(ctx context.Context, j *standin.Job, firstNode int) error {
	s.record.mu.Lock()
	acknowledged, requested := s.record.cancelledJobs[j.ID]
	s.record.mu.Unlock()
	if !requested {
		if err := s.awaitRuns(ctx, j, taskCount(j), settleLimit); err != nil {
			return err
		}
	}
	limit := settleLimit
	if !acknowledged {
		if !s.cancel(ctx, j, firstNode) {
			return fmt.Errorf("%w: the cancellation of long-running job %s is not acknowledged after the last fault", ErrPromise, j.ID)
		}
		limit = standin.Bounds().Cancel
	}
	return s.awaitRuns(ctx, j, 0, limit)
}

// awaitRuns waits until the given number of tasks of a job run.
func (s *Soak) awaitRuns(ctx context.Context, j *standin.Job, want int, limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		got := s.platform.RunsOf(j.ID)
		if got == want {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d tasks of long-running job %s are running after %v without faults, want %d", ErrPromise, got, j.ID, limit, want)
		}
		if err := sleep(ctx, countInterval); err != nil {
			return err
		}
	}
}
