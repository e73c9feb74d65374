package days

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

const (
	callTimeout = 3500 * time.Millisecond
	// maxSubmitAttempts is the maximum number of attempts that a caller makes with the same ID.
	maxSubmitAttempts = 20
	retryDelay        = 150 * time.Millisecond
	// visibilityDelay is the time from the acceptance of a job until every node must be able to report its state.
	visibilityDelay = 3 * time.Second
	// settleLimit is the time limit for all accepted jobs to end after the last fault. It covers leases, the suspicion time of workers,
	// which doubles up to 16 s, and the work itself.
	settleLimit = 30 * time.Second
	// pollInterval is the time between two state requests for the jobs that have not ended.
	pollInterval = 300 * time.Millisecond
)

// runCallers simulates all callers.
func (d *day) runCallers(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for i := range d.script.jobs {
		c := &d.script.jobs[i]
		if err := sleep(groupCtx, time.Until(d.oracle.startTime.Add(c.at))); err != nil {
			break
		}
		group.Go(func() error {
			d.runCaller(groupCtx, c)
			return nil
		})
	}
	return group.Wait()
}

// runCaller simulates one caller, which submits a job, cancels it in some cases, and requests its state.
func (d *day) runCaller(ctx context.Context, c *submission) {
	if d.script.hasKeys() {
		c.job.Workspace = c.workspace()
	}
	d.platform.AddJob(c.job, testfleet.Attempts)
	if !d.submit(ctx, c) {
		return
	}
	group, groupCtx := errgroup.WithContext(ctx)
	if c.cancel >= 0 {
		group.Go(func() error {
			if sleep(groupCtx, c.cancel) == nil {
				d.cancel(groupCtx, c)
			}
			return nil
		})
	}
	if sleep(ctx, visibilityDelay) == nil {
		d.requestState(ctx, c, c.firstNode+1)
	}
	_ = group.Wait()
}

// submit submits a job and reports whether it was accepted.
func (d *day) submit(ctx context.Context, c *submission) bool {
	outcomeUnknown := false
	for try := range maxSubmitAttempts {
		status, _ := d.sendRequest(ctx, c.firstNode+try, http.MethodPost, c, c.job.Job)
		switch {
		case status == http.StatusOK:
			d.mu.Lock()
			d.accepted = append(d.accepted, c)
			d.mu.Unlock()
			d.note("accepted %s", c.job.ID)
			return true
		case status == http.StatusServiceUnavailable && !outcomeUnknown:
			d.platform.UpdateJob(c.job, func(j *standin.Job) { j.Refused = true })
			d.note("refused %s", c.job.ID)
			return false
		case status != http.StatusServiceUnavailable:
			outcomeUnknown = true
		}
		if sleep(ctx, retryDelay) != nil {
			return false
		}
	}
	return false
}

// cancel cancels a job and reports whether the cancellation was acknowledged.
func (d *day) cancel(ctx context.Context, c *submission) bool {
	d.mu.Lock()
	d.cancelled[c.job.ID] = false
	d.mu.Unlock()
	for try := range maxSubmitAttempts {
		if status, _ := d.sendRequest(ctx, c.firstNode+try, http.MethodDelete, c, nil); status == http.StatusOK {
			d.platform.UpdateJob(c.job, func(j *standin.Job) { j.Cancelled = time.Now() })
			d.mu.Lock()
			d.cancelled[c.job.ID] = true
			d.mu.Unlock()
			d.note("cancelled %s", c.job.ID)
			return true
		}
		if sleep(ctx, retryDelay) != nil {
			return false
		}
	}
	return false
}

