package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

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

func (v *world) drawJob(id string) *job {
	r := v.random
	j := &job{id: id, runTime: time.Duration(200+r.IntN(1500)) * time.Millisecond, attempts: 4}
	j.Spec = fmt.Sprintf("spec \"%s\" <&>", id)
	step := func() wire.Step {
		return wire.Step{Count: 1 + r.IntN(4), CPU: int64(500 + r.IntN(2500)), MemMb: int64(100 + r.IntN(1000)), EstimateMs: float64(j.runTime.Milliseconds()), Checkpointing: r.IntN(3) == 0}
	}
	kind := r.IntN(6)
	switch os.Getenv("PROFILE") {
	case "gang":
		kind = 0
	case "timed":
		kind = 1
	case "steps":
		kind = 3
	}
	switch kind {
	case 0:
		s := step()
		s.Gang, s.Count, s.SameRack = true, 2+r.IntN(4), r.IntN(3) == 0
		j.Steps = []wire.Step{s, step()}
		j.Steps[1].After = []int{0}
		if r.IntN(3) == 0 {
			j.failShare = 0.3
		}
	case 1:
		s := step()
		j.Steps = []wire.Step{s}
		j.Times, j.StartTimeMs, j.IntervalMs = 2+r.IntN(6), time.Now().Add(time.Duration(r.IntN(4000)-1000)*time.Millisecond).UnixMilli(), int64(200+r.IntN(2500))
		if r.IntN(2) == 0 {
			t := step()
			t.After = []int{0}
			j.Steps = append(j.Steps, t)
		}
	case 2:
		s := step()
		s.MaxPerServer, s.Count = 1, 1+r.IntN(6)
		t := step()
		t.RequiredLabel = []string{"kind-a", "r1", "kind-b"}[r.IntN(3)]
		j.Steps = []wire.Step{s, t}
	case 3:
		j.Steps = []wire.Step{step(), step(), step()}
		j.Steps[1].After, j.Steps[2].After = []int{0}, []int{0, 1}
		j.failShare = 0.2
	case 4:
		s := step()
		s.Count, s.Speculative = 6, true
		j.Steps = []wire.Step{s}
	default:
		j.Steps = []wire.Step{step()}
		if r.IntN(4) == 0 {
			j.Steps[0].LongRunning, j.Steps[0].Count, j.Steps[0].CPU, j.Steps[0].MayMiss = true, 2, 500, 1
		}
	}
	return j
}

func (v *world) longRunning(j *job) bool { return j.Steps[0].LongRunning }

