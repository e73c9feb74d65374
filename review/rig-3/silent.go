package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const (
	// stableWindow is StableWindowMs, configBound is ConfigMs. Requests are judged margin later than both.
	stableWindow = 3 * time.Second
	configBound  = 2 * time.Second
	margin       = 50 * time.Millisecond
	// judged is for how long requests are sent to the dropped route after the bounds.
	judged = 1500 * time.Millisecond
)

var services = []wire.Service{{Name: "fitdesk", AdmissionCheck: true}}

func route(name, prefix string) wire.Route {
	return wire.Route{Name: name, Hostname: host, Prefix: prefix, Type: "jobs", Backend: "fitdesk", MaxAttempts: 4, Stretch: 1.6, TargetDurationMs: 600}
}

func (f *fleet) newJob(id string) *standin.Job {
	j := &standin.Job{ID: id, RunTime: 100 * time.Millisecond, Job: wire.Job{Spec: "spec " + id, Steps: []wire.Step{{Count: 1, CPU: 100, MemMb: 16, EstimateMs: 100}}}}
	f.platform.AddJob(j, 4)
	return j
}

// crowd sends jobs to each node, a number of them at a time.
func (f *fleet) crowd(round int, prefix string, atOnce, each int) {
	var group sync.WaitGroup
	for i, n := range f.nodes {
		for c := range atOnce {
			group.Go(func() {
				for r := range each {
					id := fmt.Sprintf("a%03x%04x%04x%04x", round, i, c, r)
					j := f.newJob(id)
					f.call(n, http.MethodPost, prefix+id, j.Job)
				}
			})
		}
	}
	group.Wait()
}

// request is a job that was sent to a dropped route.
type request struct {
	node, id string
	sent     time.Time
	status   int
}

// silentConnections: in each round a route is added and dropped. With trouble all open connections of the system go silent shortly before it is
// dropped, while new ones work.
func silentConnections(f *fleet, trouble bool) (bool, error) {
	const rounds = 9
	kept := route("kept", "/kept/")
	if err := f.start(5, []wire.Route{kept}, services); err != nil {
		return false, err
	}
	broken := 0
	for round := range rounds {
		prefix := fmt.Sprintf("/dropped-%d/", round)
		f.configure(int64(2*round+2), []wire.Route{kept, route(fmt.Sprintf("dropped-%d", round), prefix)}, services)
		f.crowd(round, "/kept/", 16, 6)
		// The rounds meet different phases of the watches.
		time.Sleep(2500*time.Millisecond + time.Duration(round)*220*time.Millisecond)
		broken += f.dropRoute(round, prefix, kept, trouble)
		time.Sleep(time.Second)
	}
	f.note("%d jobs were accepted for a dropped route after the bounds and have run", broken)
	for _, v := range f.platform.Violations() {
		f.note("stand-in: %s", v)
	}
	return broken == 0, nil
}

// dropRoute drops a route and returns how many jobs that were sent to it after the bounds have run.
func (f *fleet) dropRoute(round int, prefix string, kept wire.Route, trouble bool) int {
	silenced := time.Time{}
	if trouble {
		n := 0
		for _, p := range f.proxies {
			n += p.silence()
		}
		silenced = time.Now()
		f.note("round %d: %d open connections are silent; new ones work", round, n)
	}
	time.Sleep(300 * time.Millisecond)
	version := int64(2*round + 3)
	f.configure(version, []wire.Route{kept}, services)
	acked := time.Now()
	f.note("round %d: version %d acknowledged, without %s", round, version, prefix)
	from := acked.Add(configBound)
	if inTouch := silenced.Add(stableWindow); inTouch.After(from) {
		from = inTouch
	}
	from = from.Add(margin)
	time.Sleep(time.Until(from))
	var mu sync.Mutex
	var requests []request
	var group sync.WaitGroup
	for i, n := range f.nodes {
		group.Go(func() {
			for r := 0; time.Now().Before(from.Add(judged)); r++ {
				id := fmt.Sprintf("d%03x%04x%08x", round, i, r)
				j := f.newJob(id)
				sent := time.Now()
				status, _ := f.call(n, http.MethodPost, prefix+id, j.Job)
				f.note("%s: POST %s%s -> %d", n.name, prefix, id, status)
				mu.Lock()
				requests = append(requests, request{n.name, id, sent, status})
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	broken := 0
	for _, q := range requests {
		began := f.platform.FirstStart(q.id)
		if q.status != http.StatusOK || began.IsZero() {
			continue
		}
		broken++
		f.note("broken: %s, sent to %s %.2f s after the acknowledgement (ConfigMs %v) and, if there was trouble, %.2f s after the silence (StableWindowMs %v), was answered 200 and began to run",
			q.id, q.node, q.sent.Sub(acked).Seconds(), configBound, q.sent.Sub(silenced).Seconds(), stableWindow)
	}
	return broken
}
