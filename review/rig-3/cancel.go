package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// cancelBound is cancel_ms.
const cancelBound = 3 * time.Second

// holder returns the process that holds a pool, or nil.
func (f *fleet) holder(pool string) *entry {
	content, ok := f.platform.Store.Get("control/duty/" + pool)
	var h struct{ Node string }
	if !ok || json.Unmarshal(content, &h) != nil {
		return nil
	}
	for _, n := range f.nodes {
		if n.name == h.Node {
			return n
		}
	}
	return nil
}

// cancelBesideSilentConnections: all open connections of the system go silent while new ones work, and a client cancels a job right after that.
func cancelBesideSilentConnections(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	starts := map[string][]time.Time{}
	f.platform.OnRunEvent = func(e standin.RunEvent) {
		if e.Kind != standin.RunStarted {
			return
		}
		id, _, _ := strings.Cut(e.Task, ".")
		mu.Lock()
		starts[id] = append(starts[id], e.At)
		mu.Unlock()
	}
	if err := f.start(5, []wire.Route{route("kept", "/kept/")}, services); err != nil {
		return false, err
	}
	f.crowd(0, "/kept/", 16, 6)
	f.note("a crowd of clients has been served")
	const id = "cccc000000000001"
	j := &standin.Job{ID: id, RunTime: 400 * time.Millisecond, Job: wire.Job{Spec: "long job", Steps: []wire.Step{{Count: 1500, CPU: 4000, MemMb: 64, EstimateMs: 400}}}}
	f.platform.AddJob(j, 4)
	if status, _ := f.call(f.nodes[0], http.MethodPost, "/kept/"+id, j.Job); status != http.StatusOK {
		return false, fmt.Errorf("long job answered %d", status)
	}
	shift, _ := time.ParseDuration(os.Getenv("SHIFT"))
	time.Sleep(2*time.Second + shift)
	h := f.holder("fitdesk")
	if h == nil {
		return false, errors.New("no holder")
	}
	silenced := time.Time{}
	if trouble {
		n := 0
		for _, p := range f.proxies {
			n += p.silence()
		}
		silenced = time.Now()
		f.note("%d open connections are silent; new ones work; the pool's holder is %s", n, h.name)
	}
	client := f.nodes[0]
	if client == h {
		client = f.nodes[1]
	}
	var acked time.Time
	for acked.IsZero() && time.Since(f.began) < 60*time.Second {
		status, _ := f.call(client, http.MethodDelete, "/kept/"+id, nil)
		f.note("%s: DELETE /kept/%s -> %d", client.name, id, status)
		if status == http.StatusOK {
			acked = time.Now()
		}
	}
	if acked.IsZero() {
		return false, errors.New("the cancel was not acknowledged")
	}
	from := acked.Add(cancelBound)
	if inTouch := silenced.Add(stableWindow); inTouch.After(from) {
		from = inTouch
	}
	from = from.Add(margin)
	time.Sleep(time.Until(from.Add(8 * time.Second)))
	mu.Lock()
	defer mu.Unlock()
	within, broken := 0, 0
	var last time.Time
	for _, at := range starts[id] {
		if at.After(acked) && at.Before(from) {
			within++
		}
		if at.After(from) {
			broken++
		}
		if at.After(last) {
			last = at
		}
	}
	f.note("starts of the cancelled job: %d in all, %d after the acknowledgement and within the bound, %d after it; the last one %.2f s after the acknowledgement, %.2f s after the silence; holder now %v",
		len(starts[id]), within, broken, last.Sub(acked).Seconds(), last.Sub(silenced).Seconds(), f.holder("fitdesk"))
	for _, v := range f.platform.Violations() {
		f.note("stand-in: %s", v)
	}
	return broken == 0, nil
}
