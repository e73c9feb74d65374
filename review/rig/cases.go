package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// cases holds the cases by the name that run.sh passes. A case gets whether it shall cause its disruption.
var cases = map[string]func(s *system, trouble bool){
	"ends":     endsOfNewLife,
	"moved":    movedQueue,
	"lease":    leaseOfEarlierLife,
	"schedule": scheduledJobs,
	"failed":   failedOnce,
}

const (
	configTime = 2000 * time.Millisecond
	stable     = 3000 * time.Millisecond
	visible    = 3000 * time.Millisecond
	finishTime = 14 * time.Second
	cancelTime = 3000 * time.Millisecond
	stopBound  = 200 * time.Millisecond
)

var workerSize = resources{Cpu: 64000, MemMb: 131072}

func (s *system) addWorkers(pool string, n int) {
	for i := range n {
		s.fleet.addWorker(pool, fmt.Sprintf("r-%s-%d", pool, i/4), workerSize)
	}
}

// movedQueue moves a queue to another service while a job of it runs. The client asks for the job, and its request arrives once more.
func movedQueue(s *system, trouble bool) {
	const prefix, id = "/puxa400/", "5c0e7a21d94b36f8"
	s.addWorkers("fitdesk", 3)
	s.addWorkers("cutroom", 3)
	services := []service{newService("cutroom"), newService("fitdesk")}
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk"), newRoute("r-5xwyhks", "/kafi706/", "cutroom")}, services)
	s.startEntries(3)
	time.Sleep(stable)
	j := &job{id: id, jobBody: jobBody{Spec: "alteration 4711", Steps: []step{{Count: 2, Cpu: 3500, MemMb: 5100, EstimateMs: 20000}}}, work: 20 * time.Second}
	s.submit(prefix, j)
	time.Sleep(visible + time.Second)
	if trouble {
		s.configure(12, []route{newRoute("r-k9m68k7", prefix, "cutroom"), newRoute("r-5xwyhks", "/kafi706/", "cutroom")}, services)
	} else {
		changed := newRoute("r-anu6wsj", prefix, "fitdesk")
		changed.TimeoutMs = 2500
		s.configure(12, []route{changed, newRoute("r-5xwyhks", "/kafi706/", "cutroom")}, services)
	}
	time.Sleep(configTime + stable)
	for _, e := range s.entries {
		s.send(e, http.MethodGet, prefix+id, nil)
	}
	// The request that was answered with 200 arrives again, as it occasionally does.
	s.send(s.entries[1], http.MethodPost, prefix+id, j.jobBody)
	time.Sleep(time.Second)
	// The rule is checked before the client cancels the job, which only shows what else is lost.
	broken := s.fleet.twice()
	s.send(s.entries[0], http.MethodDelete, prefix+id, nil)
	time.Sleep(cancelTime + stopBound)
	for _, x := range s.fleet.startsOf(id) {
		if x.ended.IsZero() {
			s.record.note("%s run %d still runs on %s (%s), %v after its job's cancelling was answered", x.task, x.run, x.worker, x.pool, cancelTime+stopBound)
		}
	}
	s.finish(broken)
}

// twice returns the tasks that had two runs at the same time, or a start after a run whose end done is taken note of then or later.
func (f *fleet) twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	byTask := map[string][]*start{}
	for _, b := range f.starts {
		earlier := byTask[b.task]
		byTask[b.task] = append(earlier, b)
		for _, a := range earlier {
			if a.ended.IsZero() || a.ended.After(b.at) {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s (%s) while run %d runs on %s (%s)", b.task, b.run, b.worker, b.pool, a.run, a.worker, a.pool))
			} else if a.how == "done" && !a.noted.IsZero() {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d starts on %s (%s) after run %d was done on %s (%s)", b.task, b.run, b.worker, b.pool, a.run, a.worker, a.pool))
			}
		}
	}
	return broken
}

