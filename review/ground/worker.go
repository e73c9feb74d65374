package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type step struct {
	Count         int
	Cpu, MemMb    int64
	EstimateMs    int64  `json:",omitempty"`
	RequiredLabel string `json:",omitempty"`
	MaxPerServer  int    `json:",omitempty"`
	LongRunning   bool   `json:",omitempty"`
	MayMiss       int    `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Gang          bool   `json:",omitempty"`
}

// job is a job as a client hands it in. Spec holds how long a task runs, in milliseconds.
type job struct {
	Spec                    string
	Steps                   []step
	Times                   int   `json:",omitempty"`
	IntervalMs, StartTimeMs int64 `json:",omitempty"`

	id, pool string
	accepted time.Time
	begun    bool
	// together lets all tasks end at one time, that of a full run of the first one; endsAt is that time.
	together                                bool
	endsAt                                  time.Time
	cancelled, cancelSent, refused, lasting bool
	cancelledAt                             time.Time
	failShare                               float64
}

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6 * time.Second
	noticeMs  = 4500 * time.Millisecond
	// startup is how long a task that lasts needs until it is at work.
	startup = 300 * time.Millisecond
)

type run struct {
	task     string
	n        int
	started  time.Time
	due      time.Time
	fails    bool
	gangWait bool
	step     *step
	job      *job
}

func (r *run) percent(now time.Time) int {
	if r.step.LongRunning {
		if now.Sub(r.started) >= startup {
			return 100
		}
		return 10
	}
	return min(99, int(100*now.Sub(r.started)/max(1, r.due.Sub(r.started))))
}

type end struct {
	n    int64
	task string
	run  int
	how  string
	// lapsed is true if the worker's lease lapsed after the end, or a new incarnation began.
	lapsed bool
}

// worker is one life of a machine; a restart under the same id begins a new incarnation.
type worker struct {
	w       *world
	id      string
	m       *machine
	addr    string
	kind    string
	started time.Time
	// clock began before the life: a worker's clock does not start at 0.
	clockBase time.Time
	fence     uint64
	leaseEnd  time.Duration
	runs      map[string]*run
	ended     []end
	last      int64
	lastRun   map[string]int
	changed   chan struct{}
	up        bool
	// refuses answers starts with 503, as an unhealthy worker does.
	refuses                 bool
	silent, fails, beatless bool
	rate                    float64
	server                  *http.Server
	conns                   map[net.Conn]bool
	lastBeat                time.Time
	seq                     int64
	gone                    bool
}

func (k *worker) clock() time.Duration {
	return time.Duration(float64(time.Since(k.clockBase)) * k.rate)
}

// newWorker starts a worker on a machine; the lock of the world is held.
func (w *world) newWorker(m *machine) *worker {
	w.lastWorker++
	k := &worker{w: w, id: fmt.Sprintf("i-%04d", w.lastWorker), m: m, kind: "a", conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("listen: %v", err)
	}
	k.addr = l.Addr().String()
	k.begin()
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve), ConnState: func(c net.Conn, s http.ConnState) {
		w.connMu.Lock()
		defer w.connMu.Unlock()
		if s == http.StateNew {
			k.conns[c] = true
		} else if s == http.StateClosed || s == http.StateHijacked {
			delete(k.conns, c)
		}
	}}
	go func() { _ = k.server.Serve(l) }()
	m.worker = k
	w.workers = append(w.workers, k)
	w.say("worker %s begins on %s in %s at %s, kind %s", k.id, m.id, m.pool, k.addr, k.kind)
	return k
}

// dropRuns ends all runs without a report.
func (k *worker) dropRuns() {
	runs := k.runs
	k.runs = map[string]*run{}
	for _, r := range runs {
		if r.step.Gang {
			k.w.breakGang(r)
		}
	}
}

// begin begins an incarnation: it knows nothing of before.
func (k *worker) begin() {
	k.dropRuns()
	k.started = time.Now()
	k.clockBase = k.started.Add(-time.Second)
	k.fence, k.leaseEnd, k.runs, k.ended, k.last, k.lastRun = 0, 0, map[string]*run{}, nil, 0, map[string]int{}
	k.changed = make(chan struct{})
	k.up, k.seq, k.rate = true, 0, 1
	if k.w.soak {
		k.rate = 0.98 + 0.02*k.w.rnd()
	}
	k.register()
}

// register writes the registration, unless the worker is cut off from the store.
func (k *worker) register() {
	if k.beatless {
		return
	}
	k.gone = false
	k.seq++
	k.lastBeat = time.Now()
	k.w.kv.put("servers/"+k.id, map[string]any{
		"Backend": k.m.pool, "Address": k.addr, "Zone": "z1", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": k.seq,
		"Machine": k.m.id, "Capacity": map[string]any{"Cpu": k.m.cpu, "MemMb": k.m.mem, "Gpu": 0}, "Labels": []string{k.kind, k.m.rack},
		"born": k.started.UnixMilli(),
	})
}

// die ends the life and everything that runs; the registration stays until three heartbeats are missing.
func (k *worker) die() {
	k.up = false
	k.dropRuns()
	k.closeAll()
}

func (k *worker) closeAll() {
	k.w.connMu.Lock()
	defer k.w.connMu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
	clear(k.conns)
}

// tick ends what is due, and writes heartbeats; the lock of the world is held.
func (k *worker) tick(now time.Time) {
	if !k.gone && now.Sub(k.lastBeat) >= 3*heartbeat {
		k.gone = true
		k.w.kv.drop("servers/" + k.id)
	}
	if !k.up {
		return
	}
	if now.Sub(k.lastBeat) >= heartbeat {
		k.register()
	}
	if k.clock() > k.leaseEnd {
		for i := range k.ended {
			k.ended[i].lapsed = true
		}
	}
	for _, r := range k.runs {
		switch {
		case k.clock() > k.leaseEnd:
			k.finish(r, "lapsed")
		case r.gangWait:
			k.w.tickGang(k, r, now)
		case !r.step.LongRunning && now.After(r.due) && r.fails:
			k.finish(r, "failed")
		case !r.step.LongRunning && now.After(r.due):
			k.finish(r, "done")
		}
	}
}

func (k *worker) finish(r *run, how string) {
	delete(k.runs, r.task)
	k.last++
	k.ended = append(k.ended, end{k.last, r.task, r.n, how, false})
	k.w.runEnded(k, r, how)
	k.w.say("run %s/%d ends %s on %s (%s)", r.task, r.n, how, k.id, k.m.id)
	close(k.changed)
	k.changed = make(chan struct{})
}

type order struct {
	Task                              string
	Run                               int
	Spec                              string
	DeadlineMs, AckedUntil, WaitMs    int64
	Fence                             uint64
	Percent                           *int
	Machine, Pool, Checkpoint, Ticket string
	Wave                              json.RawMessage
}

func (k *worker) answer(reason string) map[string]any {
	a := map[string]any{"ClockMs": k.clock().Milliseconds(), "born": k.started.UnixMilli()}
	if reason != "" {
		a["Reason"] = reason
	}
	return a
}

func (k *worker) serve(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, 400, nil)
		return
	}
	w := k.w
	w.mu.Lock()
	if !k.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if t := r.Header.Get("Target-Instance"); t != "" && t != k.id {
		w.mu.Unlock()
		reply(rw, 421, nil)
		return
	}
	k.tick(time.Now())
	if w.soak && w.disturbOrder(k, rw, r, o) {
		return
	}
	if o.Fence < k.fence {
		a := k.answer("fence")
		w.mu.Unlock()
		reply(rw, 409, a)
		return
	}
	k.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := k.start(o)
		a := k.answer(reason)
		w.mu.Unlock()
		if status == 503 {
			reply(rw, 503, nil)
			return
		}
		reply(rw, status, a)
		return
	case "/api/run-stop":
		k.lastRun[o.Task] = max(k.lastRun[o.Task], o.Run)
		if x := k.runs[o.Task]; x != nil && x.n == o.Run {
			w.orderEnds(k, x, "stop")
			k.finish(x, "stopped")
		}
	case "/api/pace":
	case "/api/hold":
		k.extend(o.DeadlineMs)
		k.acknowledge(o.AckedUntil)
		if len(k.ended) == 0 && o.WaitMs > 0 {
			changed, started := k.changed, k.started
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
			case <-r.Context().Done():
			}
			w.mu.Lock()
			if !k.up || !k.started.Equal(started) {
				w.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			k.tick(time.Now())
		}
		a := k.answer("")
		running, ended := [][]any{}, [][]any{}
		for _, x := range k.runs {
			running = append(running, []any{x.task, x.n, "", x.percent(time.Now()), 0})
		}
		for _, e := range k.ended[:min(len(k.ended), 500)] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
		a["Running"], a["Ended"] = running, ended
		w.mu.Unlock()
		reply(rw, 200, a)
		return
	default:
		w.mu.Unlock()
		reply(rw, 404, nil)
		return
	}
	a := k.answer("")
	lose := w.soak && w.rnd() < w.f.lostAns
	w.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(rw, 200, a)
}

func (k *worker) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, k.clock()+maxHold)
	k.leaseEnd = max(k.leaseEnd, until)
}

func (k *worker) start(o order) (int, string) {
	w := k.w
	if time.Duration(o.DeadlineMs)*time.Millisecond < k.clock() {
		return 409, "late"
	}
	if x := k.runs[o.Task]; x != nil && x.n == o.Run {
		k.extend(o.DeadlineMs)
		return 200, ""
	}
	if k.refuses {
		w.say("worker %s answers 503 to the start of %s/%d", k.id, o.Task, o.Run)
		return 503, ""
	}
	k.extend(o.DeadlineMs)
	if o.Run <= k.lastRun[o.Task] {
		return 409, "old"
	}
	part := strings.Split(o.Task, ".")
	j := w.jobs[part[0]]
	if j == nil || len(part) != 4 {
		w.breaks("UNASKED", "%s starts on %s, which no client sent", o.Task, k.id)
		return 409, "room"
	}
	n, _ := strconv.Atoi(part[2])
	s := &j.Steps[n]
	cpu, mem := s.Cpu, s.MemMb
	for _, x := range k.runs {
		cpu, mem = cpu+x.step.Cpu, mem+x.step.MemMb
	}
	if cpu > k.m.cpu || mem > k.m.mem {
		return 409, "room"
	}
	for _, other := range w.workers {
		if other.up && other.runs[o.Task] != nil {
			w.breaks("TWICE", "%s starts on %s while it runs on %s", o.Task, k.id, other.id)
		}
	}
	if s.RequiredLabel != "" && s.RequiredLabel != k.kind && s.RequiredLabel != k.m.rack {
		w.breaks("ROUTE", "%s/%d, whose step has RequiredLabel %s, starts on %s, which has the labels %s and %s since it began, %v before",
			o.Task, o.Run, s.RequiredLabel, k.id, k.kind, k.m.rack, time.Since(k.started).Round(time.Millisecond))
	}
	ms, _ := strconv.Atoi(j.Spec)
	now := time.Now()
	due := now.Add(time.Duration(ms) * time.Millisecond)
	if j.endsAt.IsZero() {
		j.endsAt = due
	}
	if j.together {
		due = j.endsAt
	}
	k.lastRun[o.Task] = o.Run
	k.runs[o.Task] = &run{task: o.Task, n: o.Run, started: now, due: due, step: s, job: j}
	j.begun = true
	w.checkStart(k, o, j, n, s)
	w.say("run %s/%d starts on %s (%s in %s)", o.Task, o.Run, k.id, k.m.id, k.m.pool)
	return 200, ""
}
