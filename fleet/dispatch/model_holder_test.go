package dispatch_test

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// holder is a node that holds the duty, or believes so.
type holder struct {
	pool  *dispatch.Pool
	fence uint64
	// successor is the fence of the holder after a lost one.
	successor uint64
	// until is when a holder that lost the duty surely knows it.
	until time.Time
	// loaded is true once what the holders before left is known; no order is given and no worker is asked before.
	loaded bool
	// registered is true once the first list of registrations was taken over.
	registered bool
	// seen is the handover that was read and may be deleted.
	seen *storedHandover
	// listed is true once the list of machines was read.
	listed bool
}

// storedHandover is the store's record of what a leaving holder told, as it is encoded there.
type storedHandover struct{ value []byte }

// takeOver begins a new holder; the one before goes on until it knows.
func (m *model) takeOver() {
	if m.present != nil {
		m.present.until, m.present.successor = m.now.Add(oldHolderGoesOn), m.revision+100
		m.lost = append(m.lost, m.present)
	}
	m.forgetLost()
	m.revision += 100
	h := &holder{fence: m.revision, pool: &dispatch.Pool{Name: "cutting", Epoch: m.revision, AwaitWorkerList: true, AwaitConfirmation: true}}
	h.pool.Begin(m.now)
	h.pool.SetQueues([]workload.Queue{queue})
	m.present = h
	m.t.Logf("%v: holder %d takes over", m.now.Sub(epoch), h.fence)
}

// forgetLost drops the holders that know by now that they lost the duty.
func (m *model) forgetLost() {
	m.lost = slices.DeleteFunc(m.lost, func(h *holder) bool { return m.now.After(h.until) })
}

// learnLoss ends a holder that reads that it lost the duty.
func (m *model) learnLoss(h *holder) { h.until = m.now.Add(-1) }

// prove reads that the present holder still holds the duty, or gets no answer.
func (m *model) prove(h *holder) {
	if h == m.present && m.t.pick("proof", 0, 3) != 0 {
		h.pool.DutyConfirmed(m.now)
	}
}

// load reads what the holders before left, as the node does; it reports whether the holder goes on.
func (m *model) load(h *holder) bool {
	if !m.readHandover(h) {
		return false
	}
	m.begin(h)
	// The list of registrations may have been read by then, or comes later.
	if m.t.pick("listing", 0, 3) != 0 {
		m.registerAll(h)
	}
	return true
}

// readHandover takes over what the holder before has left, once it is deleted, and reports whether the holder knows that no handover
// of an earlier holder is in the store. What got no answer is read again later.
func (m *model) readHandover(h *holder) bool {
	if m.t.pick("read", 0, 3) == 0 {
		return false
	}
	if h != m.present {
		// The holder reads the duty's key after the handover: a successor may have taken the handover before that read.
		m.learnLoss(h)
		return false
	}
	if m.handover == nil {
		if h.seen != nil {
			m.follow(h, h.seen)
		}
		return true
	}
	h.seen = m.handover
	fate := m.t.pick("delete", 0, 3)
	if fate == 0 {
		return false
	}
	m.handover = nil
	if fate == 1 {
		return false
	}
	m.follow(h, h.seen)
	return true
}

func (m *model) follow(h *holder, stored *storedHandover) {
	var told dispatch.Handover
	if err := json.Unmarshal(stored.value, &told); err != nil {
		m.t.Fatalf("handover: got %v, want it to be read", err)
	}
	h.pool.InheritHandover(told, m.now)
	m.t.Logf("%v: holder %d follows %s", m.now.Sub(epoch), h.fence, stored.value)
}

// begin gives a holder the records and the jobs that the store has.
func (m *model) begin(h *holder) {
	h.loaded = true
	m.t.Logf("%v: holder %d begins, present %v", m.now.Sub(epoch), h.fence, h == m.present)
	if m.seals != nil {
		h.pool.InheritUnresponsive(m.seals)
	}
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		var record *dispatch.Record
		if r, ok := m.records[id]; ok {
			record = &r
		}
		h.pool.AddJob(m.specs[id], record, m.stored[id] < h.fence, m.now)
		if m.cancelled[id] {
			m.hearCancel(h, id)
		}
	}
}

