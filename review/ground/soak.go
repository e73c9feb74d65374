package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

// faults are what the platform and the workers do wrong at present; the lock of the world guards them.
type faults struct {
	storeDown string // "", "busy", "silent", "reset"
	storeSlow time.Duration
	storeLost float64
	storeLate float64
	deaf      bool
	late      float64 // share of orders to workers carried out late
	lostAns   float64 // share of answers of workers lost
	cutNodes  map[string]string
	cloudDown string
	cloudSlow time.Duration
	cloudLost bool
}

func (w *world) rnd() float64 { return w.random.Float64() }

func soakCase(w *world) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	length := 60 * time.Second
	w.mu.Lock()
	w.random = rand.New(rand.NewPCG(seed, 7))
	w.soak = true
	w.lost = func(*machine, string, string) bool { return w.f.cloudLost && w.rnd() < 0.5 }
	w.standby = "spare"
	w.configure("desk", "hall", "spare")
	w.pool("desk", 6, 16000, 65536)
	w.pool("hall", 6, 16000, 65536)
	w.pool("spare", 3, 16000, 65536)
	w.mu.Unlock()
	w.startNodes(7)
	stop := time.Now().Add(length)
	go w.jobsOfSoak(seed, stop)
	r := rand.New(rand.NewPCG(seed, 9))
	pools := []string{"desk", "hall"}
	time.Sleep(3 * time.Second)
	if r.IntN(2) == 0 {
		w.mu.Lock()
		var ms []string
		for id := range w.machines {
			if r.IntN(2) == 0 {
				ms = append(ms, id)
			}
		}
		w.kv.put("op/wave/3", map[string]any{"Wave": 3, "Machines": ms, "WithinS": 40, "MaxCount": 3})
		w.waveMax, w.waveOf = 3, ms
		w.mu.Unlock()
	}
	for time.Now().Before(stop) {
		w.fault(r, pools)
		time.Sleep(time.Duration(300+r.IntN(2500)) * time.Millisecond)
	}
	w.tell("traffic and faults end")
	time.Sleep(14 * time.Second)
	w.mu.Lock()
	w.f = faults{}
	ids := []string{}
	for id, j := range w.jobs {
		if !j.accepted.IsZero() && !j.cancelled {
			ids = append(ids, id)
		}
	}
	w.mu.Unlock()
	left := 0
	for i, id := range ids {
		w.mu.Lock()
		j := w.jobs[id]
		w.mu.Unlock()
		status, b := w.call(i, "GET", "/"+j.pool+"/"+id, nil)
		var s struct{ State string }
		_ = json.Unmarshal(b, &s)
		w.mu.Lock()
		w.checkState(j, status, s.State)
		if status == 0 || status >= 500 {
			w.breaks("LOST", "GET of %s: status %d", id, status)
		}
		if !j.lasting && s.State != "completed" && s.State != "failed" {
			left++
			w.say("not finished: %s %s", id, s.State)
		}
		if j.lasting {
			for st := range j.Steps {
				for i := range j.Steps[st].Count {
					if since, ok := w.notWorking[fmt.Sprintf("%s.0.%d.%d", id, st, i)]; ok && time.Since(since) > 6*time.Second {
						w.say("NOT AT WORK: %s task %d for %v", id, i, time.Since(since))
						left++
					}
				}
			}
		}
		w.mu.Unlock()
	}
	if left > 0 {
		w.tell("LEFT %d", left)
	}
}

func (w *world) checkState(j *job, status int, state string) {
	if status == 410 && !j.cancelSent && !j.accepted.IsZero() && time.Since(j.accepted) > 3*time.Second {
		w.breaks("LOST", "GET of accepted job %s is answered 410", j.id)
	}
	if status == 200 && state == "completed" {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				for k := range max(1, j.Times) {
					if t := fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i); !w.done[t] {
						w.breaks("MIXED", "job %s is completed, task %s has not ended done", j.id, t)
					}
				}
			}
		}
	}
	if status == 200 && state == "failed" {
		for t, n := range w.failedRuns {
			if t[:16] == j.id && n >= 4 {
				return
			}
		}
		w.breaks("LOST", "job %s is shown as failed without cause", j.id)
	}
	if status == 200 && state == "cancelled" && !j.cancelSent {
		w.breaks("LOST", "job %s is shown as cancelled without cause", j.id)
	}
}

