package dispatch_test

import (
	"testing"
	"time"
)

// Guards against a worker that never gets work again because the write of the record that names it as unresponsive was not answered.
func TestWorkerOfAnUnansweredRecordGetsWorkAgain(t *testing.T) {
	b := newBench(t, 1)
	b.unresponsive["w0"] = true
	b.advance(2 * time.Second)
	if _, changed := b.pool.UnresponsiveRecord(b.now); !changed {
		t.Fatalf("record of unresponsive workers: got no change, want one")
	}
	b.unresponsive["w0"] = false
	b.report()
	unresponsive, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed {
		t.Fatalf("record after the worker reported: got no change, want one, since the store may name the worker")
	}
	b.pool.UnresponsiveRecorded(unresponsive)
	b.addJob("j", oneTask(1000))
	b.plan()
	wantCount(t, "starts", len(b.starts), 1)
}
