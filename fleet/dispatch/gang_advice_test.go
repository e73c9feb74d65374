package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against an accepted gang that never starts: tickets were requested for single tasks only, and no worker takes a task of the queue without one.
func TestGangOnAQueueWithAdvice(t *testing.T) {
	b := newBench(t, 4)
	advised := queue
	advised.Advice = &workload.AdviceSettings{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
	b.pool.SetQueues([]workload.Queue{advised})
	b.addJob("j", workload.Step{Tasks: 4, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
	var requests []dispatch.AdviceRequest
	for _, a := range b.pool.Plan(b.now) {
		if r, ok := a.(dispatch.AdviceRequest); ok {
			requests = append(requests, r)
		}
	}
	if len(requests) != 1 || len(requests[0].Workers) != 4 {
		t.Fatalf("requests for advice: got %+v, want one for 4 workers", requests)
	}
	tickets := map[string]string{}
	for _, id := range requests[0].Workers {
		tickets[id] = "ticket-" + id
	}
	b.pool.AdviceReceived(requests[0], tickets, b.now.Add(advised.Advice.Valid), b.now)
	starts, _ := b.orders()
	wantCount(t, "starts once the tickets are there", len(starts), 4)
	for _, s := range starts {
		if got, want := s.Ticket, tickets[s.Worker.ID]; got != want {
			t.Errorf("ticket of a start on %s: got %q, want %q", s.Worker.ID, got, want)
		}
	}
}

// Guards against an accepted gang that never starts, because a request for advice names fewer workers than it needs.
func TestGangOfMoreWorkersThanARequestForAdviceNames(t *testing.T) {
	const tasks = 140
	b := newBench(t, tasks+2)
	advised := queue
	advised.Advice = &workload.AdviceSettings{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
	b.advice = advised.Advice.Valid
	b.pool.SetQueues([]workload.Queue{advised})
	b.addJob("j", workload.Step{Tasks: tasks, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
	b.advance(10 * time.Second)
	wantCount(t, "starts", len(b.starts), tasks)
}
