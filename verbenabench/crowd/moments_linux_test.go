//go:build crowd

package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
)

// longDeadline is a caller's deadline of an hour, in milliseconds.
const longDeadline = 3_600_000

// patient sends an ordinary job, or another request, with a deadline of an hour, and waits for the answer.
func patient(method string) send {
	jobs := submission{length: len(smallJob), content: smallJob, deadlineMs: longDeadline}.send()
	if method == http.MethodPost {
		return jobs
	}
	return func(conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "%s %s%016x HTTP/1.1\r\nHost: %s\r\nRequest-Deadline: %d\r\n\r\n", method, standin.PoolPrefix(pool), 1<<30, host, longDeadline)
		return err
	}
}

// Guards against callers with long deadlines that take all connections while the store is silent: nobody else is answered then, and nobody is for as
// long as they like.
func TestSilentStore(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			sampling := startSampler(t.Context(), s)
			s.platform.Store.SetFaults(standin.StoreFaults{Delay: time.Hour})
			c := &crowd{clients: bodyClients, act: patient(method)}
			defer c.close()
			c.start(s.entry)
			_ = c.group.Wait()
			time.Sleep(holdTime)
			s.awaitAnyAnswer(t, answerLimit)
			s.platform.Store.SetFaults(standin.StoreFaults{})
			s.awaitAnswer(t, answerLimit)
			s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
		})
	}
}

// Guards against a process that does not start beside a crowd, or that takes what its clients send before it has a configuration.
func TestStartBesideACrowd(t *testing.T) {
	s := prepare(t, memoryMB, maxFDs)
	s.run(t)
	s.awaitListener(t)
	sampling := startSampler(t.Context(), s)
	c := &crowd{clients: bodyClients, returns: 2, act: whole(largeJob(), 1).send()}
	defer c.close()
	c.start(s.entry)
	time.Sleep(holdTime)
	s.platform.Configure(1, host, 3)
	s.awaitAnswer(t, answerLimit)
	_ = c.group.Wait()
	s.awaitJob(t, largeJob(), answerLimit)
	s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
}

// Guards against a process that does not end while clients keep their requests unfinished, and against one that does not get its addresses, its lease or
// its pool back while they do.
func TestEndAndRestartBesideACrowd(t *testing.T) {
	const exitLimit = 30 * time.Second
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			s := start(t, memoryMB, maxFDs)
			c := &crowd{clients: bodyClients, returns: 2, act: whole(largeJob(), 1).send()}
			defer c.close()
			c.start(s.entry)
			time.Sleep(holdTime)
			if err := s.command.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			select {
			case <-s.exited:
			case <-time.After(exitLimit):
				t.Fatalf("process: got no end in %v, want one", exitLimit)
			}
			if code := s.command.ProcessState.ExitCode(); signal == syscall.SIGTERM && code != 0 {
				t.Errorf("exit code: got %d, want 0", code)
			}
			s.exited = make(chan struct{})
			s.run(t)
			sampling := startSampler(t.Context(), s)
			again := &crowd{clients: bodyClients, returns: 2, act: whole(largeJob(), 1).send()}
			defer again.close()
			again.start(s.entry)
			s.awaitAnswer(t, startLimit)
			_ = again.group.Wait()
			s.awaitHolder(t, pool)
			s.awaitJob(t, largeJob(), answerLimit)
			s.checkUsage(t, sampling.end(), memoryMB, maxFDs)
		})
	}
}
