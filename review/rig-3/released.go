package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// slowCloud serves the calls of the platform's machines, whose answers take longer while it is slow.
type slowCloud struct {
	next http.Handler
	slow atomic.Int64
}

// recovery is RecoveryS.
const recovery = 12 * time.Second

// answerTime is how long an answer takes usually.
const answerTime = 4 * time.Millisecond

func (c *slowCloud) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	recorder := &bufferedAnswer{header: http.Header{}}
	c.next.ServeHTTP(recorder, q)
	time.Sleep(answerTime * time.Duration(max(1, c.slow.Load())))
	for k, values := range recorder.header {
		rw.Header()[k] = values
	}
	rw.WriteHeader(max(recorder.status, http.StatusOK))
	_, _ = rw.Write(recorder.body)
}

type bufferedAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (b *bufferedAnswer) Header() http.Header { return b.header }
func (b *bufferedAnswer) WriteHeader(s int)   { b.status = s }
func (b *bufferedAnswer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}

// serve serves a handler at a free port of loopback and returns its address.
func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String(), nil
}

// releasedPool: the platform's answers about machines are slow for five seconds while a pool returns the machines that a burst of jobs has needed.
func releasedPool(f *fleet, trouble bool) (bool, error) {
	f.platform.Pools, f.platform.Standby = map[string]int{"fitdesk": 3, "ledgerhall": 11}, "ledgerhall"
	f.platform.Capacity = wire.Resources{CPU: 64000, MemMb: 128000}
	var cloud *slowCloud
	f.prepare = func() error {
		target, err := url.Parse("http://" + f.platform.CloudAddr.String())
		if err != nil {
			return err
		}
		cloud = &slowCloud{next: httputil.NewSingleHostReverseProxy(target)}
		f.cloud, err = serve(cloud)
		return err
	}
	pools := []wire.Service{{Name: "fitdesk", AdmissionCheck: true}, {Name: "ledgerhall", AdmissionCheck: true, Standby: true}}
	if err := f.start(3, []wire.Route{route("kept", "/kept/")}, pools); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if done, total := f.jobs("aaaa", 3, 1, 400*time.Millisecond, 10*time.Second); done != total {
		return false, fmt.Errorf("%d of %d first jobs are done", done, total)
	}
	for round := 0; round < rounds && f.workers() > 0; round++ {
		f.burst(round, cloud, trouble)
	}
	f.note("%d workers are registered", f.workers())
	// The final fault: all processes are killed and start again.
	for _, n := range f.nodes {
		f.kill(n)
	}
	time.Sleep(time.Second)
	for _, n := range f.nodes {
		if err := f.run(n); err != nil {
			return false, err
		}
	}
	f.note("all processes were killed and start again")
	time.Sleep(recovery)
	done, total := f.jobs("cccc", 10, 2, 400*time.Millisecond, finish)
	f.note("%d of %d jobs that were sent over %v after the final fault are done; %d workers are registered", done, total, recovery, f.workers())
	fmt.Println(done, "of", total, "jobs are done")
	return 4*done >= total && total > 0, nil
}

// rounds is how many bursts there are at most.
const rounds = 3

// burst sends jobs that need 12 machines. After it the pool returns machines, with trouble while the answers about them are slow.
func (f *fleet) burst(round int, cloud *slowCloud, trouble bool) {
	f.note("round %d: %d workers are registered before the burst", round, f.workers())
	// 96 tasks of 7 cores need 12 machines.
	done, total := f.jobs(fmt.Sprintf("b%03x", round), 12, 8, 2*time.Second, 20*time.Second)
	f.note("burst: %d of %d jobs are done; %d workers are registered", done, total, f.workers())
	// Nine tasks of seven cores fit on a worker, so that all tasks of the last job begin and end at about the same time.
	tasks := 9 * f.workers()
	done, total = f.jobs(fmt.Sprintf("d%03x", round), 1, tasks, 1500*time.Millisecond, 20*time.Second)
	f.note("a job of %d tasks: %d of %d done; %d workers are registered", tasks, done, total, f.workers())
	if trouble {
		cloud.slow.Store(50)
		f.note("answers about machines take 50 times as long")
	}
	time.Sleep(5 * time.Second)
	cloud.slow.Store(1)
	f.note("5 s after the burst %d workers are registered; answers take as long as before", f.workers())
	time.Sleep(5 * time.Second)
}

// workers returns the number of registered workers.
func (f *fleet) workers() int {
	registered := 0
	for i := range 400 {
		if _, ok := f.platform.Store.Get(fmt.Sprintf("%sw-%04d", wire.PrefixWorkers, i)); ok {
			registered++
		}
	}
	return registered
}

// jobs submits jobs and waits until all are completed, for at most a time after the last one was accepted; it returns how many of the accepted ones are.
func (f *fleet) jobs(prefix string, n, tasks int, runTime, within time.Duration) (done, total int) {
	var ids []string
	for i := range n {
		id := fmt.Sprintf("%s%012x", prefix, i)
		j := &standin.Job{ID: id, RunTime: runTime, Job: wire.Job{Spec: "spec " + id, Steps: []wire.Step{{Count: tasks, CPU: 7000, MemMb: 64, EstimateMs: float64(runTime.Milliseconds())}}}}
		f.platform.AddJob(j, 4)
		status, _ := f.call(f.nodes[i%len(f.nodes)], http.MethodPost, "/kept/"+id, j.Job)
		f.note("POST /kept/%s -> %d", id, status)
		if status == http.StatusOK {
			ids = append(ids, id)
		}
	}
	completed := map[string]bool{}
	for end := time.Now().Add(within); time.Now().Before(end) && len(completed) < len(ids); time.Sleep(100 * time.Millisecond) {
		for i, id := range ids {
			if completed[id] {
				continue
			}
			status, body := f.call(f.nodes[i%len(f.nodes)], http.MethodGet, "/kept/"+id, nil)
			if status == http.StatusOK && string(body) == `{"State":"completed"}` {
				completed[id] = true
			}
		}
	}
	for i, id := range ids {
		if !completed[id] {
			status, body := f.call(f.nodes[i%len(f.nodes)], http.MethodGet, "/kept/"+id, nil)
			f.note("broken: job %s was accepted and is not done %v later: %d %s", id, within, status, body)
		}
	}
	return len(completed), len(ids)
}
