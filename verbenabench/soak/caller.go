package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// book is what callers were told.
type book struct {
	mu       sync.Mutex
	accepted []*standin.Job
	// cancelledJobs are those whose cancelling was asked for, true once it was acknowledged.
	cancelledJobs map[string]bool

	faults, refused, unknown, cancelled int
	events                              []string
}

// note keeps a line and counts it.
func (b *book) note(line string, count *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, time.Now().Format("15:04:05.000 ")+line)
	if count != nil {
		*count++
	}
}

const (
	// submitTries is how often a caller comes back with the same id.
	submitTries = 12
	retryPause  = 150 * time.Millisecond
	// cancelShare is the part of the accepted jobs that their callers cancel.
	cancelShare = 0.1
	// One job of longEvery has small tasks that take longerTook more, so that they outlast a take-over.
	longEvery  = 4
	longerTook = 2 * time.Second
	// One job of lastingEvery is long-running; lastingCancelShare of them are cancelled while faults come, the others after that.
	lastingEvery       = 12
	lastingCancelShare = 0.4
	// Of jobsOfBoth jobs, jobsOfFirst are for the first pool.
	jobsOfBoth  = 3
	jobsOfFirst = 2
	// knownAfter is the time after its acceptance from which on a job must be known everywhere.
	knownAfter = 3 * time.Second
)

// submitAll submits jobs while faults come.
func (s *Soak) submitAll(ctx context.Context, random *rand.Rand) error {
	s.book.cancelledJobs = map[string]bool{}
	group, groupCtx := errgroup.WithContext(ctx)
	end := time.Now().Add(s.Duration)
	for i := 1; time.Now().Before(end); i++ {
		j := newJob(random, i)
		first := random.IntN(len(s.processes))
		share := cancelShare
		if lasting(j) {
			share = lastingCancelShare
		}
		cancel := random.Float64() < share
		group.Go(func() error { return s.call(groupCtx, j, first, cancel) })
		if err := sleep(groupCtx, time.Duration(random.ExpFloat64()/s.PerSecond*float64(time.Second))); err != nil {
			break
		}
		for _, v := range s.platform.Violations() {
			return fmt.Errorf("%w: %s", ErrPromise, v)
		}
	}
	return group.Wait()
}

// newJob returns the next job; its specification names its pool.
func newJob(random *rand.Rand, i int) *standin.Job {
	j := &standin.Job{ID: fmt.Sprintf("%016x", i), RunTime: time.Duration(50+random.IntN(700)) * time.Millisecond, FailureShare: 0.1 * float64(random.IntN(3))}
	j.Spec = pools[(i+i/lastingEvery)%jobsOfBoth/jobsOfFirst]
	if i%lastingEvery == lastingEvery/2 {
		j.Steps = []wire.Step{{Count: 1 + random.IntN(2), CPU: 500, MemMb: 256, LongRunning: true, MayMiss: 1}}
		return j
	}
	if random.IntN(longEvery) == 0 {
		j.RunTime += longerTook
		j.Steps = []wire.Step{{Count: 1 + random.IntN(4), CPU: 500, MemMb: 256, EstimateMs: 2000}}
		return j
	}
	for step := range 1 + random.IntN(3) {
		w := wire.Step{Count: 1 + random.IntN(4), CPU: int64(500 * (1 + random.IntN(6))), MemMb: 256, EstimateMs: 300, MaxPerServer: random.IntN(3)}
		if step > 0 {
			w.After = []int{step - 1}
		}
		j.Steps = append(j.Steps, w)
	}
	return j
}

// call plays one caller: it submits, asks, and perhaps cancels.
func (s *Soak) call(ctx context.Context, j *standin.Job, first int, cancel bool) error {
	s.platform.Submit(j, attempts)
	if !s.submit(ctx, j, first) {
		return nil
	}
	if cancel {
		s.cancel(ctx, j, first)
	}
	return s.ask(ctx, j, first)
}

// submit reports whether the job was accepted.
func (s *Soak) submit(ctx context.Context, j *standin.Job, first int) bool {
	doubtful := false
	for try := range submitTries {
		status, _ := s.do(ctx, first+try, http.MethodPost, standin.PoolPrefix(j.Spec)+j.ID, j.Job)
		switch {
		case status == http.StatusOK:
			s.book.mu.Lock()
			s.book.accepted = append(s.book.accepted, j)
			s.book.mu.Unlock()
			return true
		case status == http.StatusServiceUnavailable && !doubtful:
			s.platform.Update(j, func(j *standin.Job) { j.Refused = true })
			s.book.note("refused "+j.ID, &s.book.refused)
			return false
		case status != http.StatusServiceUnavailable:
			doubtful = true
		}
		if sleep(ctx, retryPause) != nil {
			return false
		}
	}
	s.book.note("unknown "+j.ID, &s.book.unknown)
	return false
}

