package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax  = 6000 * time.Millisecond
	stopTime = 50 * time.Millisecond
	// endsPerAnswer is how many ends a worker lists at a time.
	endsPerAnswer = 500
	heartbeat     = 1500 * time.Millisecond
	// startup is how long a task that lasts takes until it is at work.
	startup = 900 * time.Millisecond
)

type resources struct{ Cpu, MemMb, Gpu int64 }

type step struct {
	Count         int
	Cpu           int64   `json:",omitempty"`
	MemMb         int64   `json:",omitempty"`
	EstimateMs    float64 `json:",omitempty"`
	After         []int   `json:",omitempty"`
	MaxPerServer  int     `json:",omitempty"`
	LongRunning   bool    `json:",omitempty"`
	RequiredLabel string  `json:",omitempty"`
	MayMiss       int     `json:",omitempty"`
}

type jobBody struct {
	Spec        string
	Steps       []step
	Times       int   `json:",omitempty"`
	StartTimeMs int64 `json:",omitempty"`
	IntervalMs  int64 `json:",omitempty"`
}

// job is what a client sends, and how its tasks behave on a worker.
type job struct {
	jobBody
	id string
	// work is how long a run takes; failures is how many of the first runs of each task fail, after the time failAfter.
	work      time.Duration
	failures  int
	failAfter time.Duration
}

type run struct {
	task     string
	number   int
	job      *job
	step     *step
	began    time.Time
	stopping time.Time
	start    *start
}

type endRow struct {
	number int64
	task   string
	run    int
	how    string
	start  *start
}

// worker is one life of a machine.
type worker struct {
	fleet    *fleet
	id       string
	machine  string
	pool     string
	rack     string
	addr     string
	capacity resources
	born     time.Time
	fence    uint64
	lease    time.Duration
	runs     map[string]*run
	lastRun  map[string]int
	ended    []endRow
	lastEnd  int64
	seq      int64
	changed  chan struct{}
	server   *http.Server
	// life counts the starts of the worker; orders of an earlier life are not carried out.
	life int
	down bool
	// cut workers run on, and nothing reaches them or comes from them.
	cut bool
	// held is true once a hold has arrived in this life.
	held bool
}

// start is a task that a worker has begun.
type start struct {
	at     time.Time
	worker string
	pool   string
	task   string
	run    int
	ended  time.Time
	how    string
	// noted is when the end was taken note of.
	noted time.Time
}

// fleet holds the workers, the jobs and what the workers have seen.
type fleet struct {
	mu      sync.Mutex
	store   *store
	record  *record
	workers map[string]*worker
	jobs    map[string]*job
	starts  []*start
	failed  map[string]int
	next    int
}

func newFleet(s *store, r *record) *fleet {
	f := &fleet{store: s, record: r, workers: map[string]*worker{}, jobs: map[string]*job{}, failed: map[string]int{}}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			f.mu.Lock()
			f.advance()
			f.mu.Unlock()
		}
	}()
	return f
}

func (f *fleet) addWorker(pool, rack string, capacity resources) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	w := &worker{
		fleet: f, id: fmt.Sprintf("i-%04d", f.next), machine: fmt.Sprintf("m-%04d", f.next), pool: pool, rack: rack, capacity: capacity,
		born: time.Now(), runs: map[string]*run{}, lastRun: map[string]int{}, changed: make(chan struct{}),
	}
	w.server, w.addr = serve(w.handler())
	f.workers[w.id] = w
	w.beat()
	go func() {
		for range time.Tick(heartbeat) {
			f.mu.Lock()
			if !w.down && !w.cut {
				w.beat()
			}
			f.mu.Unlock()
		}
	}()
	return w
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) beat() {
	w.seq++
	w.fleet.store.put("servers/"+w.id, map[string]any{
		"Backend": w.pool, "Address": w.addr, "Zone": "seatac", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Machine": w.machine,
		"Capacity": w.capacity, "Labels": []string{"a", w.rack}, "ClockMs": w.clock().Milliseconds(), "Seq": w.seq, "born": w.born.UnixMilli(),
	})
}

