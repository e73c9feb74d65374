package node

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// Guards against jobs that take seconds longer beside workers that leave half of their orders unanswered: each unanswered start cost its task a
// timeout, a report and a stop before it was started again, often on the same worker.
func TestStartIsRepeatedWhileUnanswered(t *testing.T) {
	for _, c := range []struct {
		name       string
		unanswered int64
		status     int
		body       string
		budget     int
		want       platform.StartOutcome
		wantSent   int64
	}{
		{"answered at once", 0, http.StatusOK, `{"ClockMs":5}`, 9, platform.Started, 1},
		{"first attempt unanswered", 1, http.StatusOK, `{"ClockMs":5}`, 9, platform.Started, 2},
		{"three attempts unanswered", 3, http.StatusOK, `{"ClockMs":5}`, 9, platform.Started, 4},
		{"all attempts unanswered", 9, http.StatusOK, `{"ClockMs":5}`, 9, platform.Unanswered, 4},
		{"no budget", 1, http.StatusOK, `{"ClockMs":5}`, 0, platform.Unanswered, 1},
		{"refused at once", 0, http.StatusConflict, `{"ClockMs":5,"Reason":"room"}`, 9, platform.RefusedCapacity, 1},
		// The unanswered attempt may still be carried out, so that the refusal of the other one does not free the task.
		{"refused after an unanswered attempt", 1, http.StatusConflict, `{"ClockMs":5,"Reason":"room"}`, 1, platform.Unanswered, 2},
		{"fenced after an unanswered attempt", 1, http.StatusConflict, `{"ClockMs":5,"Reason":"fence"}`, 1, platform.RefusedFence, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			var received atomic.Int64
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if received.Add(1) <= c.unanswered {
					// The server notices the end of a connection only once it has read the request.
					_, _ = io.Copy(io.Discard, r.Body)
					<-r.Context().Done()
					return
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			attempts := startAttempts{
				workers:   &platform.Workers{Client: platform.NewClient()},
				order:     platform.StartOrder{Order: platform.Order{Worker: workload.Worker{ID: "w", Addr: addr}, Run: 1}, LeaseEnd: time.Second},
				mayRepeat: func(sent int) bool { return sent <= c.budget },
			}
			got, _, _ := attempts.run(t.Context())
			if got != c.want {
				t.Errorf("outcome: got %v, want %v", got, c.want)
			}
			if sent := received.Load(); sent != c.wantSent {
				t.Errorf("attempts: got %d, want %d", sent, c.wantSent)
			}
		})
	}
}
