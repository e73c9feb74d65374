package dispatch_test

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// holder is a node that holds the duty, or assumes so.
type holder struct {
	pool  *dispatch.Pool
	fence uint64
	// successor is the fencing token of the holder after a lost one.
	successor uint64
	// until is when a holder that lost the duty certainly knows it.
	until time.Time
	// loaded is true once the records of the previous holders are known; no order is given and no worker is polled before.
	loaded bool
	// registered is true once the first list of registrations was applied.
	registered bool
	// seen is the handover that was read and may be deleted.
	seen *storedHandover
	// listed is true once the list of machines was read.
	listed bool
}

// storedHandover is the handover of a leaving holder, as it is encoded in the store.
type storedHandover struct{ value []byte }

// takeOver starts a new holder; the previous one goes on until it knows of its loss.
func (m *model) takeOver() {
	if m.present != nil {
		m.present.until, m.present.successor = m.now.Add(lostHolderTime), m.revision+100
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

// forgetLost removes the holders that know by now that they lost the duty.
func (m *model) forgetLost() {
	m.lost = slices.DeleteFunc(m.lost, func(h *holder) bool { return m.now.After(h.until) })
}

// learnLoss ends a holder that reads that it lost the duty.
func (m *model) learnLoss(h *holder) { h.until = m.now.Add(-1) }

// confirm reads that the present holder still holds the duty, or gets no answer.
func (m *model) confirm(h *holder) {
	if h == m.present && m.t.pick("confirmation", 0, 3) != 0 {
		h.pool.DutyConfirmed(m.now)
	}
}

// load reads what the previous holders left, as the node does; it reports whether the holder goes on.
func (m *model) load(h *holder) bool {
	if !m.readHandover(h) {
		return false
	}
	m.begin(h)
	// The list of registrations may have been read by then, or is read later.
	if m.t.pick("listing", 0, 3) != 0 {
		m.registerAll(h)
	}
	return true
}

// readHandover applies the handover of the previous holder once it is deleted, and reports whether the holder knows that no handover of
// an earlier holder is in the store. An unanswered read is repeated later.
func (m *model) readHandover(h *holder) bool {
	if m.t.pick("read", 0, 3) == 0 {
		return false
	}
	if h != m.present {
		// The holder reads the duty's key after the handover: a successor may have applied the handover before that read.
		m.learnLoss(h)
		return false
	}
	if m.handover == nil {
		if h.seen != nil {
			m.inheritHandover(h, h.seen)
		}
		return true
	}
	h.seen = m.handover
	outcome := m.t.pick("delete", 0, 3)
	if outcome == 0 {
		return false
	}
	m.handover = nil
	if outcome == 1 {
		return false
	}
	m.inheritHandover(h, h.seen)
	return true
}

func (m *model) inheritHandover(h *holder, stored *storedHandover) {
	var handover dispatch.Handover
	if err := json.Unmarshal(stored.value, &handover); err != nil {
		m.t.Fatalf("handover: got %v, want it to be read", err)
	}
	h.pool.InheritHandover(handover, m.now)
	m.t.Logf("%v: holder %d applies the handover %s", m.now.Sub(epoch), h.fence, stored.value)
}

// begin gives a holder the records and jobs in the store.
func (m *model) begin(h *holder) {
	h.loaded = true
	m.t.Logf("%v: holder %d begins, present %v", m.now.Sub(epoch), h.fence, h == m.present)
	if m.unresponsive != nil {
		h.pool.InheritUnresponsive(m.unresponsive)
	}
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		var record *dispatch.Record
		if r, ok := m.records[id]; ok {
			record = &r
		}
		h.pool.AddJob(m.specs[id], record, m.stored[id] < h.fence, m.now)
		if m.cancelled[id] {
			m.learnCancel(h, id)
		}
	}
}

// leave releases the duty: what is known of runs is written under the condition of the duty before it ends.
func (m *model) leave() {
	h := m.present
	if m.t.pick("recorded", 0, 1) == 1 {
		batch := h.pool.Batch()
		m.storeRecords(batch)
		h.pool.BatchRecorded(batch)
	}
	handover, ok := h.pool.Handover(m.now)
	if ok && m.t.pick("handover", 0, 3) != 0 {
		value, err := json.Marshal(handover)
		if err != nil {
			m.t.Fatalf("handover: got %v, want it to be encoded", err)
		}
		m.handover = &storedHandover{value}
		m.t.Logf("%v: holder %d leaves the handover %s", m.now.Sub(epoch), h.fence, value)
	}
	m.present = nil
	m.takeOver()
}

// watch lets a holder learn of all registrations and jobs, or of nothing yet.
func (m *model) watch(h *holder) {
	if m.t.pick("watch", 0, 2) == 0 {
		return
	}
	m.registerAll(h)
	m.learnJobs(h, m.now)
}

// learnJobs lets a holder learn of the jobs accepted until a time, and of their cancellation.
func (m *model) learnJobs(h *holder, until time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		if m.specs[id].Accepted.After(until) || (m.unwatched[id] && m.now.Sub(m.specs[id].Accepted) < modelLateWatchDelay) {
			continue
		}
		m.learnJob(h, id)
		if m.cancelled[id] {
			m.learnCancel(h, id)
		}
	}
}

