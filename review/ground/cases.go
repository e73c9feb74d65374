package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// upkeepCase: the answer to one upkeep order is lost with its connection, after the order was carried out.
func upkeepCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.pool("desk", 6, 64000, 131072)
	w.mu.Unlock()
	w.startNodes(7)
	id := "5c0e7a21d94b36f8"
	w.submit("desk", id, &job{Spec: "0", Steps: []step{{Count: 5, Cpu: 5400, MemMb: 17000, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}})
	w.await("5 tasks are at work", 10*time.Second, func() bool { return w.working(id) == 5 })
	// Workers that began less than 6 s before are another fault's way: see youngCase.
	time.Sleep(9 * time.Second)
	lost := 0
	w.mu.Lock()
	w.lost = func(m *machine, _, what string) bool {
		// The first machine on which a task was at work.
		if strings.HasPrefix(what, "upkeep") && lost == 0 && len(w.away) > 0 {
			lost++
			return true
		}
		return false
	}
	var machines []string
	for id := range w.machines {
		machines = append(machines, id)
	}
	w.kv.put("op/wave/7", map[string]any{"Wave": 7, "Machines": machines, "WithinS": 40, "MaxCount": 3})
	w.say("operator: wave 7 for %d machines, MaxCount 3, WithinS 40", len(machines))
	w.mu.Unlock()
	w.await("the wave is completed", 60*time.Second, func() bool {
		var s struct{ State string }
		return json.Unmarshal(w.kv.items["status/wave/7"].Value, &s) == nil && s.State == "completed"
	})
	w.await("5 tasks are at work", 10*time.Second, func() bool { return w.working(id) == 5 })
}

// moveCase: the answers to the moves of lent machines are lost with their connections, after the moves were carried out.
func moveCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "hall", "spare")
	w.pool("desk", 3, 64000, 131072)
	w.pool("hall", 2, 64000, 131072)
	w.pool("spare", 3, 64000, 131072)
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	w.lost = func(m *machine, from, what string) bool { return from == "hall" && what == "move to desk" }
	w.mu.Unlock()
	w.submit("hall", "1111111111111111", &job{Spec: "13000", together: true, Steps: []step{{Count: 5, Cpu: 57000, MemMb: 1000, EstimateMs: 12000}}})
	w.await("hall has 5 machines at work", 15*time.Second, func() bool {
		n := 0
		for _, k := range w.workers {
			if k.up && k.m.pool == "hall" && len(k.runs) > 0 {
				n++
			}
		}
		return n == 5
	})
	time.Sleep(10 * time.Second)
	id := "5c0e7a21d94b36f8"
	w.submit("desk", id, &job{Spec: "0", Steps: []step{{Count: 5, Cpu: 5400, MemMb: 17000, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}})
	w.await("5 tasks are at work", 30*time.Second, func() bool { return w.working(id) == 5 })
	time.Sleep(12 * time.Second)
}

// pendingCase: a worker refuses all starts, and some jobs can run on it only.
func pendingCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.pool("desk", 13, 64000, 131072)
	only := w.machines["m-desk-12"]
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.mu.Lock()
		only.worker.refuses = true
		w.say("TROUBLE: worker %s answers starts with 503 for 6.5 s", only.worker.id)
		w.mu.Unlock()
		w.after(6500*time.Millisecond, func() {
			only.worker.refuses = false
			w.say("TROUBLE ends")
		})
	}
	const jobs = 6
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0x5c0e0000+i)
		w.submit("desk", id, &job{Spec: "700", Steps: []step{{Count: 2, Cpu: 3500, MemMb: 5000, EstimateMs: 640, RequiredLabel: only.rack}}})
	}
	time.Sleep(5200 * time.Millisecond)
	for i := range w.nodes {
		w.mu.Lock()
		waiting := 0
		for _, j := range w.jobs {
			if !j.begun && time.Since(j.accepted) > 5*time.Second {
				waiting++
			}
		}
		w.mu.Unlock()
		status, body := w.call(i, http.MethodGet, "/desk/", nil)
		var a struct{ Pending int }
		if status != 200 || json.Unmarshal(body, &a) != nil {
			continue
		}
		w.mu.Lock()
		if 2*a.Pending < waiting {
			w.breaks("MIXED", "%s gives %d as Pending, although %d jobs were accepted more than visible_ms + 2 s before and have not begun", w.nodes[i].name, a.Pending, waiting)
		}
		w.mu.Unlock()
	}
	w.call(0, http.MethodGet, fmt.Sprintf("/desk/%016x", 0x5c0e0000), nil)
	w.await("all jobs have begun", 15*time.Second, func() bool {
		for _, j := range w.jobs {
			if !j.begun {
				return false
			}
		}
		return true
	})
}

