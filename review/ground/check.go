package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// runEnded notes the end of a run for the checks.
func (w *world) runEnded(k *worker, r *run, how string) {
	if how == "done" {
		w.done[r.task] = true
		w.doneAt[r.task] = time.Now()
		if r.step.Gang {
			// One end done represents all tasks of the gang.
			for i := range r.step.Count {
				w.done[fmt.Sprintf("%s.%d", stepOf(r.task), i)] = true
			}
		}
	}
	if how == "failed" {
		w.failedRuns[r.task]++
		if r.step.Gang {
			w.failedRuns[stepOf(r.task)]++
		}
	}
	if r.step.Gang && how == "done" {
		runs, on := w.gangRuns(r)
		for i, x := range runs {
			if on[i].runs[x.task] == x {
				on[i].finish(x, "done")
			}
		}
	}
	if r.step.Gang && (how == "stopped" || how == "lapsed" || how == "failed" || how == "broken") {
		w.breakGang(r)
	}
	if how == "alone" {
		w.say("ALONE %s/%d", r.task, r.n)
	}
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gangRuns returns the runs of a gang's run that are present.
func (w *world) gangRuns(r *run) (runs []*run, on []*worker) {
	for _, k := range w.workers {
		if !k.up {
			continue
		}
		for _, x := range k.runs {
			if x.n == r.n && stepOf(x.task) == stepOf(r.task) {
				runs, on = append(runs, x), append(on, k)
			}
		}
	}
	return runs, on
}

func (w *world) breakGang(r *run) {
	runs, on := w.gangRuns(r)
	for i, x := range runs {
		if on[i].runs[x.task] == x {
			on[i].finish(x, "broken")
		}
	}
}

// tickGang lets a gang work once all of its tasks are present, and ends one that waits for too long.
func (w *world) tickGang(k *worker, r *run, now time.Time) {
	runs, _ := w.gangRuns(r)
	if len(runs) == r.step.Count {
		ms, _ := strconv.Atoi(r.job.Spec)
		for _, x := range runs {
			x.gangWait, x.due = false, now.Add(time.Duration(ms)*time.Millisecond)
		}
		return
	}
	if now.Sub(r.started) > 3*time.Second {
		k.finish(r, "alone")
	}
}

// acknowledge forgets the ends up to a number, which are taken note of.
func (k *worker) acknowledge(until int64) {
	kept := k.ended[:0:0]
	for _, e := range k.ended {
		if e.n > until {
			kept = append(kept, e)
			continue
		}
		if e.how == "done" && !e.lapsed {
			k.w.doneNoted[e.task] = true
			if started, at := k.w.startedAt[e.task], k.w.doneAt[e.task]; started.After(at) {
				k.w.breaks("TWICE", "%s: an end done is taken note of on %s, and a run began after it", e.task, k.id)
			}
		}
		if e.how == "failed" {
			k.w.failedNoted[e.task]++
		}
	}
	k.ended = kept
}

// checkStart checks the rules on a start.
func (w *world) checkStart(k *worker, o order, j *job, n int, s *step) {
	now := time.Now()
	w.startedAt[o.Task] = now
	if w.doneNoted[o.Task] {
		w.breaks("TWICE", "%s/%d starts on %s after an end done was taken note of", o.Task, o.Run, k.id)
	}
	if j.refused {
		w.breaks("REFUSED", "%s starts, its job was rejected at each try", o.Task)
	}
	if w.failedNoted[o.Task] >= 4 {
		w.breaks("BUDGET", "%s starts after %d failed runs", o.Task, w.failedNoted[o.Task])
	}
	if o.Spec != j.Spec {
		w.breaks("UNASKED", "%s starts with another Spec", o.Task)
	}
	part := strings.Split(o.Task, ".")
	occurrence, _ := strconv.Atoi(part[1])
	for _, a := range s.After {
		for i := range j.Steps[a].Count {
			t := fmt.Sprintf("%s.%d.%d.%d", part[0], occurrence, a, i)
			if !w.done[t] {
				w.breaks("ORDER", "%s starts before %s has ended done", o.Task, t)
			}
		}
	}
	if j.Times > 0 {
		if due := time.UnixMilli(j.StartTimeMs + int64(occurrence)*j.IntervalMs); now.Before(due.Add(-250 * time.Millisecond)) {
			w.breaks("ORDER", "%s starts %v before its time", o.Task, due.Sub(now))
		}
	}
	if k.m.pool != j.pool && w.movedTo == nil {
		w.breaks("ROUTE", "%s of %s starts on %s in %s", o.Task, j.pool, k.id, k.m.pool)
	}
	if s.MaxPerServer > 0 {
		same := 0
		for _, x := range k.runs {
			if stepOf(x.task) == stepOf(o.Task) {
				same++
			}
		}
		if same > s.MaxPerServer {
			w.breaks("ROUTE", "%s is task %d of its step on %s", o.Task, same, k.id)
		}
	}
	if j.cancelled && now.Sub(j.cancelledAt) > 3*time.Second {
		w.breaks("UNASKED", "%s/%d starts %v after the acknowledgement of the job's cancel", o.Task, o.Run, now.Sub(j.cancelledAt))
	}
	if j.failShare > 0 && w.rnd() < j.failShare || k.fails {
		k.runs[o.Task].fails = true
	}
	k.runs[o.Task].gangWait = s.Gang
}

// disturbOrder applies the faults of a worker to an order; it reports whether the order was consumed. The lock is released if it was.
func (w *world) disturbOrder(k *worker, rw http.ResponseWriter, r *http.Request, o order) bool {
	if k.silent {
		w.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/api/hold" || w.rnd() >= w.f.late {
		return false
	}
	born := k.started
	w.after(time.Duration(2000+w.random.IntN(10000))*time.Millisecond, func() {
		if !k.up || !k.started.Equal(born) || o.Fence < k.fence {
			return
		}
		k.fence = o.Fence
		w.say("carried out late: %s %s/%d on %s", r.URL.Path, o.Task, o.Run, k.id)
		if r.URL.Path == "/api/run-start" {
			k.tick(time.Now())
			k.start(o)
		}
		if r.URL.Path == "/api/run-stop" {
			k.lastRun[o.Task] = max(k.lastRun[o.Task], o.Run)
			if x := k.runs[o.Task]; x != nil && x.n == o.Run {
				w.orderEnds(k, x, "stop")
				k.finish(x, "stopped")
			}
		}
	})
	w.mu.Unlock()
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// checkHolder checks the rule ONE on an order for a machine.
func (w *world) checkHolder(m *machine, holder, token string) {
	fence, _ := strconv.ParseUint(token, 10, 64)
	now := time.Now()
	if m.holder != "" {
		if fence < m.fence {
			w.breaks("ONE", "order for %s by %s with token %d after %s with token %d", m.id, holder, fence, m.holder, m.fence)
		}
		if fence == m.fence && holder != m.holder {
			w.breaks("ONE", "orders for %s by %s and %s with token %d", m.id, holder, m.holder, fence)
		}
		if holder != m.holder && now.Sub(m.orderedAt) < 3*time.Second {
			w.breaks("ONE", "order for %s by %s %v after one by %s", m.id, holder, now.Sub(m.orderedAt), m.holder)
		}
	}
	m.holder, m.fence, m.orderedAt = holder, max(m.fence, fence), now
}

// checkMachineOrder checks the rule LIMIT on an upkeep that begins.
func (w *world) checkMachineOrder(m *machine, wave string, upkeep bool) {
	if !upkeep || w.waveMax == 0 {
		return
	}
	down := 0
	for _, other := range w.machines {
		if other.state == "upkeep" && other.inWave == wave {
			down++
		}
	}
	if down >= w.waveMax {
		w.breaks("LIMIT", "upkeep of %s while %d machines of wave %s are down, MaxCount %d", m.id, down, wave, w.waveMax)
	}
}

// checkWave checks the rule MIXED on the status of a wave.
func (w *world) checkWave() {
	var s struct{ State string }
	if w.waveMax == 0 || w.waveSeen || json.Unmarshal(w.kv.items["status/wave/3"].Value, &s) != nil || s.State != "completed" {
		return
	}
	w.waveSeen = true
	w.say("wave 3 is completed")
	for _, id := range w.waveOf {
		if !w.machines[id].waves["3"] {
			w.breaks("MIXED", "wave 3 is completed, %s has not begun its upkeep", id)
		}
	}
}

// disturbCloud applies the faults of the cloud's interface to an order; it reports whether the order was consumed. The lock is released if it was.
func (w *world) disturbCloud(rw http.ResponseWriter, r *http.Request) bool {
	f := w.f
	if f.cloudSlow > 0 {
		w.mu.Unlock()
		time.Sleep(f.cloudSlow)
		w.mu.Lock()
	}
	switch f.cloudDown {
	case "":
		return false
	case "busy":
		w.mu.Unlock()
		rw.WriteHeader(503)
		return true
	case "silent":
		w.mu.Unlock()
		<-r.Context().Done()
	default:
		w.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}
