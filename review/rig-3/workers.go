package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/platform/wire"
)

// world holds workers that follow the protocol, the jobs that clients sent, and checks each start.
type world struct {
	mu      sync.Mutex
	workers []*worker
	jobs    map[string]*job
	tasks   map[string]*taskState
	gangs   map[string]*gang
	broken  []string
	counts  map[string]int
	note    func(string, ...any)
	put     func(key string, value any)
	remove  func(key string)
	proxy   func(addr, target string) (*proxy, error)
	random  *rand.Rand
	guard   bool
	advice  *advice
	stopped bool
}

type job struct {
	wire.Job
	id        string
	cancelled time.Time
	accepted  time.Time
	completed time.Time
	runTime   time.Duration
	failShare float64
	attempts  int
}

type taskState struct {
	live   []*run
	done   []*ended
	failed []*ended
	// points holds the checkpoints of the task, or of its gang.
	points map[string]bool
	// starts are those after an end; they break a rule once that end is taken note of.
	starts []startNote
}

type startNote struct {
	at   time.Time
	text string
}

type ended struct {
	worker *worker
	life   int
	n      int64
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
	acked  bool
	lapses int
}

type gang struct{ started time.Time }

type run struct {
	task      string
	run       int
	worker    *worker
	job       *job
	step      *wire.Step
	began     time.Time
	fails     bool
	stopAt    time.Time
	point     string
	waitSince time.Time
}

type worker struct {
	world   *world
	id      string
	machine string
	rack    string
	labels  []string
	cap     wire.Resources
	addr    string
	pool    string
	born    time.Time
	life    int
	fence   uint64
	lease   time.Duration
	runs    map[string]*run
	last    map[string]int
	ends    []*ended
	nextEnd int64
	acked   int64
	lapses  int
	changed chan struct{}
	dark    bool
	seq     int64
	unheard bool
	gone    bool
}

const (
	holdMax     = 6 * time.Second
	gangTimeout = 3 * time.Second
)

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) register() {
	w.seq++
	if w.unheard {
		return
	}
	w.world.put(wire.PrefixWorkers+w.id, wire.Worker{
		Backend: w.pool, Address: w.addr, Zone: "z1", Version: "v1", Slots: 8, State: "ready", Machine: w.machine, Capacity: w.cap,
		Labels: append(append([]string{}, w.labels...), w.rack), Born: w.born.UnixMilli(), Seq: w.seq,
	})
}

func (v *world) breakRule(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	v.broken = append(v.broken, text)
	v.note("BROKEN %s", text)
}

func split(task string) (id string, k, s, i int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return task, 0, 0, 0
	}
	k, _ = strconv.Atoi(p[1])
	s, _ = strconv.Atoi(p[2])
	i, _ = strconv.Atoi(p[3])
	return p[0], k, s, i
}

func (v *world) task(name string) *taskState {
	t := v.tasks[name]
	if t == nil {
		t = &taskState{points: map[string]bool{}}
		v.tasks[name] = t
	}
	return t
}

func (v *world) addWorker(pool string, i int, labels ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	behind, err := v.proxy("", l.Addr().String())
	if err != nil {
		return err
	}
	w := &worker{
		world: v, id: fmt.Sprintf("w-%s-%d", pool, i), machine: fmt.Sprintf("m-%s-%d", pool, i), rack: fmt.Sprintf("r%d", i/2), labels: labels,
		cap: wire.Resources{CPU: 8000, MemMb: 16000}, addr: behind.addr, pool: pool,
	}
	w.birth()
	v.workers = append(v.workers, w)
	go func() { _ = (&http.Server{Handler: w}).Serve(l) }()
	w.register()
	return nil
}

func (w *worker) birth() {
	w.born = time.Now()
	w.life++
	w.fence, w.lease, w.nextEnd, w.acked = 0, 0, 0, 0
	w.runs, w.last, w.ends, w.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
}

func (w *worker) drop(r *run) {
	delete(w.runs, r.task)
	t := w.world.task(r.task)
	for i, x := range t.live {
		if x == r {
			t.live = append(t.live[:i:i], t.live[i+1:]...)
			break
		}
	}
}

