package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// versionAnswer is the outcome of one request for a queue that only the newest configuration has.
type versionAnswer struct {
	incarnation int
	// status is 0 if no complete answer arrived; err is the reason then.
	status int
	err    error
	sent   time.Time
}

func (a versionAnswer) inForce() bool { return a.status == http.StatusMethodNotAllowed }

// String describes the answer.
func (a versionAnswer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer to a request sent %v ago: %v", time.Since(a.sent).Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("status %d to a request sent %v ago", a.status, time.Since(a.sent).Round(time.Millisecond))
}

// versionCheck holds the latest answer of each process. All processes are asked at the same time, so that a process without an answer delays
// no request to another one.
type versionCheck struct {
	processes []*process

	mu     sync.Mutex
	latest []versionAnswer
}

// record records an answer of a process and reports whether all processes have the configuration in force: the latest answer of each one says
// so, and its process has not restarted since.
func (c *versionCheck) record(i int, a versionAnswer) bool {
	c.mu.Lock()
	c.latest[i] = a
	c.mu.Unlock()
	p, _ := c.behind()
	return p == nil
}

// behind returns the first process that has not shown that the configuration is in force, and its latest answer.
func (c *versionCheck) behind() (*process, versionAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, p := range c.processes {
		if a := c.latest[i]; !a.inForce() || a.incarnation != p.currentIncarnation() {
			return p, a
		}
	}
	return nil, versionAnswer{}
}

// awaitVersions checks that all processes have the newest configuration in force within the limit. A process that no longer answers fails the
// check like one that is behind.
func (s *Soak) awaitVersions(ctx context.Context, limit time.Duration) error {
	s.mu.Lock()
	newest := s.version
	s.mu.Unlock()
	check := &versionCheck{processes: slices.Clone(s.processes), latest: make([]versionAnswer, len(s.processes))}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	for i := range check.processes {
		group.Go(func() error {
			for end := time.Now().Add(limit); time.Now().Before(end) && asking.Err() == nil; {
				if check.record(i, s.askVersion(asking, i, newest)) {
					cancel()
					return nil
				}
				_ = sleep(asking, retryDelay)
			}
			return nil
		})
	}
	_ = group.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if asking.Err() != nil {
		return nil
	}
	p, a := check.behind()
	if p == nil {
		return nil
	}
	return fmt.Errorf("%w: configuration %d is not in force on %s within %v: %v", ErrPromise, newest, p.settings.Node, limit, a)
}

// askVersion requests a queue of a configuration from a process. If no answer arrives, it notes for how long the process ran meanwhile, which
// tells a process that hangs from one that the machine does not run.
func (s *Soak) askVersion(ctx context.Context, i int, version int64) versionAnswer {
	p := s.processes[i]
	before := p.processorUse()
	a := versionAnswer{incarnation: p.currentIncarnation(), sent: time.Now()}
	a.status, _, a.err = s.exchange(ctx, i, http.MethodPost, standin.VersionPrefix(version), "", nil)
	if a.err != nil && ctx.Err() == nil {
		s.record.note(fmt.Sprintf("%s: %v; meanwhile %v", p.settings.Node, a, p.processorUse().since(before)), nil)
	}
	return a
}
