package dispatch_test

import (
	"encoding/json"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against a worker's report that ends the holder: tasks, runs and ends may be named that the holder does not know.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"Active":[{"Task":{"Job":"j"},"Run":1}],"Ended":[{"Number":3,"Task":{"Job":"j","Step":7,"Index":-1},"Run":2,"How":"done"}],"Clock":5}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var r workload.Report
		if json.Unmarshal(content, &r) != nil {
			return
		}
		b := newBench(t, 1)
		b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: b.now, Steps: []workload.Step{oneTask(1000)}}, nil, false, b.now)
		b.pool.Plan(b.now)
		b.pool.Report("w0", r, b.now)
		b.pool.Plan(b.now.Add(time.Second))
	})
}

// Guards against a stored record or handover that ends each holder that reads it.
func FuzzStoredState(f *testing.F) {
	f.Add([]byte(`{"state":"running","steps":[{"done":[0],"tasks":[{"index":0,"failedRuns":[1,2],"lastRun":3}]}]}`), []byte(`{"writer":3,"runs":{"w0":[{"Job":"j"}]},"lost":5}`))
	f.Add([]byte(`{"state":"running","steps":[{"occurrence":-1,"done":[0]},{"step":-1},{"done":[-1],"tasks":[{"index":-1}]}]}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, record, handover []byte) {
		var r dispatch.Record
		var h dispatch.Handover
		if json.Unmarshal(record, &r) != nil || json.Unmarshal(handover, &h) != nil {
			return
		}
		b := newBench(t, 1)
		b.pool.InheritHandover(h, b.now)
		b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: b.now, Steps: []workload.Step{oneTask(1000)}}, &r, true, b.now)
		b.report()
		b.pool.Plan(b.now.Add(time.Second))
	})
}