func (w *worker) end(r *run, how string) {
	w.drop(r)
	w.nextEnd++
	e := &ended{worker: w, life: w.life, n: w.nextEnd, task: r.task, run: r.run, how: how, saved: r.point, at: time.Now(), lapses: w.lapses}
	w.ends = append(w.ends, e)
	w.last[r.task] = max(w.last[r.task], r.run)
	w.world.counts[how]++
	t := w.world.task(r.task)
	switch how {
	case "done":
		t.done = append(t.done, e)
	case "failed":
		t.failed = append(t.failed, e)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (v *world) members(r *run) (present []*run, all bool) {
	id, k, s, _ := split(r.task)
	all = true
	for i := range r.step.Count {
		found := false
		for _, x := range v.task(fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)).live {
			if x.run == r.run {
				present = append(present, x)
				found = true
			}
		}
		all = all && found
	}
	return present, all
}

// breakGang ends the other members of a gang that was working.
func (v *world) breakGang(r *run, how string) {
	if !r.step.Gang {
		return
	}
	id, k, s, _ := split(r.task)
	key := fmt.Sprintf("%s.%d.%d/%d", id, k, s, r.run)
	if v.gangs[key] == nil {
		return
	}
	for i := range r.step.Count {
		for _, x := range v.task(fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)).live {
			if x != r && x.run == r.run {
				x.worker.end(x, "broken")
			}
		}
	}
}

// tick ends what is due.
func (v *world) tick() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, w := range v.workers {
		if len(w.runs) > 0 && w.clock() > w.lease {
			w.lapses++
			for _, r := range w.runs {
				w.end(r, "lapsed")
				v.breakGang(r, "lapsed")
			}
		}
		for _, r := range w.runs {
			if w.runs[r.task] != r {
				continue
			}
			if !r.stopAt.IsZero() {
				if now.After(r.stopAt) {
					w.end(r, "stopped")
					v.breakGang(r, "stopped")
				}
				continue
			}
			began := r.began
			if r.step.Gang {
				id, k, s, _ := split(r.task)
				key := fmt.Sprintf("%s.%d.%d/%d", id, k, s, r.run)
				g := v.gangs[key]
				if g == nil {
					if _, all := v.members(r); all {
						g = &gang{now}
						v.gangs[key] = g
					} else if now.Sub(r.began) > gangTimeout {
						w.end(r, "alone")
						continue
					} else {
						continue
					}
				}
				began = g.started
			}
			if r.step.LongRunning {
				if r.fails && now.Sub(began) > r.job.runTime {
					w.end(r, "failed")
				}
				continue
			}
			worked := now.Sub(began)
			if r.step.Checkpointing {
				if n := int(worked / (200 * time.Millisecond)); n > 0 {
					id, _, _, _ := split(r.task)
					r.point = fmt.Sprintf("%08x%s", int(began.UnixMilli()%100000)*100+n, id[:8])
					v.point(r)
				}
			}
			if r.fails && worked > r.job.runTime/2 {
				w.end(r, "failed")
				v.breakGang(r, "failed")
				continue
			}
			if worked < r.job.runTime {
				continue
			}
			if r.step.Gang {
				members, _ := v.members(r)
				for _, x := range members {
					x.worker.end(x, "done")
				}
				continue
			}
			w.end(r, "done")
		}
	}
}

func (v *world) point(r *run) {
	id, k, s, _ := split(r.task)
	if !r.step.Gang {
		v.task(r.task).points[r.point] = true
		return
	}
	for i := range r.step.Count {
		v.task(fmt.Sprintf("%s.%d.%d.%d", id, k, s, i)).points[r.point] = true
	}
}

// ServeHTTP answers an order.
func (w *worker) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	v := w.world
	var in struct {
		wire.Order
		wire.Hold
		Fence      uint64
		DeadlineMs int64
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	dark, life := w.dark, w.life
	v.mu.Unlock()
	if dark {
		<-q.Context().Done()
		return
	}
	if q.Header.Get(wire.HeaderWorker) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var status int
	var answer any
	v.mu.Lock()
	if w.life != life {
		v.mu.Unlock()
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q.URL.Path == wire.PathHold {
		status, answer = w.hold(q, in.Hold, in.Fence, in.DeadlineMs)
	} else {
		status, answer = w.order(q.URL.Path, in.Order, in.Fence, in.DeadlineMs)
	}
	lost := w.dark || w.life != life
	v.mu.Unlock()
	if lost {
		<-q.Context().Done()
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(answer)
}

func (w *worker) reading(reason string) wire.OrderAnswer {
	return wire.OrderAnswer{ClockMs: w.clock().Milliseconds(), Reason: reason, Born: w.born.UnixMilli()}
}

func (w *worker) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax)
	w.lease = max(w.lease, d)
}

