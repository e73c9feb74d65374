package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/platform/wire"
)

// advice is the advice service. Its policy allows each step on one worker, which the step's name decides and which does not change.
type advice struct {
	world    *world
	workers  []string
	settings wire.AdviceSettings

	mu             sync.Mutex
	turn           sync.Mutex
	waiting        int
	tickets        map[string]time.Time
	calls, refused int
}

// maxWaiting is the number of waiting calls from which on the service answers 429.
const maxWaiting = 32

// allowed returns the worker on which a step may run.
func (a *advice) allowed(step string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step))
	return a.workers[h.Sum32()%uint32(len(a.workers))]
}

func (a *advice) ticket(step, worker string, life int) string {
	return fmt.Sprintf("%s/%s/%d", step, worker, life)
}

// ServeHTTP answers calls one after the other.
func (a *advice) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	var in wire.AdviceRequest
	if q.URL.Path != wire.PathAdvise || json.NewDecoder(q.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	a.calls++
	if a.waiting >= maxWaiting {
		a.refused++
		a.mu.Unlock()
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	if q.Context().Err() == nil {
		time.Sleep(time.Duration((a.settings.DecideMs + a.settings.EachMs*float64(len(in.Workers))) * float64(time.Millisecond)))
	}
	a.turn.Unlock()
	out := wire.Tickets{Good: [][2]string{}, ValidMs: a.settings.ValidMs}
	allowed := a.allowed(in.Step)
	a.world.mu.Lock()
	for _, w := range a.world.workers {
		if w.id != allowed || !contains(in.Workers, w.id) {
			continue
		}
		ticket := a.ticket(in.Step, w.id, w.life)
		a.mu.Lock()
		a.tickets[ticket] = time.Now().Add(time.Duration(a.settings.ValidMs * float64(time.Millisecond)))
		a.mu.Unlock()
		out.Good = append(out.Good, [2]string{w.id, ticket})
	}
	a.world.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(out)
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}

// valid reports whether a start carries a valid ticket.
func (a *advice) valid(o wire.Order, w *worker) bool {
	step := o.Task[:strings.LastIndex(o.Task, ".")]
	a.mu.Lock()
	defer a.mu.Unlock()
	return o.Ticket == a.ticket(step, w.id, w.life) && time.Now().Before(a.tickets[o.Ticket])
}

const (
	// finish is finish_s, idle the time without a run that the rule allows.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// adviceAfterLoss: one of eight workers is lost for good, while jobs of a queue with advice come.
func adviceAfterLoss(f *fleet, trouble bool) (bool, error) {
	const count, perSecond = 8, 4
	const traffic = 65 * time.Second
	v := &world{random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)), guard: true}
	settings := wire.AdviceSettings{DecideMs: 80, EachMs: 5, ValidMs: 3000}
	f.platform.Pools = map[string]int{}
	f.prepare = func() error {
		if err := v.begin(f, "fitdesk", count); err != nil {
			return err
		}
		a := &advice{world: v, settings: settings, tickets: map[string]time.Time{}}
		for _, w := range v.workers {
			a.workers = append(a.workers, w.id)
		}
		v.advice = a
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = (&http.Server{Handler: a}).Serve(l) }()
		f.advice = l.Addr().String()
		return nil
	}
	r := route("kept", "/kept/")
	r.Advice = &settings
	if err := f.start(3, []wire.Route{r}, []wire.Service{{Name: "fitdesk", AdmissionCheck: true}}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	began := time.Now()
	lost := v.workers[0].id
	var group sync.WaitGroup
	for n := 0; time.Since(began) < traffic; n++ {
		if trouble && time.Since(began) > 2*time.Second && !v.lostWorker() {
			v.lose(f, lost)
		}
		id := fmt.Sprintf("%016x", n+1)
		j := &job{id: id, runTime: 400 * time.Millisecond, attempts: 4}
		j.Spec, j.Steps = "spec "+id, []wire.Step{{Count: 2, CPU: 1000, MemMb: 100, EstimateMs: 400}}
		v.mu.Lock()
		v.jobs[id] = j
		v.mu.Unlock()
		group.Go(func() { f.submit(v, j, n) })
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	ended := time.Now()
	f.note("end of the traffic: %s", v.outstanding(lost))
	time.Sleep(finish)
	f.note("finish_s later: %s", v.outstanding(lost))
	waiting := v.waiting(lost)
	// A job that has nothing running during all of the next seconds, with its worker idle.
	for end := time.Now().Add(idle + 200*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id := range waiting {
			if !v.idleJob(id) {
				delete(waiting, id)
			}
		}
	}
	f.note("%.1f s after the end of the traffic: %s", time.Since(ended).Seconds(), v.outstanding(lost))
	v.advice.mu.Lock()
	f.note("advice: %d calls, %d refused with 429", v.advice.calls, v.advice.refused)
	v.advice.mu.Unlock()
	for id := range waiting {
		status, body := f.call(f.nodes[0], http.MethodGet, "/kept/"+id, nil)
		f.note("broken: job %s has had nothing running for %v, its policy allows the worker %s, which is up and idle; its state is %d %s", id, idle, v.advice.allowed(id+".0.0"), status, body)
	}
	fmt.Println("jobs without a run:", len(waiting))
	return len(waiting) == 0, nil
}

func (v *world) lostWorker() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts["lost"] > 0
}

