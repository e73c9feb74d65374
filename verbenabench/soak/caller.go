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

// callerRecord collects the answers that callers received and the events of the run.
type callerRecord struct {
	mu       sync.Mutex
	accepted []*standin.Job
	// cancelledJobs holds the jobs whose callers requested a cancellation; the value is true once it was acknowledged.
	cancelledJobs map[string]bool

	faults, refused, unknown, cancelled int
	events                              []string
}

// note records an event and increments count unless it is nil.
func (b *callerRecord) note(event string, count *int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, time.Now().Format("15:04:05.000 ")+event)
	if count != nil {
		*count++
	}
}

const (
	// maxSubmitAttempts is the maximum number of attempts that a caller makes with the same ID.
	maxSubmitAttempts = 12
	retryDelay        = 150 * time.Millisecond
	// cancelShare is the share of accepted jobs that their callers cancel.
	cancelShare = 0.1
	// One job in slowEvery has small tasks that take slowExtraTime more time, so that they outlast a takeover.
	slowEvery     = 4
	slowExtraTime = 2 * time.Second
	// One job in longRunningEvery is long-running. A share of longRunningCancelShare of these is cancelled while faults are injected, the
	// others after that.
	longRunningEvery       = 12
	longRunningCancelShare = 0.4
	// Of each jobsOfBoth jobs, jobsOfFirst are for the first pool.
	jobsOfBoth  = 3
	jobsOfFirst = 2
	// visibilityDelay is the time from the acceptance of a job until every node must be able to report its state.
	visibilityDelay = 3 * time.Second
)

