package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// cases holds the cases by the name that run.sh passes. A case gets whether it shall cause its disruption.
var cases = map[string]func(s *system, trouble bool){
	"moved":    movedQueue,
	"failed":   failedOnce,
	"gang":     gangWithAdvice,
	"cancel":   cancelledBeforeStored,
	"early":    earlyOccurrences,
	"record":   largeRecord,
	"schedule": scheduledJobs,
}

const (
	configTime = 2000 * time.Millisecond
	stable     = 3000 * time.Millisecond
	visible    = 3000 * time.Millisecond
	finishTime = 14 * time.Second
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
	time.Sleep(5 * time.Second)
	s.finish(s.fleet.twice())
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

// gangWithAdvice submits a gang to a queue that was just added; with the disruption that queue has advice.
func gangWithAdvice(s *system, trouble bool) {
	const prefix, id, plain = "/tije37/", "5c0e7a21d94b36f8", "a1b2c3d4e5f60718"
	s.addWorkers("fitdesk", 4)
	routes := []route{newRoute("r-anu6wsj", "/puxa400/", "fitdesk")}
	s.configure(7, routes, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	added := newRoute("r-8nbkxxm", prefix, "fitdesk")
	if trouble {
		added.Advice = &advice{DecideMs: 20, EachMs: 1, ValidMs: 3000}
	}
	s.configure(12, append(routes, added), []service{newService("fitdesk")})
	time.Sleep(configTime + stable)
	// A job without a gang shows that the queue and its advice work.
	s.submit(prefix, &job{id: plain, jobBody: jobBody{Spec: "plain", Steps: []step{{Count: 4, Cpu: 3500, MemMb: 5100, EstimateMs: 600}}}, work: 600 * time.Millisecond})
	s.submit(prefix, &job{id: id, jobBody: jobBody{Spec: "gang", Steps: []step{{Count: 4, Cpu: 3500, MemMb: 5100, EstimateMs: 600, Gang: true}}}, work: 600 * time.Millisecond})
	time.Sleep(finishTime + 3*time.Second)
	s.state(prefix, plain)
	status, state := s.state(prefix, id)
	used, capacity, _ := s.fleet.usage("fitdesk")
	var broken []string
	if len(s.fleet.startsOf(id)) == 0 && 2*used < capacity {
		broken = append(broken, fmt.Sprintf("LOST: no task of job %s has started %v after its acceptance, with %d of %d in use; state %d %s", id, finishTime+3*time.Second, used, capacity, status, state))
	}
	s.finish(broken)
}

// cancelledBeforeStored leaves the writes of one job unanswered among those of others, and carries them out late. The client gives up, and cancels
// the job.
func cancelledBeforeStored(s *system, trouble bool) {
	const prefix, id = "/puxa400/", "5c0e7a21d94b36f8"
	s.addWorkers("fitdesk", 9)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	j := &job{id: id, jobBody: jobBody{Spec: "alteration 4711", Steps: []step{{Count: 2, Cpu: 3500, MemMb: 5100, EstimateMs: 6000}}}, work: 6 * time.Second}
	s.fleet.addJob(j)
	others := make(chan struct{})
	go s.submitOthers(prefix, others)
	time.Sleep(time.Second)
	s.store.mu.Lock()
	lost, before := 0, s.store.transactions
	if trouble {
		s.store.late = func(t *transaction) time.Duration {
			for _, p := range t.Puts {
				if strings.Contains(p.Key, id) {
					lost++
					s.record.note("store: the write of %s is not answered and carried out 6 s later", p.Key)
					return 6 * time.Second
				}
			}
			return 0
		}
	}
	s.store.mu.Unlock()
	began := time.Now()
	s.send(s.entries[0], http.MethodPost, prefix+id, j.jobBody)
	s.store.mu.Lock()
	s.store.late = nil
	s.record.note("store: %d of %d writes of the system were not answered in %v", lost, s.store.transactions-before, time.Since(began))
	s.store.mu.Unlock()
	var acknowledged time.Time
	for acknowledged.IsZero() && time.Since(began) < 10*time.Second {
		if status, _ := s.send(s.entries[1], http.MethodDelete, prefix+id, nil); status == http.StatusOK || status == http.StatusGone {
			acknowledged = time.Now()
		}
	}
	time.Sleep(10 * time.Second)
	close(others)
	const cancelTime = 3 * time.Second
	var broken []string
	for _, x := range s.fleet.startsOf(id) {
		if x.at.Sub(acknowledged) > cancelTime {
			broken = append(broken, fmt.Sprintf("UNASKED: %s starts %v after its job's cancelling was acknowledged", x.task, x.at.Sub(acknowledged)))
		}
	}
	s.finish(broken)
}

// submitOthers sends a small job each 100 ms until stop is closed.
func (s *system) submitOthers(prefix string, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		o := &job{id: fmt.Sprintf("%016x", 0x7700000000000000+n), jobBody: jobBody{Spec: "other", Steps: []step{{Count: 1, Cpu: 1000, EstimateMs: 300}}}, work: 300 * time.Millisecond}
		s.fleet.addJob(o)
		go s.send(s.entries[2], http.MethodPost, prefix+o.id, o.jobBody)
	}
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

// earlyOccurrences submits a job that runs each week; with the disruption it runs so often that the last occurrences are centuries away.
func earlyOccurrences(s *system, trouble bool) {
	const prefix, id = "/puxa400/", "5c0e7a21d94b36f8"
	s.addWorkers("fitdesk", 3)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	const week = 7 * 24 * time.Hour
	first := time.Now().Add(2 * time.Second)
	j := &job{id: id, jobBody: jobBody{
		Spec: "stock tally", Steps: []step{{Count: 1, Cpu: 3500, MemMb: 5100, EstimateMs: 600}},
		Times: 1000, IntervalMs: week.Milliseconds(), StartTimeMs: first.UnixMilli(),
	}, work: 600 * time.Millisecond}
	if trouble {
		j.Times = 20000
	}
	s.submit(prefix, j)
	time.Sleep(15 * time.Second)
	const early = 250 * time.Millisecond
	var broken []string
	for _, x := range s.fleet.startsOf(id) {
		occurrence, _ := strconv.ParseInt(strings.Split(x.task, ".")[1], 10, 64)
		dueMs := j.StartTimeMs + occurrence*j.IntervalMs
		if x.at.UnixMilli() < dueMs-early.Milliseconds() {
			broken = append(broken, fmt.Sprintf("ORDER: %s starts %d days before its time", x.task, (dueMs-x.at.UnixMilli())/(24*time.Hour).Milliseconds()))
		}
	}
	s.finish(broken)
}

// largeRecord submits a scheduled job whose progress becomes larger than a value of the store, and ordinary jobs before and after that.
func largeRecord(s *system, trouble bool) {
	const prefix, id = "/puxa400/", "5c0e7a21d94b36f8"
	s.addWorkers("fitdesk", 9)
	s.configure(7, []route{newRoute("r-anu6wsj", prefix, "fitdesk")}, []service{newService("fitdesk")})
	s.startEntries(3)
	time.Sleep(stable)
	j := &job{id: id, jobBody: jobBody{Spec: "stock tally", Times: 2600, IntervalMs: 20, StartTimeMs: time.Now().Add(time.Second).UnixMilli()}, work: 20 * time.Millisecond, quiet: true}
	if !trouble {
		j.Times = 260
	}
	for range 24 {
		j.Steps = append(j.Steps, step{Count: 1, Cpu: 1000, MemMb: 100, EstimateMs: 20})
	}
	s.submit(prefix, j)
	ordinary := func(n int) string { return fmt.Sprintf("%016x", 0x7700000000000000+n) }
	const ordinaryJobs = 65
	for n := range ordinaryJobs {
		time.Sleep(time.Second)
		o := &job{id: ordinary(n), work: 300 * time.Millisecond}
		o.Spec = "size match"
		o.Steps = []step{{Count: 6, Cpu: 3500, MemMb: 5100, EstimateMs: 300}, {Count: 6, Cpu: 3500, MemMb: 5100, EstimateMs: 300, After: []int{0}}}
		s.submit(prefix, o)
		s.store.mu.Lock()
		written, refused := len(s.store.items["state/fitdesk/"+id].Value), s.store.tooLarge
		s.store.mu.Unlock()
		s.record.note("scheduled job: %d starts; its record has %d bytes; %d writes were refused, since a value is larger than ValueBytes", len(s.fleet.startsOf(id)), written, refused)
	}
	time.Sleep(finishTime)
	const look = 500 * time.Millisecond
	idle := map[string]int{}
	for range 7 {
		time.Sleep(look)
		used, capacity, free := s.fleet.usage("fitdesk")
		s.record.note("in use %d of %d, a worker has %d free", used, capacity, free)
		for n := range ordinaryJobs {
			running := false
			for _, x := range s.fleet.startsOf(ordinary(n)) {
				running = running || x.ended.IsZero()
			}
			if !running && 2*used < capacity && free >= 2*6*3500 {
				idle[ordinary(n)]++
			}
		}
	}
	var broken []string
	for n := range ordinaryJobs {
		status, state := s.state(prefix, ordinary(n))
		if idle[ordinary(n)] == 7 && !strings.Contains(state, "completed") {
			broken = append(broken, fmt.Sprintf("LOST: job %s has nothing running for 3 s, %v after the last job was sent, although there is room; state %d %s", ordinary(n), finishTime, status, state))
		}
	}
	s.finish(broken)
}