// lose ends a worker for good.
func (v *world) lose(f *fleet, id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts["lost"]++
	for _, w := range v.workers {
		if w.id == id {
			w.dark, w.unheard = true, true
			for _, r := range w.runs {
				w.drop(r)
			}
			w.lapses++
			w.gone = true
		}
	}
	time.AfterFunc(4500*time.Millisecond, func() { v.remove(wire.PrefixWorkers + id) })
	f.note("worker %s is lost for good", id)
}

// idleJob reports whether a job has no run, is not done, and its worker runs less than half of its room.
func (v *world) idleJob(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	j := v.jobs[id]
	undone := false
	for i := range j.Steps[0].Count {
		t := v.task(fmt.Sprintf("%s.0.0.%d", id, i))
		if len(t.live) > 0 {
			return false
		}
		undone = undone || len(t.done) == 0
	}
	used, room := int64(0), int64(0)
	for _, w := range v.workers {
		if !w.gone {
			used += w.used().CPU
			room += w.cap.CPU
		}
		if w.id == v.advice.allowed(id+".0.0") && w.cap.CPU-w.used().CPU < 2*j.Steps[0].CPU {
			return false
		}
	}
	return undone && 2*used < room
}

// waiting returns the accepted jobs without a run whose worker is up.
func (v *world) waiting(lost string) map[string]bool {
	v.mu.Lock()
	var ids []string
	for id, j := range v.jobs {
		if !j.accepted.IsZero() && (v.counts["lost"] == 0 || v.advice.allowed(id+".0.0") != lost) {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	list := map[string]bool{}
	for _, id := range ids {
		if v.idleJob(id) {
			list[id] = true
		}
	}
	return list
}

func (v *world) outstanding(lost string) string {
	v.mu.Lock()
	accepted, hopeless, done := 0, 0, 0
	for id, j := range v.jobs {
		if j.accepted.IsZero() {
			continue
		}
		accepted++
		d := 0
		for i := range j.Steps[0].Count {
			d += min(1, len(v.task(fmt.Sprintf("%s.0.0.%d", id, i)).done))
		}
		if d == j.Steps[0].Count {
			done++
		} else if v.counts["lost"] > 0 && v.advice.allowed(id+".0.0") == lost {
			hopeless++
		}
	}
	v.mu.Unlock()
	return fmt.Sprintf("%d jobs accepted, %d done, %d allowed on the lost worker only, %d others wait", accepted, done, hopeless, accepted-done-hopeless)
}
