package days

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/platform/standin"
)

// answerTo returns the delivery of the answer that an event is, which arrives immediately, or nil if the event is no answer.
func answerTo(e standin.RunEvent) *delivery {
	if e.Kind != standin.RunsListed && e.Kind != standin.StopAccepted {
		return nil
	}
	return &delivery{from: newNetwork(1).addHost(callerAddr, 1, false), arrivedAt: e.At}
}

// Guards against an oracle that misses a task that runs twice, or that accepts a start which is safe only because the worker's clock
// happens not to be slow.
func TestOracleDetectsViolations(t *testing.T) {
	const task = "j.0.0.0"
	// The lease of 1 s that starts with the first run could last until longest on the slowest clock.
	lease := float64(time.Second)
	longest := time.Duration(lease / slowestClock)
	startTime := time.Now()
	event := func(at time.Duration, worker, kind string) standin.RunEvent {
		return standin.RunEvent{At: startTime.Add(at), Worker: worker, Kind: kind, Task: task, Run: 1, Clock: at, LeaseEnd: time.Second}
	}
	firstRun := []standin.RunEvent{event(0, "a", standin.LeaseExtended), event(0, "a", standin.RunStarted)}
	for _, c := range []struct {
		name   string
		events []standin.RunEvent
		// want is the prefix of the only violation; empty if there must be none.
		want   string
		margin time.Duration
	}{
		{"two at the same time", []standin.RunEvent{event(500*time.Millisecond, "b", standin.RunStarted)}, "twice", 0},
		{"a start before the latest possible lease end", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest-time.Millisecond, "b", standin.RunStarted),
		}, "margin", -time.Millisecond},
		{"a start after the latest possible lease end", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest+5*time.Millisecond, "b", standin.RunStarted),
		}, "", 5 * time.Millisecond},
		{"a start after an end that was not reported", []standin.RunEvent{
			event(100*time.Millisecond, "a", "done"), event(200*time.Millisecond, "b", standin.RunStarted),
		}, "margin", 200*time.Millisecond - longest},
		{"a start after a reported end", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.RunsListed),
			event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after a list later than the latest possible lease end", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest+time.Millisecond, "a", standin.RunsListed),
			event(longest+2*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after an accepted stop", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.StopAccepted),
			event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after the end of the worker's incarnation", []standin.RunEvent{
			event(100*time.Millisecond, "a", standin.WorkerEnded), event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle()
			for _, e := range append(append([]standin.RunEvent(nil), firstRun...), c.events...) {
				o.observe(e, answerTo(e))
			}
			got := strings.Join(o.broken, "; ")
			if (c.want == "") != (got == "") || !strings.HasPrefix(got, c.want) {
				t.Errorf("broken: got %q, want %q", got, c.want)
			}
			// The slowest clock's time is rounded to a nanosecond.
			if off := o.leastMargin - c.margin; off < -time.Nanosecond || off > time.Nanosecond {
				t.Errorf("least margin: got %v, want %v", o.leastMargin, c.margin)
			}
		})
	}
}

// Guards against an oracle that counts an answer before it arrives: during a partition, it arrives only when the partition ends.
func TestAnswerConfirmsTheEndOnceItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		worker, node := n.addHost(storeAddr, 1, false), n.addHost(callerAddr, 1, false)
		n.setPartitioned(worker.addr, node.addr, true)
		o := newOracle()
		event := func(worker, kind string) standin.RunEvent {
			return standin.RunEvent{At: time.Now(), Worker: worker, Kind: kind, Task: "j.0.0.0", Run: 1, LeaseEnd: time.Minute}
		}
		o.observe(event("a", standin.LeaseExtended), nil)
		o.observe(event("a", standin.RunStarted), nil)
		o.observe(event("a", "done"), nil)
		o.observe(event("a", standin.RunsListed), n.trackDelivery(worker, node.addr))
		o.observe(event("b", standin.RunStarted), nil)
		if got := len(o.broken); got != 1 {
			t.Errorf("violations before the answer arrived: got %d, want 1", got)
		}
		o.observe(event("b", "done"), nil)
		o.observe(event("b", standin.RunsListed), n.trackDelivery(worker, node.addr))
		time.Sleep(time.Second)
		n.setPartitioned(worker.addr, node.addr, false)
		o.observe(event("c", standin.RunStarted), nil)
		if got := len(o.broken); got != 1 {
			t.Errorf("violations after the answer arrived: got %d, want only the earlier one: %v", got, o.broken)
		}
	})
}