func (w *worker) order(path string, o wire.Order, fence uint64, deadline int64) (int, any) {
	if fence < w.fence {
		return 409, w.reading("fence")
	}
	w.fence = fence
	switch path {
	case wire.PathStop:
		w.last[o.Task] = max(w.last[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.run <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(100 * time.Millisecond)
		}
		return 200, w.reading("")
	case wire.PathStart:
		if time.Duration(deadline)*time.Millisecond < w.clock() {
			return 409, w.reading("late")
		}
		w.extend(deadline)
		if r := w.runs[o.Task]; r != nil && r.run == o.Run {
			return 200, w.reading("")
		}
		if o.Run <= w.last[o.Task] || w.runs[o.Task] != nil {
			return 409, w.reading("old")
		}
		return w.start(o, fence)
	}
	return 200, w.reading("")
}

func (w *worker) used() (u wire.Resources) {
	for _, r := range w.runs {
		if !r.step.Fills {
			u.CPU += r.step.CPU
		}
		u.MemMb += r.step.MemMb
	}
	return u
}

func (w *worker) start(o wire.Order, fence uint64) (int, any) {
	v := w.world
	id, k, s, _ := split(o.Task)
	j := v.jobs[id]
	if j == nil || s >= len(j.Steps) {
		v.breakRule("UNASKED", "%s of no job on %s", o.Task, w.id)
		return 400, w.reading("")
	}
	step := &j.Steps[s]
	if v.advice != nil && !v.advice.valid(o, w) {
		v.counts["ticket"]++
		return 409, w.reading("ticket")
	}
	u := w.used()
	cpu := step.CPU
	if step.Fills {
		cpu = 0
	}
	over := u.CPU+cpu > w.cap.CPU || u.MemMb+step.MemMb > w.cap.MemMb
	if over && v.guard {
		v.counts["room"]++
		return 409, w.reading("room")
	}
	if over {
		v.breakRule("LIMIT", "%s run %d on %s: used %+v, task %d/%d", o.Task, o.Run, w.id, u, step.CPU, step.MemMb)
	}
	v.counts["start"]++
	now := time.Now()
	t := v.task(o.Task)
	if len(t.live) > 0 && !step.Speculative {
		v.breakRule("TWICE", "%s run %d on %s while run %d is on %s", o.Task, o.Run, w.id, t.live[0].run, t.live[0].worker.id)
	}
	if len(t.done) > 0 && !step.Speculative {
		t.starts = append(t.starts, startNote{now, fmt.Sprintf("%s run %d on %s", o.Task, o.Run, w.id)})
		for _, e := range t.done {
			if e.acked {
				v.breakRule("TWICE", "%s run %d on %s after run %d was done on %s and taken note of", o.Task, o.Run, w.id, e.run, e.worker.id)
			}
		}
	}
	noted := map[int]bool{}
	for _, e := range t.failed {
		if e.acked {
			noted[e.run] = true
		}
	}
	if len(noted) >= j.attempts && !step.LongRunning {
		v.breakRule("BUDGET", "%s run %d on %s after %d failed runs", o.Task, o.Run, w.id, len(noted))
	}
	for _, a := range step.After {
		for i := range j.Steps[a].Count {
			if len(v.task(fmt.Sprintf("%s.%d.%d.%d", id, k, a, i)).done) == 0 {
				v.breakRule("ORDER", "%s run %d before step %d", o.Task, o.Run, a)
				break
			}
		}
	}
	if j.Times > 0 {
		due := time.UnixMilli(j.StartTimeMs + int64(k)*j.IntervalMs)
		if now.Before(due.Add(-250 * time.Millisecond)) {
			v.breakRule("ORDER", "%s %v early", o.Task, due.Sub(now))
		}
		if k >= j.Times {
			v.breakRule("UNASKED", "%s of %d times", o.Task, j.Times)
		}
	}
	if step.RequiredLabel != "" {
		ok := false
		for _, l := range append(w.labels, w.rack) {
			ok = ok || l == step.RequiredLabel
		}
		if !ok {
			v.breakRule("ROUTE", "%s on %s without label %s", o.Task, w.id, step.RequiredLabel)
		}
	}
	if step.MaxPerServer > 0 {
		n := 0
		for name := range w.runs {
			jid, jk, js, _ := split(name)
			if jid == id && jk == k && js == s {
				n++
			}
		}
		if n >= step.MaxPerServer {
			v.breakRule("ROUTE", "%s on %s: %d of the step there", o.Task, w.id, n)
		}
	}
	if o.Spec != j.Spec || (o.Checkpoint != "" && !t.points[o.Checkpoint]) {
		v.breakRule("UNASKED", "%s run %d: spec or checkpoint %q", o.Task, o.Run, o.Checkpoint)
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > 3*time.Second {
		v.breakRule("UNASKED", "%s run %d starts %v after its cancel", o.Task, o.Run, now.Sub(j.cancelled))
	}
	fails := v.random.Float64() < j.failShare
	if step.Gang {
		// One draw decides for all members of a run.
		fails = o.Run%2 == 0 && j.failShare > 0 && strings.HasSuffix(o.Task, ".0")
	}
	r := &run{task: o.Task, run: o.Run, worker: w, job: j, step: step, began: now, fails: fails, point: o.Checkpoint}
	w.runs[o.Task] = r
	t.live = append(t.live, r)
	return 200, w.reading("")
}

func (w *worker) hold(q *http.Request, h wire.Hold, fence uint64, deadline int64) (int, any) {
	if fence < w.fence {
		return 409, w.reading("fence")
	}
	w.fence = fence
	if deadline > 0 {
		w.extend(deadline)
	}
	if h.AckedUntil > w.acked {
		w.acked = h.AckedUntil
		kept := w.ends[:0:0]
		for _, e := range w.ends {
			if e.n > w.acked {
				kept = append(kept, e)
				continue
			}
			w.world.takenNote(e)
		}
		w.ends = kept
	}
	life := w.life
	for wait := time.Now().Add(time.Duration(h.WaitMs) * time.Millisecond); len(w.ends) == 0 && time.Now().Before(wait) && w.life == life; {
		changed := w.changed
		w.world.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(wait)):
		case <-q.Context().Done():
		}
		w.world.mu.Lock()
		if q.Context().Err() != nil {
			break
		}
	}
	out := wire.HoldAnswer{OrderAnswer: w.reading(""), Running: []wire.RunningRow{}, Ended: []wire.EndedRow{}}
	for _, r := range w.runs {
		percent := 100
		if !r.step.LongRunning {
			percent = int(min(99, 100*time.Since(r.began)/max(1, r.job.runTime)))
		}
		out.Running = append(out.Running, wire.RunningRow{Task: r.task, Run: r.run, Checkpoint: r.point, Percent: percent})
	}
	for i, e := range w.ends {
		if i == 500 {
			break
		}
		out.Ended = append(out.Ended, wire.EndedRow{Number: e.n, Task: e.task, Run: e.run, How: e.how, Checkpoint: e.saved})
	}
	return 200, out
}