// readUnknownJobs has a holder read the unknown jobs that workers list from the store; the answer may be lost.
func (m *model) readUnknownJobs(h *holder) {
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
			m.learnCancel(h, id)
		}
	}
}

// readMachines has a holder read the list of machines: once for the live workers, and as long as workers are unresponsive for those that
// have ended.
func (m *model) readMachines(h *holder) {
	unresponsive := append(h.pool.AwaitingReport(m.now), h.pool.ReportOverdue(m.now, unresponsiveAfter)...)
	if (h.listed && len(unresponsive) == 0) || m.t.pick("list", 0, 2) == 0 {
		return
	}
	if !h.listed {
		h.listed = true
		var live []string
		for _, w := range m.workers {
			if !w.departed {
				live = append(live, w.id)
			}
		}
		h.pool.SetLiveWorkers(live)
		m.t.Logf("%v: holder %d lists %v as live", m.now.Sub(epoch), h.fence, live)
	}
	for _, w := range unresponsive {
		if m.worker(w.ID).departed {
			m.t.Logf("%v: holder %d knows that %s ended", m.now.Sub(epoch), h.fence, w.ID)
			h.pool.IncarnationEnded(w.Worker, "its machine does not run it any more")
		}
	}
}

// unresponsiveAfter is the time without a report after which the node looks for a worker's machine in the list.
const unresponsiveAfter = 900 * time.Millisecond

// record writes the unwritten records, or loses the answer or the write.
func (m *model) record() {
	batch := m.present.pool.Batch()
	switch m.t.pick("write", 0, 3) {
	case 0:
		return
	case 1:
		m.storeRecords(batch)
	default:
		m.storeRecords(batch)
		m.present.pool.BatchRecorded(batch)
	}
}

func (m *model) storeRecords(b dispatch.Batch) {
	for _, c := range b.Changes {
		m.records[c.Job] = c.Record
	}
}

// recordUnresponsive records unresponsive workers, or loses the answer or the write; only the present holder's writes take effect.
func (m *model) recordUnresponsive(h *holder) {
	unresponsive, changed := h.pool.UnresponsiveRecord(m.now)
	if !changed || h != m.present {
		return
	}
	switch m.t.pick("unresponsive", 0, 3) {
	case 0:
		return
	case 1:
		m.unresponsive = unresponsive
	default:
		m.t.Logf("%v: holder %d records %v", m.now.Sub(epoch), h.fence, unresponsive)
		m.unresponsive = unresponsive
		h.pool.UnresponsiveRecorded(unresponsive)
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
