package dispatch_test

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// holder is a node that holds the duty, or that has lost it without having learned of the loss.
type holder struct {
	pool  *dispatch.Pool
	fence uint64
	// successor is the fencing token of the holder after a lost one.
	successor uint64
	// until is when a lost holder stops because it has certainly learned of its loss.
	until time.Time
	// loaded is true once the records of the previous holders were read; before, no order is sent and no worker is polled.
	loaded bool
	// registered is true once the first list of registrations was applied.
	registered bool
	// handoverRead is the handover that was read and may be deleted.
	handoverRead *storedHandover
	// machinesListed is true once the list of machines was read.
	machinesListed bool
}

// storedHandover is the handover of a leaving holder, as it is encoded in the store.
type storedHandover struct{ value []byte }

// takeOver starts a new holder; the previous one goes on until it learns of its loss.
func (m *model) takeOver() {
	if m.current != nil {
		m.current.until, m.current.successor = m.now.Add(lostHolderTime), m.revision+100
		m.lost = append(m.lost, m.current)
		m.previousFence = m.current.fence
	}
	m.removeEndedHolders()
	m.revision += 100
	h := &holder{fence: m.revision, pool: &dispatch.Pool{Name: "cutting", Epoch: m.revision, AwaitWorkerList: true, AwaitConfirmation: true, Settings: dispatch.Settings{LargeTask: 0.5, SecondRuns: 1}}}
	h.pool.Begin(m.now)
	h.pool.SetQueues([]workload.Queue{queue})
	m.current = h
	m.t.Logf("%v: holder %d takes over", m.now.Sub(epoch), h.fence)
}

// removeEndedHolders removes the lost holders that have learned of their loss.
func (m *model) removeEndedHolders() {
	m.lost = slices.DeleteFunc(m.lost, func(h *holder) bool { return m.now.After(h.until) })
}

// learnLoss ends a lost holder, which has read that another one holds the duty.
func (m *model) learnLoss(h *holder) { h.until = m.now.Add(-1) }

// confirm reads that the current holder still holds the duty, or gets no answer.
func (m *model) confirm(h *holder) {
	if h == m.current && m.t.pick("confirmation", 0, 3) != 0 {
		h.pool.DutyConfirmed(m.now)
	}
}

// load reads what the previous holders stored, as the node does; it reports whether the holder may begin.
func (m *model) load(h *holder) bool {
	if !m.readHandover(h) {
		return false
	}
	m.begin(h)
	// The list of registrations may have been read before, or is read later.
	if m.t.pick("listing", 0, 3) != 0 {
		m.registerAll(h)
	}
	return true
}

// readHandover applies the handover of the previous holder once it is deleted, and reports whether the store certainly holds no handover of
// an earlier holder. An unanswered read is repeated later.
func (m *model) readHandover(h *holder) bool {
	if m.t.pick("read", 0, 3) == 0 {
		return false
	}
	if h != m.current {
		// The holder reads the duty's key after the handover: a successor may have applied the handover before that read.
		m.learnLoss(h)
		return false
	}
	if m.handover == nil {
		if h.handoverRead != nil {
			m.inheritHandover(h, h.handoverRead)
		}
		return true
	}
	h.handoverRead = m.handover
	outcome := m.t.pick("delete", 0, 3)
	if outcome == 0 {
		return false
	}
	m.handover = nil
	if outcome == 1 {
		return false
	}
	m.inheritHandover(h, h.handoverRead)
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
	m.t.Logf("%v: holder %d begins, holds the duty: %v", m.now.Sub(epoch), h.fence, h == m.current)
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

// leave releases the duty after a handover is written, which is possible only while the duty is held.
func (m *model) leave() {
	h := m.current
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
	m.previousFence = h.fence
	m.current = nil
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
		if without("lost-holders-hear-jobs") && h != m.current {
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

// readMachines has a holder read the list of machines: once for the live workers, and then, while workers are unresponsive, for those that
// have ended.
func (m *model) readMachines(h *holder) {
	unresponsive := append(h.pool.AwaitingReport(m.now), h.pool.ReportOverdue(m.now, unresponsiveAfter)...)
	if (h.machinesListed && len(unresponsive) == 0) || m.t.pick("list", 0, 2) == 0 {
		return
	}
	if !h.machinesListed {
		h.machinesListed = true
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
			m.t.Logf("%v: holder %d reads that %s has ended", m.now.Sub(epoch), h.fence, w.ID)
			h.pool.IncarnationEnded(w.Worker, "no longer running on its machine")
		}
	}
}

// unresponsiveAfter is the time without a report after which the node looks for a worker's machine in the list.
const unresponsiveAfter = 900 * time.Millisecond

// record writes the unwritten records, or loses the answer or the write.
func (m *model) record() {
	batch := m.current.pool.Batch()
	switch m.t.pick("write", 0, 3) {
	case 0:
		return
	case 1:
		m.storeRecords(batch)
	default:
		m.storeRecords(batch)
		m.current.pool.BatchRecorded(batch)
	}
}

func (m *model) storeRecords(b dispatch.Batch) {
	for _, c := range b.Changes {
		m.records[c.Job] = c.Record
	}
}

// recordUnresponsive records unresponsive workers, or loses the answer or the write; only the current holder's writes take effect.
func (m *model) recordUnresponsive(h *holder) {
	unresponsive, changed := h.pool.UnresponsiveRecord(m.now)
	if !changed || h != m.current {
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

// holders returns the current holder and the lost ones that have not learned of their loss yet.
func (m *model) holders() []*holder {
	m.removeEndedHolders()
	return append([]*holder{m.current}, m.lost...)
}

func (m *model) drawHolder() *holder {
	all := m.holders()
	return all[m.t.pick("holder", 0, len(all)-1)]
}