// takenNote records that an end was taken note of.
func (v *world) takenNote(e *ended) {
	if e.worker.lapses != e.lapses || e.worker.life != e.life {
		return
	}
	e.acked = true
	id, _, s, _ := split(e.task)
	j := v.jobs[id]
	t := v.task(e.task)
	if j == nil || e.how != "done" || j.Steps[s].Speculative {
		return
	}
	for _, st := range t.starts {
		if st.at.After(e.at) {
			v.breakRule("TWICE", "%s started after run %d was done on %s, which was taken note of later", st.text, e.run, e.worker.id)
		}
	}
}

// serveMachines answers calls of the platform's list of machines.
func (v *world) serveMachines(rw http.ResponseWriter, q *http.Request) {
	if q.URL.Path != wire.PathMachines {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	type machine struct {
		Machine, Pool, State, Zone string
		Labels                     []string
		Capacity                   wire.Resources
		ID                         string `json:"Id"`
	}
	list := []machine{}
	for _, w := range v.workers {
		if w.gone {
			continue
		}
		list = append(list, machine{w.machine, w.pool, "up", "z1", append(append([]string{}, w.labels...), w.rack), w.cap, w.id})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"Machines": list})
}

// begin starts the list of machines and the workers of a pool.
func (v *world) begin(f *fleet, pool string, workers int) error {
	v.jobs, v.tasks, v.gangs, v.counts = map[string]*job{}, map[string]*taskState{}, map[string]*gang{}, map[string]int{}
	v.note, v.put, v.remove, v.proxy = f.note, f.platform.Store.Put, f.platform.Store.Remove, f.proxy
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(v.serveMachines)}).Serve(l) }()
	f.cloud = l.Addr().String()
	for i := range workers {
		if err := v.addWorker(pool, i, []string{"kind-a", "kind-b"}[i%2]); err != nil {
			return err
		}
	}
	go func() {
		for i := 0; ; i++ {
			time.Sleep(10 * time.Millisecond)
			v.tick()
			if i%150 == 0 {
				v.mu.Lock()
				for _, w := range v.workers {
					if !w.dark {
						w.register()
					}
				}
				v.mu.Unlock()
			}
		}
	}()
	return nil
}

// submit hands a job in until it is accepted, at one node after the other.
func (f *fleet) submit(v *world, j *job, first int) {
	for try := range 40 {
		status, _ := f.call(f.nodes[(first+try)%len(f.nodes)], http.MethodPost, "/kept/"+j.id, j.Job)
		if status == http.StatusOK {
			v.mu.Lock()
			j.accepted = time.Now()
			v.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	f.note("%s was not accepted", j.id)
}
