package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"verbenalanding.example/platform/wire"
)

// begunJobsAfterLoss: large jobs have begun when the only worker of the kind that their second step requires is lost for good; small jobs come after
// that.
func begunJobsAfterLoss(f *fleet, trouble bool) (bool, error) {
	const count, perSecond, large, tasks = 8, 4, 17, 4000
	const traffic = 25 * time.Second
	v := &world{random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)), guard: true}
	f.platform.Pools = map[string]int{}
	f.prepare = func() error {
		if err := v.begin(f, "fitdesk", count); err != nil {
			return err
		}
		v.workers[0].labels = []string{"kind-x"}
		v.workers[0].register()
		return nil
	}
	if err := f.start(3, []wire.Route{route("kept", "/kept/")}, []wire.Service{{Name: "fitdesk", AdmissionCheck: true}}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	lost := v.workers[0].id
	var group sync.WaitGroup
	for n := range large {
		id := fmt.Sprintf("aaaa%012x", n)
		j := &job{id: id, runTime: 30 * time.Millisecond, attempts: 4}
		j.Spec, j.Steps = "large "+id, []wire.Step{
			{Count: 1, CPU: 100, MemMb: 1, EstimateMs: 30},
			{Count: tasks, CPU: 10, MemMb: 1, EstimateMs: 30, After: []int{0}, RequiredLabel: "kind-x"},
		}
		v.mu.Lock()
		v.jobs[id] = j
		v.mu.Unlock()
		group.Go(func() { f.submit(v, j, n) })
	}
	group.Wait()
	time.Sleep(time.Second)
	if trouble {
		v.lose(f, lost)
	}
	time.Sleep(2 * time.Second)
	began := time.Now()
	var small []string
	for n := 0; time.Since(began) < traffic; n++ {
		id := fmt.Sprintf("bbbb%012x", n)
		j := &job{id: id, runTime: 400 * time.Millisecond, attempts: 4}
		j.Spec, j.Steps = "small "+id, []wire.Step{{Count: 2, CPU: 1000, MemMb: 100, EstimateMs: 400}}
		v.mu.Lock()
		v.jobs[id] = j
		v.mu.Unlock()
		small = append(small, id)
		group.Go(func() { f.submit(v, j, n) })
		time.Sleep(time.Second / perSecond)
	}
	group.Wait()
	f.note("end of the traffic: %s", v.smallJobs(small))
	time.Sleep(finish)
	f.note("finish_s later: %s", v.smallJobs(small))
	waiting := map[string]bool{}
	v.mu.Lock()
	for _, id := range small {
		waiting[id] = !v.jobs[id].accepted.IsZero()
	}
	v.mu.Unlock()
	for end := time.Now().Add(idle + 200*time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for id, idle := range waiting {
			waiting[id] = idle && v.withoutRun(id)
		}
	}
	f.note("%v later: %s", idle, v.smallJobs(small))
	broken := 0
	for _, id := range small {
		if !waiting[id] {
			continue
		}
		broken++
		status, body := f.call(f.nodes[0], http.MethodGet, "/kept/"+id, nil)
		f.note("broken: job %s has had nothing running for %v, with under half of the capacity in use; its state is %d %s", id, idle, status, body)
	}
	fmt.Println("jobs without a run:", broken)
	return broken == 0, nil
}

// withoutRun reports whether a job of one step has no run and is not done, while under half of the capacity is in use and a worker has room for it twice.
func (v *world) withoutRun(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	step := &v.jobs[id].Steps[0]
	undone := false
	for i := range step.Count {
		t := v.task(fmt.Sprintf("%s.0.0.%d", id, i))
		if len(t.live) > 0 {
			return false
		}
		undone = undone || len(t.done) == 0
	}
	var used, room int64
	fits := false
	for _, w := range v.workers {
		if w.gone {
			continue
		}
		u := w.used()
		used += u.CPU
		room += w.cap.CPU
		fits = fits || w.cap.CPU-u.CPU >= 2*int64(step.Count)*step.CPU
	}
	return undone && fits && 2*used < room
}

func (v *world) smallJobs(ids []string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	accepted, done := 0, 0
	for _, id := range ids {
		if v.jobs[id].accepted.IsZero() {
			continue
		}
		accepted++
		if len(v.task(id+".0.0.0").done) > 0 && len(v.task(id+".0.0.1").done) > 0 {
			done++
		}
	}
	return fmt.Sprintf("%d small jobs accepted, %d done; %v", accepted, done, v.counts)
}