// handler answers the orders of the present life.
func (w *worker) handler() http.Handler {
	life := w.life
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, life) })
}

// crash ends the worker's process with all that it runs and knows.
func (w *worker) crash() {
	f := w.fleet
	f.mu.Lock()
	f.record.note("worker %s crashes", w.id)
	w.life++
	w.down, w.held = true, false
	for _, x := range w.runs {
		x.start.ended, x.start.how = time.Now(), "crashed"
	}
	w.runs, w.lastRun, w.ended, w.lastEnd, w.fence, w.lease, w.seq = map[string]*run{}, map[string]int{}, nil, 0, 0, 0, 0
	server := w.server
	f.mu.Unlock()
	_ = server.Close()
}

// restart starts the worker again under its id and at its address; it registers after a delay.
func (w *worker) restart(delay time.Duration) {
	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		unable("%v", err)
	}
	f := w.fleet
	f.mu.Lock()
	w.born, w.down = time.Now(), false
	w.server = &http.Server{Handler: w.handler()}
	server := w.server
	f.record.note("worker %s starts again", w.id)
	f.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	if delay > 0 {
		time.Sleep(delay)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.down && !w.cut {
		w.beat()
	}
}

// setCut cuts the worker off from everything, or connects it again.
func (w *worker) setCut(cut bool) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.cut = cut
	f.record.note("worker %s is cut off: %v", w.id, cut)
	if !cut {
		w.beat()
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request, life int) {
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o struct {
		Task, Spec                     string
		Run                            int
		DeadlineMs, AckedUntil, WaitMs int64
		Fence                          uint64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	if w.cut {
		f.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if w.life != life {
		f.mu.Unlock()
		return
	}
	f.advance()
	if o.Fence < w.fence {
		f.mu.Unlock()
		w.answer(rw, http.StatusConflict, "fence")
		return
	}
	w.fence = o.Fence
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, w.clock()+holdMax)
	switch r.URL.Path {
	case "/api/run-start":
		reason := w.start(o.Task, o.Run, o.Spec, deadline)
		f.mu.Unlock()
		if reason != "" {
			f.record.note("worker %s refuses the start of %s run %d: %s", w.id, o.Task, o.Run, reason)
			w.answer(rw, http.StatusConflict, reason)
			return
		}
		w.answer(rw, http.StatusOK, "")
	case "/api/run-stop":
		w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
		if x := w.runs[o.Task]; x != nil && x.number == o.Run && x.stopping.IsZero() {
			x.stopping = time.Now()
		}
		f.mu.Unlock()
		w.answer(rw, http.StatusOK, "")
	case "/api/pace":
		f.mu.Unlock()
		w.answer(rw, http.StatusOK, "")
	case "/api/hold":
		w.lease = max(w.lease, deadline)
		if !w.held {
			w.held = true
			f.record.note("worker %s: the first hold of this life, AckedUntil %d", w.id, o.AckedUntil)
		}
		kept := w.ended[:0]
		for _, e := range w.ended {
			if e.number > o.AckedUntil {
				kept = append(kept, e)
			} else {
				f.record.note("worker %s: the end %d %q of %s run %d is taken note of, AckedUntil %d", w.id, e.number, e.how, e.task, e.run, o.AckedUntil)
				e.start.noted = time.Now()
			}
		}
		w.ended = kept
		changed, empty := w.changed, len(w.ended) == 0
		f.mu.Unlock()
		if empty && o.WaitMs > 0 {
			select {
			case <-changed:
			case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		f.mu.Lock()
		if w.life != life || w.cut {
			f.mu.Unlock()
			return
		}
		f.advance()
		body := w.lists()
		f.mu.Unlock()
		reply(rw, http.StatusOK, body)
	default:
		f.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	reply(rw, status, body)
}

func (w *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := 0
		switch {
		case x.step.LongRunning && time.Since(x.began) > startup:
			percent = 100
		case !x.step.LongRunning:
			percent = min(99, int(100*time.Since(x.began)/max(1, x.job.work)))
		}
		running = append(running, []any{x.task, x.number, "", percent, 0})
	}
	for _, e := range w.ended[:min(endsPerAnswer, len(w.ended))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
}

func (w *worker) start(task string, number int, spec string, deadline time.Duration) string {
	f := w.fleet
	if deadline < w.clock() {
		return "late"
	}
	if x := w.runs[task]; x != nil && x.number == number {
		return ""
	}
	w.lease = max(w.lease, deadline)
	if number <= w.lastRun[task] {
		return "old"
	}
	parts := strings.Split(task, ".")
	j := f.jobs[parts[0]]
	stepNumber, _ := strconv.Atoi(parts[2])
	if j == nil || j.Spec != spec {
		f.record.note("UNASKED: worker %s is told to start %s", w.id, task)
		return "room"
	}
	s := &j.Steps[stepNumber]
	used := resources{s.Cpu, s.MemMb, 0}
	for _, x := range w.runs {
		used.Cpu, used.MemMb = used.Cpu+x.step.Cpu, used.MemMb+x.step.MemMb
	}
	if used.Cpu > w.capacity.Cpu || used.MemMb > w.capacity.MemMb {
		return "room"
	}
	w.lastRun[task] = number
	x := &run{task: task, number: number, job: j, step: s, began: time.Now()}
	w.runs[task] = x
	x.start = &start{at: time.Now(), worker: w.id, pool: w.pool, task: task, run: number}
	f.starts = append(f.starts, x.start)
	f.record.note("worker %s (%s) starts %s run %d, fence %d", w.id, w.pool, task, number, w.fence)
	return ""
}

func (w *worker) end(x *run, how string) {
	delete(w.runs, x.task)
	w.lastEnd++
	x.start.ended, x.start.how = time.Now(), how
	w.ended = append(w.ended, endRow{w.lastEnd, x.task, x.number, how, x.start})
	w.fleet.record.note("worker %s: %s run %d ends %q", w.id, x.task, x.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// advance begins and ends the runs that are due; the lock must be held.
func (f *fleet) advance() {
	for _, w := range f.workers {
		for _, x := range w.runs {
			switch {
			case w.clock() > w.lease:
				w.end(x, "lapsed")
			case !x.stopping.IsZero() && time.Since(x.stopping) >= stopTime:
				w.end(x, "stopped")
			case x.step.LongRunning:
			case f.failed[x.task] < x.job.failures && time.Since(x.began) >= x.job.failAfter:
				f.failed[x.task]++
				w.end(x, "failed")
			case f.failed[x.task] >= x.job.failures && time.Since(x.began) >= x.job.work:
				w.end(x, "done")
			}
		}
	}
}

// addJob makes a job's behaviour known to the workers.
func (f *fleet) addJob(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// startsOf returns a copy of the starts of a job's tasks.
func (f *fleet) startsOf(id string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []start
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, id+".") {
			list = append(list, *s)
		}
	}
	return list
}

// usage returns the CPU in use and the capacity of a pool, and the largest free CPU of one of its workers.
func (f *fleet) usage(pool string) (used, capacity, free int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.pool != pool {
			continue
		}
		here := int64(0)
		for _, x := range w.runs {
			here += x.step.Cpu
		}
		used, capacity, free = used+here, capacity+w.capacity.Cpu, max(free, w.capacity.Cpu-here)
	}
	return used, capacity, free
}

// serveMachines answers the calls about machines; it accepts no orders, since no case needs them.
func (f *fleet) serveMachines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		reply(w, http.StatusConflict, map[string]string{"Reason": "busy"})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, x := range f.workers {
		list = append(list, map[string]any{
			"Machine": x.machine, "Pool": x.pool, "State": "up", "Zone": "seatac", "Labels": []string{"a", x.rack}, "Capacity": x.capacity, "Id": x.id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"Machines": list, "NextToken": nil})
}
