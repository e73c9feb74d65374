package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// lookEvery is how often the runs of a long-running job are counted.
const lookEvery = 20 * time.Millisecond

// lasting reports whether a job lasts until it is cancelled.
func lasting(j *standin.Job) bool { return j.Steps[0].LongRunning }

func tasks(j *standin.Job) int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// awaitLasting waits until all tasks of each long-running job run, then cancels it; jobs that were cancelled before must have ended.
func (s *Soak) awaitLasting(ctx context.Context) error {
	s.book.mu.Lock()
	jobs := slices.Clone(s.book.accepted)
	s.book.mu.Unlock()
	group, groupCtx := errgroup.WithContext(ctx)
	for i, j := range jobs {
		if lasting(j) {
			group.Go(func() error { return s.endLasting(groupCtx, j, i) })
		}
	}
	return group.Wait()
}

func (s *Soak) endLasting(ctx context.Context, j *standin.Job, first int) error {
	s.book.mu.Lock()
	cancelled, asked := s.book.cancelledJobs[j.ID]
	s.book.mu.Unlock()
	if !asked {
		if err := s.awaitRuns(ctx, j, tasks(j), calmTime); err != nil {
			return err
		}
	}
	within := calmTime
	if !cancelled {
		if !s.cancel(ctx, j, first) {
			return fmt.Errorf("%w: the cancelling of long-running job %s is not acknowledged after the last fault", ErrPromise, j.ID)
		}
		within = standin.Bounds().Cancel
	}
	return s.awaitRuns(ctx, j, 0, within)
}

// awaitRuns waits until so many tasks of a job run.
func (s *Soak) awaitRuns(ctx context.Context, j *standin.Job, want int, within time.Duration) error {
	for end := time.Now().Add(within); ; {
		got := s.platform.Running(j.ID)
		if got == want {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d tasks of long-running job %s run after %v without faults, want %d", ErrPromise, got, j.ID, within, want)
		}
		if err := sleep(ctx, lookEvery); err != nil {
			return err
		}
	}
}
