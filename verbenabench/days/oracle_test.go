package days

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/platform/standin"
)

// answerTo returns the way of an answer, which arrives at once.
func answerTo(e standin.RunEvent) *delivery {
	if e.How != standin.RunsListed && e.How != standin.StopAccepted {
		return nil
	}
	return &delivery{from: newNetwork(1).host(callerAddr, 1, false), at: e.At}
}

// Guards against an oracle that lets a task run twice, or that takes the luck of a clock that is not slow for a proof.
func TestOracle(t *testing.T) {
	const task = "j.0.0.0"
	// The lease of 1 s that begins with the first run could last that long on the slowest clock.
	lease := float64(time.Second)
	longest := time.Duration(lease / slowestClock)
	began := time.Now()
	event := func(at time.Duration, worker, how string) standin.RunEvent {
		return standin.RunEvent{At: began.Add(at), Worker: worker, How: how, Task: task, Run: 1, Clock: at, LeaseEnd: time.Second}
	}
	first := []standin.RunEvent{event(0, "a", standin.LeaseExtended), event(0, "a", standin.RunStarted)}
	for _, c := range []struct {
		name   string
		events []standin.RunEvent
		// want is what the only violation begins with; none when empty.
		want   string
		margin time.Duration
	}{
		{"two at once", []standin.RunEvent{event(500*time.Millisecond, "b", standin.RunStarted)}, "twice", 0},
		{"a start in the doubt about the clock", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest-time.Millisecond, "b", standin.RunStarted),
		}, "margin", -time.Millisecond},
		{"a start after the doubt", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest+5*time.Millisecond, "b", standin.RunStarted),
		}, "", 5 * time.Millisecond},
		{"a start after an end of which nobody could know", []standin.RunEvent{
			event(100*time.Millisecond, "a", "done"), event(200*time.Millisecond, "b", standin.RunStarted),
		}, "margin", 200*time.Millisecond - longest},
		{"a start after an end that was told", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.RunsListed),
			event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after a list that came when there was no doubt any more", []standin.RunEvent{
			event(time.Second, "a", standin.RunExpired), event(longest+time.Millisecond, "a", standin.RunsListed),
			event(longest+2*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after a stop that was taken", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.StopAccepted),
			event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
		{"a start after the worker's life", []standin.RunEvent{
			event(100*time.Millisecond, "a", standin.WorkerEnded), event(200*time.Millisecond, "b", standin.RunStarted),
		}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle()
			for _, e := range append(append([]standin.RunEvent(nil), first...), c.events...) {
				o.seen(e, answerTo(e))
			}
			got := strings.Join(o.broken, "; ")
			if (c.want == "") != (got == "") || !strings.HasPrefix(got, c.want) {
				t.Errorf("broken: got %q, want %q", got, c.want)
			}
			// The slowest clock's time is rounded to a nanosecond.
			if off := o.least - c.margin; off < -time.Nanosecond || off > time.Nanosecond {
				t.Errorf("least margin: got %v, want %v", o.least, c.margin)
			}
		})
	}
}

// Guards against an oracle that takes an answer which is on its way for one that was heard: it arrives when the cut ends.
func TestAnswerCountsOnceItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		worker, node := n.host(storeAddr, 1, false), n.host(callerAddr, 1, false)
		n.cut(worker.addr, node.addr, true)
		o := newOracle()
		event := func(worker, how string) standin.RunEvent {
			return standin.RunEvent{At: time.Now(), Worker: worker, How: how, Task: "j.0.0.0", Run: 1, LeaseEnd: time.Minute}
		}
		o.seen(event("a", standin.LeaseExtended), nil)
		o.seen(event("a", standin.RunStarted), nil)
		o.seen(event("a", "done"), nil)
		o.seen(event("a", standin.RunsListed), n.deliver(worker, node.addr))
		o.seen(event("b", standin.RunStarted), nil)
		if got := len(o.broken); got != 1 {
			t.Errorf("violations before the answer arrived: got %d, want 1", got)
		}
		o.seen(event("b", "done"), nil)
		o.seen(event("b", standin.RunsListed), n.deliver(worker, node.addr))
		time.Sleep(time.Second)
		n.cut(worker.addr, node.addr, false)
		o.seen(event("c", standin.RunStarted), nil)
		if got := len(o.broken); got != 1 {
			t.Errorf("violations after the answer arrived: got %d, want the 1 of before: %v", got, o.broken)
		}
	})
}