// leave gives the duty back in an orderly way: what is known of runs is written under the condition of the duty before it ends.
func (m *model) leave() {
	h := m.present
	if m.t.pick("recorded", 0, 1) == 1 {
		batch := h.pool.Batch()
		m.keep(batch)
		h.pool.Recorded(batch)
	}
	told, ok := h.pool.Handover(m.now)
	if ok && m.t.pick("handover", 0, 3) != 0 {
		value, err := json.Marshal(told)
		if err != nil {
			m.t.Fatalf("handover: got %v, want it to be encoded", err)
		}
		m.handover = &storedHandover{value}
		m.t.Logf("%v: holder %d leaves %s", m.now.Sub(epoch), h.fence, value)
	}
	m.present = nil
	m.takeOver()
}

// watch lets a holder hear all registrations and jobs, or nothing yet.
func (m *model) watch(h *holder) {
	if m.t.pick("watch", 0, 2) == 0 {
		return
	}
	m.registerAll(h)
	m.hearJobs(h, m.now)
}

// hearJobs lets a holder hear of the jobs accepted until a time that it was not told of, and of their cancelling.
func (m *model) hearJobs(h *holder, until time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		if m.specs[id].Accepted.After(until) || (m.deaf[id] && m.now.Sub(m.specs[id].Accepted) < modelDeaf) {
			continue
		}
		m.hearJob(h, id)
		if m.cancelled[id] {
			m.hearCancel(h, id)
		}
	}
}

// ask has a holder read from the store the jobs that workers list and that it does not know; the answer may be lost.
func (m *model) ask(h *holder) {
	for _, id := range h.pool.UnknownJobs() {
		if without("lost-holders-hear-jobs") && h != m.present {
			continue
		}
		if m.t.pick("ask", 0, 3) == 0 {
			continue
		}
		if _, ok := m.specs[id]; !ok {
			m.t.Logf("%v: holder %d reads that there is no %s", m.now.Sub(epoch), h.fence, id)
			h.pool.NoSuchJob(id, m.now)
			continue
		}
		var record *dispatch.Record
		if r, ok := m.records[id]; ok {
			record = &r
		}
		m.t.Logf("%v: holder %d reads %s", m.now.Sub(epoch), h.fence, id)
		h.pool.AddJob(m.specs[id], record, m.stored[id] < h.fence, m.now)
		if m.cancelled[id] {
			m.hearCancel(h, id)
		}
	}
}

// list has a holder read the list of machines: once for the workers that live, and as long as workers are not heard for those that
// have ended.
func (m *model) list(h *holder) {
	unheard := append(h.pool.AwaitingReport(m.now), h.pool.ReportOverdue(m.now, listedAfter)...)
	if (h.listed && len(unheard) == 0) || m.t.pick("list", 0, 2) == 0 {
		return
	}
	if !h.listed {
		h.listed = true
		var living []string
		for _, w := range m.workers {
			if !w.left {
				living = append(living, w.id)
			}
		}
		h.pool.SetLiveWorkers(living)
		m.t.Logf("%v: holder %d expects %v", m.now.Sub(epoch), h.fence, living)
	}
	for _, w := range unheard {
		if m.worker(w.ID).left {
			m.t.Logf("%v: holder %d knows that %s ended", m.now.Sub(epoch), h.fence, w.ID)
			h.pool.IncarnationEnded(w.Worker, "its machine does not run it any more")
		}
	}
}

// listedAfter is the silence of a worker after which the node looks for its machine in the list.
const listedAfter = 900 * time.Millisecond

// record writes what is due, or loses the answer, or the write.
func (m *model) record() {
	batch := m.present.pool.Batch()
	switch m.t.pick("write", 0, 3) {
	case 0:
		return
	case 1:
		m.keep(batch)
	default:
		m.keep(batch)
		m.present.pool.Recorded(batch)
	}
}

func (m *model) keep(b dispatch.Batch) {
	for _, c := range b.Changes {
		m.records[c.Job] = c.Record
	}
}

// seal records silent workers, or loses the answer, or the write; only the present holder's writes take effect.
func (m *model) seal(h *holder) {
	seals, changed := h.pool.UnresponsiveRecord(m.now)
	if !changed || h != m.present {
		return
	}
	switch m.t.pick("seal", 0, 3) {
	case 0:
		return
	case 1:
		m.seals = seals
	default:
		m.t.Logf("%v: holder %d records %v", m.now.Sub(epoch), h.fence, seals)
		m.seals = seals
		h.pool.UnresponsiveRecorded(seals)
	}
}

// holders returns the present holder and those that do not know yet that they lost the duty.
func (m *model) holders() []*holder {
	m.forgetLost()
	return append([]*holder{m.present}, m.lost...)
}

func (m *model) drawHolder() *holder {
	all := m.holders()
	return all[m.t.pick("holder", 0, len(all)-1)]
}