// failedOnce lets the first run of a task fail on the only worker that has room for it; the other workers run tasks that last.
func failedOnce(s *system, trouble bool) {
	const prefix, lasting, id = "/puxa400/", "a1b2c3d4e5f60718", "5c0e7a21d94b36f8"
	s.addWorkers("fitdesk", 3)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	s.submit(prefix, &job{id: lasting, jobBody: jobBody{Spec: "count", Steps: []step{{Count: 2, Cpu: 40000, MemMb: 17000, MaxPerServer: 1, LongRunning: true, EstimateMs: 900}}}})
	time.Sleep(stable)
	j := &job{id: id, jobBody: jobBody{Spec: "size match", Steps: []step{{Count: 1, Cpu: 30000, MemMb: 5100, EstimateMs: 1000}}}, work: time.Second, failAfter: 600 * time.Millisecond}
	if trouble {
		j.failures = 1
	}
	s.submit(prefix, j)
	var broken []string
	idle := time.Duration(0)
	const look = 500 * time.Millisecond
	for end := time.Now().Add(3 * finishTime); time.Now().Before(end) && len(broken) == 0; {
		time.Sleep(look)
		status, state := s.state(prefix, id)
		if status == http.StatusOK && strings.Contains(state, "completed") {
			break
		}
		used, capacity, free := s.fleet.usage("fitdesk")
		running := false
		for _, x := range s.fleet.startsOf(id) {
			running = running || x.ended.IsZero()
		}
		if running || free < 2*30000 || 2*used >= capacity {
			idle = 0
			continue
		}
		idle += look
		s.record.note("nothing of %s runs for %v; in use %d of %d, a worker has %d free", id, idle, used, capacity, free)
		// The rule counts 3 s; the job may also be late for finish_s.
		if idle > finishTime+3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: job %s has nothing running for %v, and a worker has room for its task twice over; state %s", id, idle, state))
		}
	}
	if trouble && len(broken) > 0 {
		s.record.note("the job that lasts is cancelled, to show what the task waited for")
		s.send(s.entries[0], http.MethodDelete, prefix+lasting, nil)
		time.Sleep(5 * time.Second)
		s.state(prefix, id)
	}
	s.finish(broken)
}

const (
	// memoryLimit is MemoryMb of the settings; the platform kills a process that exceeds it and starts it again.
	memoryLimit  = 284 << 10
	restartDelay = time.Second
)

// scheduledJobs submits jobs that run each hour for a year, and then an ordinary job.
func scheduledJobs(s *system, trouble bool) {
	const prefix, id = "/puxa400/", "a1b2c3d4e5f60718"
	s.addWorkers("fitdesk", 3)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	go s.limitMemory()
	const jobs = 30
	for n := range jobs {
		j := &job{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+n), work: 600 * time.Millisecond}
		j.jobBody = jobBody{Spec: "stock tally", Steps: []step{{Count: 6, Cpu: 3500, MemMb: 5100, EstimateMs: 600}}}
		if trouble {
			j.Times, j.IntervalMs, j.StartTimeMs = 365*24, time.Hour.Milliseconds(), time.Now().Add(time.Hour).UnixMilli()
		}
		s.submit(prefix, j)
		time.Sleep(200 * time.Millisecond)
	}
	s.submit(prefix, &job{id: id, jobBody: jobBody{Spec: "size match", Steps: []step{{Count: 2, Cpu: 3500, MemMb: 5100, EstimateMs: 600}}}, work: 600 * time.Millisecond})
	var broken []string
	accepted := time.Now()
	completed := false
	for !completed && time.Since(accepted) < 2*finishTime {
		time.Sleep(time.Second)
		status, state := s.state(prefix, id)
		completed = status == http.StatusOK && strings.Contains(state, "completed")
	}
	if len(s.fleet.startsOf(id)) == 0 {
		used, capacity, _ := s.fleet.usage("fitdesk")
		broken = append(broken, fmt.Sprintf("LOST: no task of job %s has started %v after its acceptance, with %d of %d in use", id, time.Since(accepted).Round(time.Second), used, capacity))
	}
	for _, e := range s.entries {
		s.record.note("%s was killed %d times because it exceeded its memory", e.name, e.killed)
	}
	s.finish(broken)
}

// limitMemory kills each entry instance that exceeds its memory, and starts it again.
func (s *system) limitMemory() {
	for range time.Tick(50 * time.Millisecond) {
		for _, e := range s.entries {
			if used := e.memory(); used > memoryLimit {
				s.record.note("platform: %s uses %d MB, more than its %d MB, and is killed", e.name, used>>10, memoryLimit>>10)
				e.killed++
				e.kill()
				time.AfterFunc(restartDelay, func() { s.start(e) })
			}
		}
	}
}

// memory returns the resident memory of the process in KB, or 0 if it does not run.
func (e *entry) memory() int {
	processesMu.Lock()
	defer processesMu.Unlock()
	if e.command == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			used, _ := strconv.Atoi(fields[1])
			return used
		}
	}
	return 0
}