// submitAll submits jobs while faults are injected.
func (s *Soak) submitAll(ctx context.Context, random *rand.Rand) error {
	s.record.cancelledJobs = map[string]bool{}
	group, groupCtx := errgroup.WithContext(ctx)
	end := time.Now().Add(s.Duration)
	for i := 1; time.Now().Before(end); i++ {
		j := newJob(random, i)
		firstNode := random.IntN(len(s.processes))
		share := cancelShare
		if longRunning(j) {
			share = longRunningCancelShare
		}
		cancel := random.Float64() < share
		group.Go(func() error { return s.runCaller(groupCtx, j, firstNode, cancel) })
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
	j.Spec = pools[(i+i/longRunningEvery)%jobsOfBoth/jobsOfFirst]
	if i%longRunningEvery == longRunningEvery/2 {
		j.Steps = []wire.Step{{Count: 1 + random.IntN(2), CPU: 500, MemMb: 256, LongRunning: true, MayMiss: 1}}
		return j
	}
	if random.IntN(slowEvery) == 0 {
		j.RunTime += slowExtraTime
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

// runCaller acts as one caller, which submits a job, cancels it in some cases, and requests its state.
func (s *Soak) runCaller(ctx context.Context, j *standin.Job, firstNode int, cancel bool) error {
	j.Workspace = workspaceName(workspaceOf(j))
	s.platform.AddJob(j, attempts)
	if !s.submit(ctx, j, firstNode) {
		return nil
	}
	if cancel {
		s.cancel(ctx, j, firstNode)
	}
	return s.checkState(ctx, j, firstNode)
}

// submit submits a job and reports whether it was accepted.
func (s *Soak) submit(ctx context.Context, j *standin.Job, firstNode int) bool {
	outcomeUnknown := false
	for try := range maxSubmitAttempts {
		status, _ := s.sendRequest(ctx, firstNode+try, http.MethodPost, standin.PoolPrefix(j.Spec)+j.ID, lastingKey(workspaceOf(j)), j.Job)
		switch {
		case status == http.StatusOK:
			s.record.mu.Lock()
			s.record.accepted = append(s.record.accepted, j)
			s.record.mu.Unlock()
			return true
		case status == http.StatusServiceUnavailable && !outcomeUnknown:
			s.platform.UpdateJob(j, func(j *standin.Job) { j.Refused = true })
			s.record.note("refused "+j.ID, &s.record.refused)
			return false
		case status != http.StatusServiceUnavailable:
			outcomeUnknown = true
		}
		if sleep(ctx, retryDelay) != nil {
			return false
		}
	}
	s.record.note("unknown "+j.ID, &s.record.unknown)
	return false
}

// cancel cancels a job and reports whether the cancellation was acknowledged.
func (s *Soak) cancel(ctx context.Context, j *standin.Job, firstNode int) bool {
	s.record.mu.Lock()
	s.record.cancelledJobs[j.ID] = false
	s.record.mu.Unlock()
	for try := range maxSubmitAttempts {
		status, _ := s.sendRequest(ctx, firstNode+try, http.MethodDelete, standin.PoolPrefix(j.Spec)+j.ID, lastingKey(workspaceOf(j)), nil)
		if status == http.StatusOK {
			s.platform.UpdateJob(j, func(j *standin.Job) { j.Cancelled = time.Now() })
			s.record.mu.Lock()
			s.record.cancelledJobs[j.ID] = true
			s.record.mu.Unlock()
			s.record.note("cancelled "+j.ID, &s.record.cancelled)
			return true
		}
		if sleep(ctx, retryDelay) != nil {
			return false
		}
	}
	s.record.note("cancellation not acknowledged "+j.ID, nil)
	return false
}

// checkState checks the state of an accepted job after visibilityDelay.
func (s *Soak) checkState(ctx context.Context, j *standin.Job, firstNode int) error {
	if sleep(ctx, visibilityDelay) != nil {
		return nil
	}
	if status, _ := s.sendRequest(ctx, firstNode, http.MethodGet, standin.PoolPrefix(j.Spec)+j.ID, lastingKey(workspaceOf(j)+1), nil); status == http.StatusOK {
		return fmt.Errorf("%w: job %s is shown to another workspace", ErrPromise, j.ID)
	}
	_, err := s.requestState(ctx, j, firstNode+1)
	return err
}

// requestState requests the state of a job from a process and checks the answer. It returns an empty state if there was no answer.
func (s *Soak) requestState(ctx context.Context, j *standin.Job, i int) (string, error) {
	status, body := s.sendRequest(ctx, i, http.MethodGet, standin.PoolPrefix(j.Spec)+j.ID, lastingKey(workspaceOf(j)), nil)
	if status == http.StatusGone {
		return "", fmt.Errorf("%w: accepted job %s is reported as unknown", ErrPromise, j.ID)
	}
	if status != http.StatusOK {
		return "", nil
	}
	var state wire.State
	if err := json.Unmarshal(body, &state); err != nil {
		return "", fmt.Errorf("%w: decode the state of job %s: %w", ErrPromise, j.ID, err)
	}
	if longRunning(j) && (state.State == "completed" || state.State == "failed") {
		return "", fmt.Errorf("%w: long-running job %s is reported as %s", ErrPromise, j.ID, state.State)
	}
	if done, all := s.platform.DoneTasks(j.ID), taskCount(j); state.State == "completed" && done < all {
		return "", fmt.Errorf("%w: job %s is reported as completed, but %d of %d tasks are done", ErrPromise, j.ID, done, all)
	}
	return state.State, nil
}

// sendRequest sends a request with a key, empty for none, to a process. It returns status 0 if no complete answer arrived.
func (s *Soak) sendRequest(ctx context.Context, i int, method, path, key string, body any) (int, []byte) {
	status, answer, err := s.exchange(ctx, i, method, path, key, body)
	if err != nil {
		return 0, nil
	}
	return status, answer
}

// exchange sends a request to a process and returns its answer, or the reason why no complete answer arrived and status 0.
func (s *Soak) exchange(ctx context.Context, i int, method, path, key string, body any) (int, []byte, error) {
	p := s.processes[i%len(s.processes)]
	content, err := json.Marshal(body)
	if err != nil {
		panic("soak: encode request: " + err.Error())
	}
	if body == nil {
		content = nil
	}
	sent := time.Now()
	status, answer, err := standin.Request{Method: method, Host: host, Path: path, Body: content, Key: key}.Send(ctx, p.client, p.settings.Entry)
	if err != nil {
		return 0, nil, err
	}
	s.keys.judge(p.settings.Node, key, sent, status)
	return status, answer, nil
}

// awaitJobs waits until each accepted job has completed, failed, or was cancelled by its caller. Long-running jobs end only by
// cancellation.
func (s *Soak) awaitJobs(ctx context.Context) error {
	var pending []*standin.Job
	s.record.mu.Lock()
	for _, j := range s.record.accepted {
		if !longRunning(j) || s.record.cancelledJobs[j.ID] {
			pending = append(pending, j)
		}
	}
	s.record.mu.Unlock()
	for end := time.Now().Add(settleLimit); len(pending) > 0; {
		remaining := pending[:0]
		for n, j := range pending {
			state, err := s.requestState(ctx, j, n)
			if err != nil {
				return err
			}
			s.record.mu.Lock()
			_, cancelled := s.record.cancelledJobs[j.ID]
			s.record.mu.Unlock()
			if state == "cancelled" && !cancelled {
				return fmt.Errorf("%w: job %s is reported as cancelled, but its caller did not cancel it", ErrPromise, j.ID)
			}
			if state != "completed" && state != "failed" && state != "cancelled" {
				remaining = append(remaining, j)
			}
		}
		pending = remaining
		if len(pending) > 0 && time.Now().After(end) {
			state, _ := s.requestState(ctx, pending[0], 0)
			return fmt.Errorf("%w: %d accepted jobs have not ended %v after the last fault, the first one is %s, state %q", ErrPromise, len(pending), settleLimit, pending[0].ID, state)
		}
		if err := sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
	return nil
}

// watchVersions checks that no process returns to an older configuration before it restarts.
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
		if err := sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
	return nil
}

// servesQueue reports whether a process serves a queue: it answers a request without an ID with 405 then, and with 404 or 503 otherwise.
func (s *Soak) servesQueue(ctx context.Context, i int, prefix string) bool {
	status, _ := s.sendRequest(ctx, i, http.MethodPost, prefix, "", nil)
	return status == http.StatusMethodNotAllowed
}

func (s *Soak) checkVersion(ctx context.Context, i int, p *process, newest int64) error {
	incarnation := p.currentIncarnation()
	p.mu.Lock()
	served, paused := p.version, p.paused
	p.mu.Unlock()
	if paused {
		return nil
	}
	for version := max(1, served-1); version <= newest; version++ {
		serves := s.servesQueue(ctx, i, standin.VersionPrefix(version))
		if p.currentIncarnation() != incarnation {
			return nil
		}
		if serves && version < served {
			return fmt.Errorf("%w: %s returned from configuration %d to %d", ErrPromise, p.settings.Node, served, version)
		}
		if serves {
			p.mu.Lock()
			p.version, served = max(p.version, version), max(served, version)
			p.mu.Unlock()
		}
	}
	return nil
}
