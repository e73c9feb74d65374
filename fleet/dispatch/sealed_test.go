package dispatch_test

import (
	"testing"
	"time"
)

// Guards against a worker that gets no work any more since the write of the record that names it as silent was not answered.
func TestWorkerOfAnUnansweredRecordGetsWorkAgain(t *testing.T) {
	b := newBench(t, 1)
	b.silent["w0"] = true
	b.pass(2 * time.Second)
	if _, changed := b.pool.UnresponsiveRecord(b.now); !changed {
		t.Fatalf("record of silent workers: got no change, want one")
	}
	b.silent["w0"] = false
	b.report()
	seals, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed {
		t.Fatalf("record after the worker was heard: got no change, want one, since the store may name the worker")
	}
	b.pool.UnresponsiveRecorded(seals)
	b.addJob("j", oneTask(1000))
	b.plan()
	wantCount(t, "starts", len(b.starts), 1)
}