// mix plays random jobs of all kinds under random faults.
func mix(f *fleet, trouble bool) (bool, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	v := &world{random: rand.New(rand.NewPCG(seed, 3)), guard: os.Getenv("GUARD") != ""}
	f.platform.Pools = map[string]int{}
	f.prepare = func() error { return v.begin(f, "fitdesk", 6) }
	if err := f.start(4, []wire.Route{route("kept", "/kept/")}, []wire.Service{{Name: "fitdesk", AdmissionCheck: v.guard}}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	client := rand.New(rand.NewPCG(seed, 5))
	end := time.Now().Add(45 * time.Second)
	var group sync.WaitGroup
	if trouble {
		for stream, kinds := range [][]int{{0, 1, 2, 3, 4, 5, 12, 13}, {6, 6, 7, 7, 8, 9, 10, 11, 15, 16, 17}} {
			r := rand.New(rand.NewPCG(seed, uint64(10+stream)))
			group.Go(func() {
				for time.Now().Before(end) {
					f.fault(v, r, kinds[r.IntN(len(kinds))])
					time.Sleep(time.Duration(r.IntN(4500)) * time.Millisecond)
				}
			})
		}
	}
	n := 0
	for time.Now().Before(end) {
		n++
		id := fmt.Sprintf("%016x", uint64(n)<<32|uint64(client.Uint32()))
		v.mu.Lock()
		j := v.drawJob(id)
		v.jobs[id] = j
		v.mu.Unlock()
		cancel := client.IntN(6) == 0
		cancelAfter := time.Duration(client.IntN(2500)) * time.Millisecond
		first := client.IntN(len(f.nodes))
		group.Go(func() { f.submit(v, j, first, cancel, cancelAfter) })
		time.Sleep(time.Duration(client.ExpFloat64()*350) * time.Millisecond)
	}
	group.Wait()
	f.heal(v)
	f.note("traffic and faults are over; %d jobs", n)
	v.mu.Lock()
	for _, j := range v.jobs {
		if !j.accepted.IsZero() && j.cancelled.IsZero() && v.longRunning(j) {
			id := j.id
			group.Go(func() { f.cancelJob(v, id, 0) })
		}
	}
	v.mu.Unlock()
	group.Wait()
	left := map[string]string{}
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		left = f.unfinished(v)
		if len(left) == 0 {
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, state := range left {
		content, _ := json.Marshal(v.jobs[id].Job)
		v.breakRule("LOST", "%s is %s: %s", id, state, content)
	}
	f.note("%v; left %d", v.counts, len(left))
	fmt.Println(seed, v.counts, "left", len(left), "broken", len(v.broken))
	for _, b := range v.broken {
		fmt.Println("  ", b)
	}
	return len(v.broken) == 0, nil
}

func (f *fleet) submit(v *world, j *job, first int, cancel bool, cancelAfter time.Duration) {
	rejected := true
	for try := 0; try < 40; try++ {
		status, _ := f.call(f.nodes[(first+try)%len(f.nodes)], http.MethodPost, "/kept/"+j.id, j.Job)
		if status == 200 {
			v.mu.Lock()
			j.accepted = time.Now()
			v.mu.Unlock()
			break
		}
		if status != 429 && status != 503 {
			rejected = false
		}
		time.Sleep(300 * time.Millisecond)
	}
	if j.accepted.IsZero() {
		f.note("%s was not accepted, rejected each time: %v", j.id, rejected)
		return
	}
	if cancel {
		time.Sleep(cancelAfter)
		f.cancelJob(v, j.id, first+1)
	}
}

func (f *fleet) cancelJob(v *world, id string, first int) {
	for try := range 40 {
		status, _ := f.call(f.nodes[(first+try)%len(f.nodes)], http.MethodDelete, "/kept/"+id, nil)
		if status == 200 || status == 410 {
			v.mu.Lock()
			v.jobs[id].cancelled = time.Now()
			v.mu.Unlock()
			if status == 410 {
				f.note("BROKEN LOST: cancel of the accepted job %s answered 410", id)
			}
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// unfinished returns the accepted jobs that are not shown as ended.
func (f *fleet) unfinished(v *world) map[string]string {
	v.mu.Lock()
	var ids []string
	for id, j := range v.jobs {
		if !j.accepted.IsZero() && j.completed.IsZero() {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	left := map[string]string{}
	for i, id := range ids {
		status, body := f.call(f.nodes[i%len(f.nodes)], http.MethodGet, "/kept/"+id, nil)
		var s wire.State
		_ = json.Unmarshal(body, &s)
		v.mu.Lock()
		j := v.jobs[id]
		switch {
		case status != 200:
			left[id] = fmt.Sprint("answered ", status)
		case s.State == "completed":
			j.completed = time.Now()
			v.checkDone(j)
		case s.State == "failed":
			j.completed = time.Now()
			if j.failShare == 0 {
				v.breakRule("LOST", "%s is shown as failed", id)
			}
		case s.State == "cancelled":
			j.completed = time.Now()
			if j.cancelled.IsZero() {
				v.breakRule("LOST", "%s is shown as cancelled", id)
			}
		default:
			left[id] = s.State
		}
		v.mu.Unlock()
	}
	return left
}

// checkDone checks that all tasks of a job that is shown as completed have ended so.
func (v *world) checkDone(j *job) {
	for k := range max(1, j.Times) {
		for s := range j.Steps {
			done := 0
			for i := range j.Steps[s].Count {
				done += min(1, len(v.task(fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)).done))
			}
			if done < j.Steps[s].Count && (!j.Steps[s].Gang || done == 0) {
				v.breakRule("MIXED", "%s is shown as completed: %d tasks of step %d of occurrence %d are done", j.id, done, s, k)
			}
		}
	}
}

func (f *fleet) fault(v *world, r *rand.Rand, kind int) {
	n := f.nodes[r.IntN(len(f.nodes))]
	if r.IntN(3) > 0 {
		if h := f.holder("fitdesk"); h != nil {
			n = h
		}
	}
	span := time.Duration(300+r.IntN(5000)) * time.Millisecond
	w := v.workers[r.IntN(len(v.workers))]
	set := func(change func()) {
		v.mu.Lock()
		defer v.mu.Unlock()
		change()
	}
	f.note("fault %d at %s or %s for %v", kind, n.name, w.id, span)
	switch kind {
	case 0, 1, 2:
		f.kill(n)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		_ = f.run(n)
	case 3:
		_ = n.command.Process.Signal(syscall.SIGTERM)
		_ = n.command.Wait()
		_ = f.run(n)
	case 4:
		_ = n.command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(min(span, 4*time.Second))
		_ = n.command.Process.Signal(syscall.SIGCONT)
	case 5:
		for _, m := range f.nodes {
			f.kill(m)
		}
		time.Sleep(time.Second)
		for _, m := range f.nodes {
			_ = f.run(m)
		}
	case 6:
		set(func() { w.dark = true })
		time.Sleep(span)
		set(func() { w.dark = false })
	case 7:
		set(func() { w.reborn() })
	case 8:
		set(func() {
			for _, w := range v.workers {
				w.late = 0.3
			}
		})
		time.Sleep(span)
		set(func() {
			for _, w := range v.workers {
				w.late = 0
			}
		})
	case 9:
		set(func() {
			for _, w := range v.workers {
				w.lost = 0.2
			}
		})
		time.Sleep(span)
		set(func() {
			for _, w := range v.workers {
				w.lost = 0
			}
		})
	case 10:
		f.platform.Store.SetFaults(standin.StoreFaults{Refuse: true})
		time.Sleep(min(span, 4500*time.Millisecond))
		f.platform.Store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	case 11:
		f.platform.Store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond, LoseAnswers: 0.3, DelayWrites: 0.1})
		time.Sleep(span)
		f.platform.Store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	case 13, 14:
		f.mu.Lock()
		proxies := f.proxies
		f.mu.Unlock()
		for _, p := range proxies {
			p.silence()
		}
	case 15:
		f.platform.Store.Compact()
	case 16:
		// The worker is not heard by the store and runs on.
		set(func() { w.unheard = true; v.remove(wire.PrefixWorkers + w.id) })
		time.Sleep(span)
		set(func() { w.unheard = false; w.register() })
	case 17:
		// The worker drains, leaves, and another one joins on its machine.
		set(func() { w.drain = true; w.register() })
		time.Sleep(2500 * time.Millisecond)
		set(func() {
			v.remove(wire.PrefixWorkers + w.id)
			w.generation++
			w.id = fmt.Sprintf("%s-%d", w.machine, w.generation)
			w.drain = false
			w.reborn()
		})
	case 12:
		n.gate.SetClosed(true)
		time.Sleep(span)
		n.gate.SetClosed(false)
	}
}

func (f *fleet) kill(n *entry) {
	_ = n.command.Process.Kill()
	_ = n.command.Wait()
}

func (f *fleet) heal(v *world) {
	f.platform.Store.SetFaults(standin.StoreFaults{Delay: 4 * time.Millisecond})
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range v.workers {
		w.dark, w.late, w.lost = false, 0, 0
	}
	_ = netip.Addr{}
}