// cancel reports whether the cancelling of a job was acknowledged.
func (s *Soak) cancel(ctx context.Context, j *standin.Job, first int) bool {
	s.book.mu.Lock()
	s.book.cancelledJobs[j.ID] = false
	s.book.mu.Unlock()
	for try := range submitTries {
		status, _ := s.do(ctx, first+try, http.MethodDelete, standin.PoolPrefix(j.Spec)+j.ID, nil)
		if status == http.StatusOK {
			s.platform.Update(j, func(j *standin.Job) { j.Cancelled = time.Now() })
			s.book.mu.Lock()
			s.book.cancelledJobs[j.ID] = true
			s.book.mu.Unlock()
			s.book.note("cancelled "+j.ID, &s.book.cancelled)
			return true
		}
		if sleep(ctx, retryPause) != nil {
			return false
		}
	}
	s.book.note("cancelling not acknowledged "+j.ID, nil)
	return false
}

// ask asks for the state of an accepted job once it must be known.
func (s *Soak) ask(ctx context.Context, j *standin.Job, first int) error {
	if sleep(ctx, knownAfter) != nil {
		return nil
	}
	_, err := s.state(ctx, j, first+1)
	return err
}

// state asks a process; an empty state means that there was no answer.
func (s *Soak) state(ctx context.Context, j *standin.Job, i int) (string, error) {
	status, body := s.do(ctx, i, http.MethodGet, standin.PoolPrefix(j.Spec)+j.ID, nil)
	if status == http.StatusGone {
		return "", fmt.Errorf("%w: accepted job %s is told to be unknown", ErrPromise, j.ID)
	}
	if status != http.StatusOK {
		return "", nil
	}
	var state wire.State
	if err := json.Unmarshal(body, &state); err != nil {
		return "", fmt.Errorf("%w: state of %s cannot be read: %w", ErrPromise, j.ID, err)
	}
	if lasting(j) && (state.State == "completed" || state.State == "failed") {
		return "", fmt.Errorf("%w: long-running job %s is shown as %s", ErrPromise, j.ID, state.State)
	}
	if done, all := s.platform.Done(j.ID), tasks(j); state.State == "completed" && done < all {
		return "", fmt.Errorf("%w: job %s is shown as completed, %d of %d tasks are done", ErrPromise, j.ID, done, all)
	}
	return state.State, nil
}

// do sends a request to a process; status 0 means that no whole answer arrived.
func (s *Soak) do(ctx context.Context, i int, method, path string, body any) (int, []byte) {
	p := s.processes[i%len(s.processes)]
	content, err := json.Marshal(body)
	if err != nil {
		panic("soak: " + err.Error())
	}
	if body == nil {
		content = nil
	}
	status, answer, err := standin.Request{Method: method, Host: host, Path: path, Body: content}.Send(ctx, p.client, p.settings.Entry)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// awaitJobs waits until each accepted job has ended, completed, failed, or cancelled by its caller; long-running ones end only so.
func (s *Soak) awaitJobs(ctx context.Context) error {
	var open []*standin.Job
	s.book.mu.Lock()
	for _, j := range s.book.accepted {
		if !lasting(j) || s.book.cancelledJobs[j.ID] {
			open = append(open, j)
		}
	}
	s.book.mu.Unlock()
	for end := time.Now().Add(calmTime); len(open) > 0; {
		left := open[:0]
		for n, j := range open {
			state, err := s.state(ctx, j, n)
			if err != nil {
				return err
			}
			s.book.mu.Lock()
			_, cancelled := s.book.cancelledJobs[j.ID]
			s.book.mu.Unlock()
			if state == "cancelled" && !cancelled {
				return fmt.Errorf("%w: job %s is shown as cancelled, its caller did not ask for it", ErrPromise, j.ID)
			}
			if state != "completed" && state != "failed" && state != "cancelled" {
				left = append(left, j)
			}
		}
		open = left
		if len(open) > 0 && time.Now().After(end) {
			state, _ := s.state(ctx, open[0], 0)
			return fmt.Errorf("%w: %d accepted jobs have not ended %v after the last fault, the first one is %s, %q", ErrPromise, len(open), calmTime, open[0].ID, state)
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return nil
}

// watchVersions checks that no process goes back to an older configuration during its life.
func (s *Soak) watchVersions(ctx context.Context) error {
	for end := time.Now().Add(s.Duration); time.Now().Before(end); {
		s.mu.Lock()
		newest := s.version
		s.mu.Unlock()
		for i, p := range s.processes {
			if err := s.checkVersion(ctx, i, p, newest); err != nil {
				return err
			}
		}
		if err := sleep(ctx, retryPause); err != nil {
			return err
		}
	}
	return nil
}

func (s *Soak) checkVersion(ctx context.Context, i int, p *process, newest int64) error {
	life := p.lifeNow()
	p.mu.Lock()
	seen, paused := p.version, p.paused
	p.mu.Unlock()
	if paused {
		return nil
	}
	for version := max(1, seen-1); version <= newest; version++ {
		status, _ := s.do(ctx, i, http.MethodPost, standin.VersionPrefix(version), nil)
		// A queue without an id is refused as such; an unknown queue is not found.
		known := status == http.StatusMethodNotAllowed
		if p.lifeNow() != life {
			return nil
		}
		if known && version < seen {
			return fmt.Errorf("%w: %s goes back from configuration %d to %d", ErrPromise, p.settings.Node, seen, version)
		}
		if known {
			p.mu.Lock()
			p.version, seen = max(p.version, version), max(seen, version)
			p.mu.Unlock()
		}
	}
	return nil
}