// kindCase: two of 12 workers are cut off from the store, crash behind the cut and start again under their ids, as workers of another kind.
func kindCase(w *world) {
	const workers = 12
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.pool("desk", workers, 64000, 131072)
	var cut []*worker
	for i := 1; i < workers; i += 2 {
		k := w.machines[fmt.Sprintf("m-desk-%d", i)].worker
		k.kind = "b"
		k.register()
		if len(cut) < 2 {
			cut = append(cut, k)
		}
	}
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	stop := time.Now().Add(12 * time.Second)
	if w.trouble {
		w.after(3*time.Second, func() {
			for _, k := range cut {
				w.say("TROUBLE: worker %s is cut off from the store for 5 s, crashes, and starts again under its id as one of kind a in place of %s", k.id, k.kind)
				k.beatless = true
				k.closeAll()
				k.kind = "a"
				k.begin()
			}
		})
		w.after(8*time.Second, func() {
			w.say("TROUBLE ends")
			for _, k := range cut {
				k.beatless = false
				k.register()
			}
		})
	}
	for n := 0; time.Now().Before(stop); n++ {
		w.submit("desk", fmt.Sprintf("%016x", 0x5c0e0000+n), &job{Spec: "1000", Steps: []step{{Count: 4, Cpu: 30000, MemMb: 5000, EstimateMs: 1000, RequiredLabel: "b"}}})
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
}

// slotCase: the holder of the spare pool is killed right after its conditional write that reserves the upkeep of a machine, before it orders that.
func slotCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.pool("desk", 4, 64000, 131072)
	w.pool("spare", 1, 64000, 131072)
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	lasting := func(count int) *job {
		return &job{Spec: "0", Steps: []step{{Count: count, Cpu: 5400, MemMb: 17000, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}}
	}
	first, second := "5c0e7a21d94b36f8", "6d1f8b32ea5c4709"
	w.submit("desk", first, lasting(4))
	w.await("4 tasks are at work", 10*time.Second, func() bool { return w.working(first) == 4 })
	time.Sleep(3 * time.Second)
	reserved := false
	w.mu.Lock()
	w.onWrite = func(node string, t txn) {
		for _, p := range t.Puts {
			if !strings.HasPrefix(p.Key, "wave/7/slot/") || !strings.Contains(string(p.Value), "m-spare-0") || reserved {
				continue
			}
			reserved = true
			w.say("%s writes %s: %s", node, p.Key, p.Value)
			if w.trouble {
				w.kill(node, 3500*time.Millisecond)
			}
		}
	}
	var machines []string
	for id := range w.machines {
		machines = append(machines, id)
	}
	w.kv.put("op/wave/7", map[string]any{"Wave": 7, "Machines": machines, "WithinS": 40, "MaxCount": 3})
	w.say("operator: wave 7 for %d machines, MaxCount 3, WithinS 40", len(machines))
	w.mu.Unlock()
	w.await("the upkeep of m-spare-0 is reserved", 10*time.Second, func() bool { return reserved })
	w.submit("desk", second, lasting(5))
	w.await("the wave is completed", 60*time.Second, func() bool {
		var s struct{ State string }
		return json.Unmarshal(w.kv.items["status/wave/7"].Value, &s) == nil && s.State == "completed"
	})
	time.Sleep(2 * time.Second)
}

// kill kills a process of the project and starts it again after a time; the lock of the world is held.
func (w *world) kill(node string, dark time.Duration) {
	for _, p := range w.nodes {
		if p.name != node {
			continue
		}
		w.say("TROUBLE: %s is killed for %v", node, dark)
		_ = p.cmd.Process.Kill()
		go func() {
			_ = p.cmd.Wait()
			time.Sleep(dark)
			w.restart(p)
			w.tell("TROUBLE ends: %s starts again", node)
		}()
	}
}

// holderCase: six of the seven machines of the system are lost at once and for good, among them the holder of a pool and those that confirm it.
func holderCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "hall", "bill", "trim", "spare")
	for _, p := range []string{"desk", "hall", "bill", "trim"} {
		w.pool(p, 4, 64000, 131072)
	}
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	ids := map[string]string{"desk": "5c0e7a21d94b36f8", "hall": "6d1f8b32ea5c4709", "bill": "7e209c43fb6d581a", "trim": "8f31ad540c7e692b"}
	for p, id := range ids {
		w.submit(p, id, &job{Spec: "0", Steps: []step{{Count: 3, Cpu: 5400, MemMb: 17000, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}})
	}
	w.await("all tasks are at work", 10*time.Second, func() bool {
		for _, id := range ids {
			if w.working(id) < 3 {
				return false
			}
		}
		return true
	})
	time.Sleep(4 * time.Second)
	// Any number of machines may be lost. The one that stays is one that has no part in a duty: neither holder nor named beside it.
	w.mu.Lock()
	var kept *proc
	for _, p := range []string{"desk", "hall", "bill", "trim"} {
		for _, n := range w.nodes {
			if kept == nil && !strings.Contains(string(w.kv.items["control/duty/"+p].Value), `"`+n.name+`"`) && !strings.Contains(string(w.kv.items["control/witnesses/"+p].Value), `"`+n.name+`"`) {
				kept = n
			}
		}
	}
	w.mu.Unlock()
	if kept == nil {
		w.fatal("each process has a part in each duty")
	}
	if w.trouble {
		for _, n := range w.nodes {
			if n != kept {
				_ = n.cmd.Process.Signal(syscall.SIGSTOP)
			}
		}
		w.tell("TROUBLE: all but %s are lost for good: they are stopped and never continue", kept.name)
	}
	lost := time.Now()
	lastRun, idle, reported := map[string]time.Time{}, map[string]time.Time{}, map[string]bool{}
	for time.Since(lost) < 25*time.Second {
		w.mu.Lock()
		now := time.Now()
		for _, id := range ids {
			for i := range 3 {
				task := fmt.Sprintf("%s.0.0.%d", id, i)
				running := false
				for _, k := range w.workers {
					running = running || k.up && k.runs[task] != nil
				}
				if running {
					lastRun[task], idle[task] = now, time.Time{}
					continue
				}
				if idle[task].IsZero() {
					idle[task] = now
					w.say("task %s has no run", task)
				}
				since := idle[task]
				if from := lastRun[task].Add(6 * time.Second); from.After(since) {
					since = from
				}
				if now.Sub(since) >= 3*time.Second && !reported[task] {
					reported[task] = true
					w.breaks("LOST", "task %s, which lasts, has had no run for %v, from %v after its last run on, %v after the loss; its service has 4 machines with nothing to do",
						task, now.Sub(since).Round(time.Millisecond), since.Sub(lastRun[task]).Round(time.Millisecond), now.Sub(lost).Round(time.Millisecond))
				}
			}
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	w.say("at the end")
	w.mu.Unlock()
}

// cancelCase: the store answers none of the writes of a job and carries them out 6 s later; the client leaves, and cancels the job. Then the store turns away
// the node that has answered the cancel for a second, and takes its keys away.
func cancelCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.pool("desk", 9, 64000, 131072)
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(4 * time.Second)
	const id = "5c0e7a21d94b36f8"
	small := func(n int) *job {
		return &job{Spec: fmt.Sprint(n), Steps: []step{{Count: 2, Cpu: 1000, MemMb: 500, EstimateMs: 500}}}
	}
	var traffic errgroup
	stop := time.Now().Add(3 * time.Second)
	traffic.do(func() {
		for n := 0; time.Now().Before(stop); n++ {
			w.submit("desk", fmt.Sprintf("%016x", 0x77770000+n), small(300))
			time.Sleep(80 * time.Millisecond)
		}
	})
	time.Sleep(time.Second)
	j := small(500)
	j.id, j.pool = id, "desk"
	w.mu.Lock()
	w.jobs[id] = j
	writes := 0
	lateUntil := time.Now().Add(1500 * time.Millisecond)
	w.delay = func(t txn) time.Duration {
		writes++
		for _, p := range t.Puts {
			if w.trouble && strings.HasPrefix(p.Key, "job/") && strings.HasSuffix(p.Key, "/"+id) && time.Now().Before(lateUntil) {
				w.say("TROUBLE: a write of the job is not answered, and carried out 6 s later")
				return 6 * time.Second
			}
		}
		return 0
	}
	// The holder of the pool answers no request of this case, so that the nodes that are turned away hold nothing.
	holder := 0
	for i, p := range w.nodes {
		if strings.Contains(string(w.kv.items["control/duty/desk"].Value), `"`+p.name+`"`) {
			holder = i
		}
	}
	w.mu.Unlock()
	a, b := holder+1, holder+2
	w.client.Timeout = time.Second
	w.call(a, http.MethodPost, "/desk/"+id, j)
	w.client.Timeout = 4 * time.Second
	status, _ := w.call(b, http.MethodDelete, "/desk/"+id, nil)
	if status != 200 && status != 410 {
		w.fatal("the cancel is answered %d", status)
	}
	w.mu.Lock()
	j.cancelled, j.cancelSent, j.cancelledAt = true, true, time.Now()
	w.say("%d writes of all nodes so far", writes)
	w.mu.Unlock()
	if w.trouble {
		time.Sleep(50 * time.Millisecond)
		w.mu.Lock()
		node := w.nodes[b%len(w.nodes)].name
		w.say("TROUBLE: the store turns %s away for 1 s, and takes its keys away", node)
		w.f.cutNodes = map[string]string{node: "busy"}
		for l, x := range w.kv.leases {
			if x.node == node {
				w.kv.endLease(l)
			}
		}
		w.kv.notify()
		w.mu.Unlock()
		w.after(time.Second, func() { w.f.cutNodes = nil })
	}
	time.Sleep(10 * time.Second)
	w.call(a, http.MethodGet, "/desk/"+id, nil)
	traffic.wait()
}

// errgroup runs functions beside the case.
type errgroup struct{ done []chan struct{} }

func (g *errgroup) do(f func()) {
	c := make(chan struct{})
	g.done = append(g.done, c)
	go func() { defer close(c); f() }()
}

func (g *errgroup) wait() {
	for _, c := range g.done {
		<-c
	}
}

// youngCase: the holder of a pool is stopped gracefully while its workers are a few seconds old, and a wave begins.
func youngCase(w *world) {
	w.mu.Lock()
	w.standby = "spare"
	w.configure("desk", "spare")
	w.mu.Unlock()
	w.startNodes(7)
	time.Sleep(8 * time.Second)
	w.mu.Lock()
	w.pool("desk", 6, 64000, 131072)
	w.mu.Unlock()
	const id = "5c0e7a21d94b36f8"
	w.submit("desk", id, &job{Spec: "0", Steps: []step{{Count: 5, Cpu: 5400, MemMb: 17000, LongRunning: true, MaxPerServer: 1, MayMiss: 1}}})
	w.await("5 tasks are at work", 10*time.Second, func() bool { return w.working(id) == 5 })
	time.Sleep(1500 * time.Millisecond)
	var machines []string
	w.mu.Lock()
	for m := range w.machines {
		machines = append(machines, m)
	}
	if w.trouble {
		for _, p := range w.nodes {
			if strings.Contains(string(w.kv.items["control/duty/desk"].Value), `"`+p.name+`"`) {
				w.say("TROUBLE: %s gets SIGTERM", p.name)
				_ = p.cmd.Process.Signal(syscall.SIGTERM)
			}
		}
	}
	w.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	w.mu.Lock()
	w.kv.put("op/wave/7", map[string]any{"Wave": 7, "Machines": machines, "WithinS": 40, "MaxCount": 3})
	w.say("operator: wave 7 for %d machines, MaxCount 3, WithinS 40", len(machines))
	w.mu.Unlock()
	w.await("the wave is completed", 60*time.Second, func() bool {
		var s struct{ State string }
		return json.Unmarshal(w.kv.items["status/wave/7"].Value, &s) == nil && s.State == "completed"
	})
}
