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
	// submitTries is how often a caller comes back with the same id.
	submitTries = 20
	retryPause  = 150 * time.Millisecond
	// knownAfter is the time after its acceptance from which on a job must be known everywhere.
	knownAfter = 3 * time.Second
	// calmTime is the longest time after the last fault in which all accepted jobs must end: leases, suspicions of workers that
	// double up to 16 s, and the work itself.
	calmTime = 30 * time.Second
	// pollPause lies between two questions for the jobs that have not ended.
	pollPause = 300 * time.Millisecond
)

// callAll plays the callers.
func (d *day) callAll(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for i := range d.script.jobs {
		c := &d.script.jobs[i]
		if err := sleep(groupCtx, time.Until(d.oracle.began.Add(c.at))); err != nil {
			break
		}
		group.Go(func() error {
			d.call(groupCtx, c)
			return nil
		})
	}
	return group.Wait()
}

// call plays one caller: it submits, perhaps cancels, and asks.
func (d *day) call(ctx context.Context, c *call) {
	d.platform.Submit(c.job, testfleet.Attempts)
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
	if sleep(ctx, knownAfter) == nil {
		d.state(ctx, c, c.first+1)
	}
	_ = group.Wait()
}

// submit reports whether the job was accepted.
func (d *day) submit(ctx context.Context, c *call) bool {
	doubtful := false
	for try := range submitTries {
		status, _ := d.do(ctx, c.first+try, http.MethodPost, c, c.job.Job)
		switch {
		case status == http.StatusOK:
			d.mu.Lock()
			d.accepted = append(d.accepted, c)
			d.mu.Unlock()
			d.note("accepted %s", c.job.ID)
			return true
		case status == http.StatusServiceUnavailable && !doubtful:
			d.platform.Update(c.job, func(j *standin.Job) { j.Refused = true })
			d.note("refused %s", c.job.ID)
			return false
		case status != http.StatusServiceUnavailable:
			doubtful = true
		}
		if sleep(ctx, retryPause) != nil {
			return false
		}
	}
	return false
}

// cancel reports whether the cancelling of a job was acknowledged.
func (d *day) cancel(ctx context.Context, c *call) bool {
	d.mu.Lock()
	d.cancelled[c.job.ID] = false
	d.mu.Unlock()
	for try := range submitTries {
		if status, _ := d.do(ctx, c.first+try, http.MethodDelete, c, nil); status == http.StatusOK {
			d.platform.Update(c.job, func(j *standin.Job) { j.Cancelled = time.Now() })
			d.mu.Lock()
			d.cancelled[c.job.ID] = true
			d.mu.Unlock()
			d.note("cancelled %s", c.job.ID)
			return true
		}
		if sleep(ctx, retryPause) != nil {
			return false
		}
	}
	return false
}

// state asks a node for the state of an accepted job and checks the answer; it is empty when there was none.
func (d *day) state(ctx context.Context, c *call, node int) string {
	status, body := d.do(ctx, node, http.MethodGet, c, nil)
	if status == http.StatusGone {
		d.violate("known: accepted job %s is told to be unknown by n%d", c.job.ID, node%len(d.processes))
		return ""
	}
	var s wire.State
	if status != http.StatusOK || json.Unmarshal(body, &s) != nil {
		return ""
	}
	d.mu.Lock()
	d.asked++
	_, cancelled := d.cancelled[c.job.ID]
	d.mu.Unlock()
	done, all := d.platform.Done(c.job.ID), c.tasks()
	switch {
	case s.State == "completed" && (c.lasting() || done < all):
		d.violate("true: job %s is shown as completed, %d of %d tasks are done", c.job.ID, done, all)
	case s.State == "failed" && c.lasting():
		d.violate("true: job %s that lasts is shown as failed", c.job.ID)
	case s.State == "cancelled" && !cancelled:
		d.violate("true: job %s is shown as cancelled, its caller did not ask for it", c.job.ID)
	}
	return s.State
}

// do sends a request to a node; status 0 means that no whole answer arrived.
func (d *day) do(ctx context.Context, node int, method string, c *call, body any) (int, []byte) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			panic("days: " + err.Error())
		}
	}
	p := d.processes[node%len(d.processes)]
	url := "http://" + p.settings.Entry.String() + standin.PoolPrefix(c.pool) + c.job.ID
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		panic("days: " + err.Error())
	}
	r.Host = testfleet.Host
	r.Header.Set(wire.HeaderDeadline, "3000")
	answer, err := d.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	content, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, content
}

// settle waits, after the last fault, until each accepted job has ended; those that last must be at work as a whole, and are cancelled then.
func (d *day) settle(ctx context.Context) {
	open := append([]*call(nil), d.accepted...)
	end := time.Now().Add(calmTime)
	for n := 0; len(open) > 0; n++ {
		left := open[:0]
		for _, c := range open {
			if !d.over(ctx, c, n) {
				left = append(left, c)
			}
		}
		open = left
		if len(d.violations()) > 0 || ctx.Err() != nil {
			return
		}
		if len(open) > 0 && time.Now().After(end) {
			c := open[0]
			d.violate("ended: %d accepted jobs have not ended %v after the last fault; the first one is %s, %q, %d of %d tasks done, %d at work",
				len(open), calmTime, c.job.ID, d.state(ctx, c, 0), d.platform.Done(c.job.ID), c.tasks(), d.platform.Running(c.job.ID))
			return
		}
		if sleep(ctx, pollPause) != nil {
			return
		}
	}
}

// over reports whether an accepted job has ended. One that lasts is cancelled once it is at work as a whole, or at once if its caller asked
// for that and got no answer.
func (d *day) over(ctx context.Context, c *call, n int) bool {
	d.mu.Lock()
	acknowledged, asked := d.cancelled[c.job.ID]
	d.mu.Unlock()
	switch {
	case c.lasting() && !acknowledged:
		if asked || d.platform.Running(c.job.ID) == c.tasks() {
			d.cancel(ctx, c)
		}
		return false
	case c.lasting():
		if d.platform.Running(c.job.ID) > 0 {
			return false
		}
	default:
		if s := d.state(ctx, c, n); s != "completed" && s != "failed" && s != "cancelled" {
			return false
		}
	}
	d.mu.Lock()
	d.ended++
	d.mu.Unlock()
	return true
}

// violations returns all that was seen broken.
func (d *day) violations() []string {
	list := slices.DeleteFunc(d.platform.Violations(), func(v string) bool { return strings.HasPrefix(v, standinCancelled) })
	d.platform.WithLock(func() { list = append(list, d.oracle.broken...) })
	for _, p := range d.processes {
		p.mu.Lock()
		for _, err := range p.failures {
			list = append(list, "process: "+p.settings.Node+" ended by itself: "+err.Error())
		}
		p.mu.Unlock()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return append(list, d.broken...)
}