func (w *world) jobsOfSoak(seed uint64, stop time.Time) {
	r := rand.New(rand.NewPCG(seed, 11))
	for n := 0; time.Now().Before(stop); n++ {
		id := fmt.Sprintf("%08x%08x", seed, n)
		pool := []string{"desk", "hall"}[r.IntN(2)]
		j := &job{Spec: fmt.Sprint(200 + r.IntN(1800))}
		steps := 1 + r.IntN(3)
		for s := range steps {
			st := step{Count: 1 + r.IntN(5), Cpu: int64(500 + r.IntN(4000)), MemMb: 500, EstimateMs: 700}
			if s > 0 {
				st.After = []int{s - 1}
			}
			if r.IntN(6) == 0 {
				st.MaxPerServer = 1
			}
			if r.IntN(6) == 0 {
				st.Gang = true
			}
			j.Steps = append(j.Steps, st)
		}
		switch r.IntN(8) {
		case 0:
			j.Times, j.IntervalMs, j.StartTimeMs = 3, 1500, time.Now().Add(2*time.Second).UnixMilli()
		case 1:
			j.lasting = true
			j.Steps = []step{{Count: 2 + r.IntN(3), Cpu: 1500, MemMb: 2000, LongRunning: true, MaxPerServer: r.IntN(2), MayMiss: 1}}
		case 2:
			j.failShare = 0.5
		}
		j.id, j.pool = id, pool
		w.mu.Lock()
		if j.lasting && w.lasting >= 5 {
			j.lasting = false
			j.Steps = j.Steps[:1]
			j.Steps[0].LongRunning = false
		}
		if j.lasting {
			w.lasting++
		}
		w.jobs[id] = j
		w.mu.Unlock()
		seedOfJob := r.Uint64()
		go w.clientOfSoak(j, seedOfJob)
		time.Sleep(time.Duration(50+r.IntN(350)) * time.Millisecond)
	}
}

// clientOfSoak hands a job in with up to 4 tries, polls it and may cancel it.
func (w *world) clientOfSoak(j *job, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	rejected := 0
	tries := 0
	path := "/" + j.pool + "/" + j.id
	for tries < 5 {
		tries++
		status, _ := w.call(r.IntN(7), "POST", path, j)
		if status == 200 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			break
		}
		if status == 429 || status == 503 || status == 404 || status == 400 || status == 413 {
			rejected++
		}
		time.Sleep(time.Duration(100+r.IntN(400)) * time.Millisecond)
	}
	if rejected == tries {
		w.mu.Lock()
		j.refused = true
		if j.begun {
			w.breaks("REFUSED", "job %s was rejected at each try and has begun", j.id)
		}
		w.mu.Unlock()
	}
	if r.IntN(10) == 0 && !j.accepted.IsZero() {
		go func() {
			time.Sleep(time.Second)
			w.call(r.IntN(7), "POST", path, j)
		}()
	}
	cancel := r.IntN(6) == 0
	cancelAt := time.Now().Add(time.Duration(r.IntN(4000)) * time.Millisecond)
	for range 30 {
		time.Sleep(time.Duration(300+r.IntN(900)) * time.Millisecond)
		if cancel && time.Now().After(cancelAt) {
			w.mu.Lock()
			j.cancelSent = true
			w.mu.Unlock()
			status, _ := w.call(r.IntN(7), "DELETE", path, nil)
			if status == 200 || status == 410 {
				w.mu.Lock()
				j.cancelled, j.cancelledAt = true, time.Now()
				w.mu.Unlock()
				return
			}
			continue
		}
		status, b := w.call(r.IntN(7), "GET", path, nil)
		var s struct{ State string }
		_ = json.Unmarshal(b, &s)
		w.mu.Lock()
		w.checkState(j, status, s.State)
		w.mu.Unlock()
		if s.State == "completed" || s.State == "failed" {
			return
		}
	}
}