// requestState requests the state of an accepted job from a node and checks the answer. It returns an empty state if there was no answer.
func (d *day) requestState(ctx context.Context, c *submission, node int) string {
	status, body := d.sendRequest(ctx, node, http.MethodGet, c, nil)
	if status == http.StatusGone {
		d.violate("known: accepted job %s is reported as unknown by n%d", c.job.ID, node%len(d.processes))
		return ""
	}
	var s wire.State
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return ""
	}
	d.mu.Lock()
	d.stateChecks++
	_, cancelled := d.cancelled[c.job.ID]
	d.mu.Unlock()
	done, all := d.platform.DoneTasks(c.job.ID), c.taskCount()
	switch {
	case s.State == "completed" && (c.longRunning() || done < all):
		d.violate("true: job %s is reported as completed, but %d of %d tasks are done", c.job.ID, done, all)
	case s.State == "failed" && c.longRunning():
		d.violate("true: long-running job %s is reported as failed", c.job.ID)
	case s.State == "cancelled" && !cancelled:
		d.violate("true: job %s is reported as cancelled, but its caller did not cancel it", c.job.ID)
	}
	return s.State
}

// sendRequest sends a request to a node. It returns status 0 if no complete answer arrived.
func (d *day) sendRequest(ctx context.Context, node int, method string, c *submission, body any) (int, []byte) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			panic("days: encode request: " + err.Error())
		}
	}
	p := d.processes[node%len(d.processes)]
	url := "http://" + p.settings.Entry.String() + standin.PoolPrefix(c.pool) + c.job.ID
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		panic("days: create request: " + err.Error())
	}
	r.Host = testfleet.Host
	r.Header.Set(wire.HeaderDeadline, "3000")
	d.sign(r, c)
	answer, err := d.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	content, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	if answer.StatusCode == http.StatusUnauthorized {
		d.violate("key: %s of job %s is refused with a valid key by %s", method, c.job.ID, p.settings.Node)
	}
	return answer.StatusCode, content
}

// settle waits after the last fault until each accepted job has ended. It cancels a long-running job once all its tasks run.
func (d *day) settle(ctx context.Context) {
	pending := append([]*submission(nil), d.accepted...)
	end := time.Now().Add(settleLimit)
	for n := 0; len(pending) > 0; n++ {
		remaining := pending[:0]
		for _, c := range pending {
			if !d.jobEnded(ctx, c, n) {
				remaining = append(remaining, c)
			}
		}
		pending = remaining
		if len(d.violations()) > 0 || ctx.Err() != nil {
			return
		}
		if len(pending) > 0 && time.Now().After(end) {
			c := pending[0]
			d.violate("ended: %d accepted jobs have not ended %v after the last fault; the first one is %s, state %q, %d of %d tasks done, %d running",
				len(pending), settleLimit, c.job.ID, d.requestState(ctx, c, 0), d.platform.DoneTasks(c.job.ID), c.taskCount(), d.platform.RunsOf(c.job.ID))
			return
		}
		if sleep(ctx, pollInterval) != nil {
			return
		}
	}
}

// jobEnded reports whether an accepted job has ended. It cancels a long-running job once all its tasks run, or immediately if its caller
// requested the cancellation without getting an answer.
func (d *day) jobEnded(ctx context.Context, c *submission, n int) bool {
	d.mu.Lock()
	acknowledged, requested := d.cancelled[c.job.ID]
	d.mu.Unlock()
	switch {
	case c.longRunning() && !acknowledged:
		if requested || d.platform.RunsOf(c.job.ID) == c.taskCount() {
			d.cancel(ctx, c)
		}
		return false
	case c.longRunning():
		if d.platform.RunsOf(c.job.ID) > 0 {
			return false
		}
	default:
		if s := d.requestState(ctx, c, n); s != "completed" && s != "failed" && s != "cancelled" {
			return false
		}
	}
	d.mu.Lock()
	d.endedJobs++
	d.mu.Unlock()
	return true
}

// violations returns all violations that were found.
func (d *day) violations() []string {
	list := slices.DeleteFunc(d.platform.Violations(), func(v string) bool { return strings.HasPrefix(v, cancelledPrefix) })
	d.platform.WithLock(func() { list = append(list, d.oracle.broken...) })
	for _, p := range d.processes {
		p.mu.Lock()
		for _, err := range p.failures {
			list = append(list, "process: "+p.settings.Node+" ended unexpectedly: "+err.Error())
		}
		p.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(list, d.broken...)
}
