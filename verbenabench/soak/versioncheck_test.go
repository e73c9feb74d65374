package soak_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/verbenabench/soak"
)

const (
	checkLimit  = 1500 * time.Millisecond
	callTimeout = time.Second
)

// answerAt returns the status of a process's answer at a time after its start; 0 leaves the request without an answer.
type answerAt func(age time.Duration) int

func always(status int) answerAt { return func(time.Duration) int { return status } }

func statusUntil(end time.Duration, before, after int) answerAt {
	return func(age time.Duration) int {
		if age < end {
			return before
		}
		return after
	}
}

// startProcess starts a server that answers like a process, and returns its address and the number of requests so far.
func startProcess(t *testing.T, status answerAt) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	began := time.Now()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		code := status(time.Since(began))
		if code == 0 {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(code)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), &requests
}

// Guards against a check that passes although a process does not have the newest configuration in force, and against one that fails because
// a process is asked only once, after another one came late (soak seed 8000).
func TestAwaitVersions(t *testing.T) {
	const inForce, unknown, outOfDate, none = http.StatusMethodNotAllowed, http.StatusNotFound, http.StatusServiceUnavailable, 0
	late := statusUntil(checkLimit/2, outOfDate, inForce)
	for _, c := range []struct {
		name      string
		processes []answerAt
		// want is a part of the error; empty for none.
		want string
	}{
		{"all in force", []answerAt{always(inForce), always(inForce)}, ""},
		{"one late", []answerAt{late, always(inForce)}, ""},
		{"one late, the other one without an answer by then", []answerAt{late, statusUntil(checkLimit/3, inForce, none)}, ""},
		{"one behind", []answerAt{always(inForce), always(unknown)}, "on n1 within 1.5s: status 404"},
		{"one out of date", []answerAt{always(outOfDate), always(inForce)}, "on n0 within 1.5s: status 503"},
		{"one without an answer", []answerAt{always(inForce), always(none)}, "on n1 within 1.5s: no answer"},
		{"one returned to an older one", []answerAt{late, statusUntil(checkLimit/3, inForce, unknown)}, "on n1 within 1.5s: status 404"},
		{"one behind before one without an answer", []answerAt{always(none), always(unknown)}, "on n0 within 1.5s: no answer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var addrs []netip.AddrPort
			for _, p := range c.processes {
				addr, _ := startProcess(t, p)
				addrs = append(addrs, addr)
			}
			err := soak.AwaitVersions(context.Background(), checkLimit, callTimeout, addrs...)
			if c.want == "" && err != nil {
				t.Errorf("check: got %v, want none", err)
			}
			if c.want != "" && (!errors.Is(err, soak.ErrPromise) || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("check: got %v, want a broken promise with %q", err, c.want)
			}
		})
	}
}

// Guards against processes that are not asked while another one leaves requests without an answer.
func TestAllProcessesAreAsked(t *testing.T) {
	silent, _ := startProcess(t, always(0))
	other, requests := startProcess(t, always(http.StatusMethodNotAllowed))
	if err := soak.AwaitVersions(context.Background(), checkLimit, callTimeout, silent, other); !errors.Is(err, soak.ErrPromise) {
		t.Errorf("check: got %v, want %v", err, soak.ErrPromise)
	}
	if got := requests.Load(); got < 3 {
		t.Errorf("requests to the other process: got %d, want 3 or more", got)
	}
}

// Guards against notes on unanswered requests that do not tell whether the process ran.
func TestProcessorUse(t *testing.T) {
	if _, err := os.Stat("/proc/self/schedstat"); err != nil {
		t.Skip("the system does not report the times of processes")
	}
	_, before := soak.ProcessorUse(os.Getpid())
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); {
		continue
	}
	state, after := soak.ProcessorUse(os.Getpid())
	if state == "" {
		t.Errorf("state: got none, want one")
	}
	if after <= before {
		t.Errorf("time that the process ran: got %v after %v, want more", after, before)
	}
}