func (w *world) fault(r *rand.Rand, pools []string) {
	w.mu.Lock()
	var up []*worker
	for _, k := range w.workers {
		if k.up {
			up = append(up, k)
		}
	}
	w.mu.Unlock()
	if len(up) == 0 {
		return
	}
	k := up[r.IntN(len(up))]
	d := time.Duration(1000+r.IntN(5000)) * time.Millisecond
	set := func(what string, on, off func()) {
		w.mu.Lock()
		w.say("FAULT %s for %v", what, d)
		on()
		w.mu.Unlock()
		w.after(d, func() { w.say("FAULT END %s", what); off() })
	}
	switch n := r.IntN(34); n {
	case 0:
		how := []string{"busy", "silent", "reset"}[r.IntN(3)]
		set("store down "+how, func() { w.f.storeDown = how; w.kv.notify() }, func() { w.f.storeDown = "" })
	case 1:
		set("store slow", func() { w.f.storeSlow = 240 * time.Millisecond }, func() { w.f.storeSlow = 0 })
	case 2:
		set("store loses answers", func() { w.f.storeLost = 0.35 }, func() { w.f.storeLost = 0 })
	case 3:
		set("store late", func() { w.f.storeLate = 0.35 }, func() { w.f.storeLate = 0 })
	case 4:
		d = time.Second
		set("watches deaf, then compacted", func() { w.f.deaf = true }, func() { w.f.deaf = false; w.kv.compact() })
	case 5, 6:
		set("orders late", func() { w.f.late = 0.3 }, func() { w.f.late = 0 })
	case 7:
		set("answers of workers lost", func() { w.f.lostAns = 0.2 }, func() { w.f.lostAns = 0 })
	case 8, 9:
		w.mu.Lock()
		w.say("FAULT worker %s restarts under its id", k.id)
		k.closeAll()
		k.begin()
		w.mu.Unlock()
	case 10:
		w.mu.Lock()
		w.say("FAULT worker %s crashes", k.id)
		k.die()
		m := k.m
		m.worker = nil
		m.state = "down"
		w.mu.Unlock()
		w.after(d, func() {
			if m.state == "down" {
				w.back(m)
			}
		})
	case 11, 12:
		set("worker "+k.id+" silent", func() { k.silent = true }, func() { k.silent = false })
	case 13:
		set("worker "+k.id+" refuses", func() { k.refuses = true }, func() { k.refuses = false })
	case 14:
		set("worker "+k.id+" fails runs", func() { k.fails = true }, func() { k.fails = false })
	case 15:
		set("registration of "+k.id+" lapses", func() { k.beatless = true; w.kv.drop("servers/" + k.id) }, func() { k.beatless = false })
	case 26:
		how := []string{"busy", "silent", "reset"}[r.IntN(3)]
		set("cloud down "+how, func() { w.f.cloudDown = how }, func() { w.f.cloudDown = "" })
	case 27:
		set("cloud slow", func() { w.f.cloudSlow = time.Duration(300+r.IntN(500)) * time.Millisecond }, func() { w.f.cloudSlow = 0 })
	case 30, 31, 32, 33:
		w.mu.Lock()
		if w.movedTo == nil {
			w.movedTo = map[string]string{}
		}
		p := pools[r.IntN(2)]
		w.movedTo[p] = pools[r.IntN(2)]
		w.configure("desk", "hall", "spare")
		w.say("FAULT configuration %d: queue of %s in %s", w.version, p, w.movedTo[p])
		w.mu.Unlock()
	case 28, 29:
		set("cloud loses answers", func() { w.f.cloudLost = true }, func() { w.f.cloudLost = false })
	default:
		i := r.IntN(len(w.nodes))
		if r.IntN(2) == 0 {
			w.mu.Lock()
			var h struct{ Node string }
			_ = json.Unmarshal(w.kv.items["control/duty/"+pools[r.IntN(2)]].Value, &h)
			w.mu.Unlock()
			for n, p := range w.nodes {
				if p.name == h.Node {
					i = n
				}
			}
		}
		p := w.nodes[i]
		switch n {
		case 20, 21, 22, 23, 24, 25:
			how, revoke := []string{"busy", "many", "reset", "silent"}[r.IntN(4)], r.IntN(3) == 0
			set(fmt.Sprintf("%s cut from the store, %s, revoke %v", p.name, how, revoke), func() {
				if w.f.cutNodes == nil {
					w.f.cutNodes = map[string]string{}
				}
				w.f.cutNodes[p.name] = how
				for id, l := range w.kv.leases {
					if revoke && l.node == p.name {
						w.kv.endLease(id)
					}
				}
				w.kv.notify()
			}, func() { delete(w.f.cutNodes, p.name) })
		case 16, 17:
			w.tell("FAULT kill %s", p.name)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			w.restart(p)
		case 18:
			w.tell("FAULT freeze %s for %v", p.name, d)
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(d)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
		case 19:
			w.tell("FAULT terminate %s", p.name)
			old := p.cmd
			_ = old.Process.Signal(syscall.SIGTERM)
			kill := time.AfterFunc(6*time.Second, func() { _ = old.Process.Kill() })
			err := old.Wait()
			kill.Stop()
			if err != nil {
				w.tell("terminated %s: %v", p.name, err)
			}
			w.restart(p)
		}
	}
}

func (w *world) restart(p *proc) {
	if err := w.startAgain(p); err != nil {
		w.fatal("start verbenaentry: %v", err)
	}
}

// startAgain starts a process again unless the case ends.
func (w *world) startAgain(p *proc) error {
	w.processes.Lock()
	defer w.processes.Unlock()
	if w.stopped {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/verbenaentry")
	cmd.Env, cmd.Stdout, cmd.Stderr = p.cmd.Env, log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	return nil
}

// disturbStore applies the store's faults to a call; it reports whether the call was consumed.
func (w *world) disturbStore(rw http.ResponseWriter, r *http.Request) bool {
	w.mu.Lock()
	f := w.f
	x := w.random.Float64()
	w.mu.Unlock()
	time.Sleep(f.storeSlow)
	switch f.storeDown {
	case "busy":
		rw.WriteHeader(503)
		return true
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != "/api/kv-txn" {
		return false
	}
	var t txn
	switch {
	case x < f.storeLost:
		_ = json.NewDecoder(r.Body).Decode(&t)
		w.mu.Lock()
		w.kv.apply(t)
		w.mu.Unlock()
	case x < f.storeLost+f.storeLate:
		_ = json.NewDecoder(r.Body).Decode(&t)
		w.mu.Lock()
		d := time.Duration(1000+w.random.IntN(5000)) * time.Millisecond
		w.mu.Unlock()
		w.after(d, func() { w.kv.apply(t) })
	default:
		return false
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
