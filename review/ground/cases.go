package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
	time.Sleep(5 * time.Second)
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