// leaseOfEarlierLife restarts a worker under its id. The holder has not learned of that when it starts a task there; then the worker is cut off
// and the holder's machine is stopped as planned. A trial in which the holder learned of the restart first is repeated.
func leaseOfEarlierLife(s *system, trouble bool) {
	const prefix = "/puxa400/"
	s.addWorkers("fitdesk", 9)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(4)
	time.Sleep(2 * stable)
	// A task that lasts makes its worker the fullest one, which gets the next task.
	const lasting = "a1b2c3d4e5f60718"
	s.submit(prefix, &job{id: lasting, jobBody: jobBody{Spec: "count", Steps: []step{{Count: 1, Cpu: 8000, MemMb: 17000, LongRunning: true, EstimateMs: 900}}}})
	time.Sleep(stable)
	const (
		trials   = 4
		downtime = 160 * time.Millisecond
		cutTime  = 5500 * time.Millisecond
	)
	for n := range trials {
		w := s.fleet.runningOn(lasting)
		holder := s.holder("fitdesk")
		if w == nil || holder == nil {
			time.Sleep(time.Second)
			continue
		}
		j := &job{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+n), work: 8 * time.Second}
		j.jobBody = jobBody{Spec: "alteration", Steps: []step{{Count: 1, Cpu: 3500, MemMb: 5100, EstimateMs: 8000}}}
		s.fleet.addJob(j)
		other := s.entries[0]
		if other == holder {
			other = s.entries[1]
		}
		if trouble {
			w.crash()
			time.Sleep(downtime)
			go w.restart(100 * time.Millisecond)
			time.Sleep(5 * time.Millisecond)
		}
		go s.send(other, http.MethodPost, prefix+j.id, j.jobBody)
		started := s.fleet.awaitStart(j.id, time.Second)
		if trouble {
			w.setCut(true)
		}
		s.record.note("planned stop of %s, which holds the pool", holder.name)
		holder.terminate()
		time.Sleep(cutTime)
		if trouble {
			w.setCut(false)
		}
		time.Sleep(2 * time.Second)
		s.start(holder)
		s.record.note("trial %d: started first on %s", n+1, started)
		if broken := s.fleet.twice(); len(broken) > 0 {
			s.finish(broken)
		}
		time.Sleep(4 * time.Second)
	}
	s.finish(nil)
}

// runningOn returns the worker that runs the first task of a job.
func (f *fleet) runningOn(id string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for task := range w.runs {
			if strings.HasPrefix(task, id+".") {
				return w
			}
		}
	}
	return nil
}

// awaitStart waits for the first start of a job and returns its worker.
func (f *fleet) awaitStart(id string, limit time.Duration) string {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if list := f.startsOf(id); len(list) > 0 {
			return list[0].worker
		}
	}
	return "none"
}

// holder returns the entry instance that holds a pool, by the key in which the instances record it.
func (s *system) holder(pool string) *entry {
	value, _ := s.store.get("control/duty/" + pool)
	var h struct{ Node string }
	if json.Unmarshal(value, &h) != nil {
		return nil
	}
	for _, e := range s.entries {
		if e.name == h.Node {
			return e
		}
	}
	return nil
}

// terminate stops the process of an entry instance as planned.
func (e *entry) terminate() {
	processesMu.Lock()
	defer processesMu.Unlock()
	c := e.command
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	exited := e.exited
	go func() {
		<-exited
		processesMu.Lock()
		defer processesMu.Unlock()
		if e.command == c {
			e.command = nil
		}
	}()
}

// endsOfNewLife restarts a worker under its id. The holder has not learned of that when a short task runs there; its next hold acknowledges the
// ends of the earlier life by their number, and with them the end of that task. A trial in which the holder learned of the restart first is
// repeated.
func endsOfNewLife(s *system, trouble bool) {
	const prefix = "/puxa400/"
	// The workers of the site, whose heartbeats are spread over time.
	pools := []string{"fitdesk", "cutroom", "tailorbill", "stitchworks", "ledgerhall"}
	for i := range 49 {
		s.addWorkers(pools[i%len(pools)], 1)
		time.Sleep(heartbeat / 49)
	}
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(2 * stable)
	// A task that lasts makes its worker the fullest one, which gets the next task.
	const lasting = "a1b2c3d4e5f60718"
	s.submit(prefix, &job{id: lasting, jobBody: jobBody{Spec: "count", Steps: []step{{Count: 1, Cpu: 8000, MemMb: 17000, LongRunning: true, EstimateMs: 900}}}})
	time.Sleep(stable)
	const (
		trials   = 28
		downtime = 200 * time.Millisecond
	)
	for n := range trials {
		for i := range 2 {
			j := &job{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+2*n+i), work: 40 * time.Millisecond}
			j.jobBody = jobBody{Spec: "size match", Steps: []step{{Count: 2, Cpu: 3500, MemMb: 5100, EstimateMs: 40}}}
			s.fleet.addJob(j)
			w := s.fleet.runningOn(lasting)
			if trouble && i == 1 && w != nil {
				w.crash()
				time.Sleep(downtime)
				go w.restart(0)
				time.Sleep(2 * time.Millisecond)
			}
			s.send(s.entries[n%len(s.entries)], http.MethodPost, prefix+j.id, j.jobBody)
			time.Sleep(time.Second)
		}
		if broken := s.fleet.twice(); len(broken) > 0 {
			s.finish(broken)
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.finish(nil)
}
