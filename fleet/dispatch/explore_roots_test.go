package dispatch_test

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Two changes of the holder, with an event that one of the holders misses, take more actions than an exploration from the initial state
// reaches. These states lie shortly before the time at which a holder may make a wrong decision.

// extendedLease reaches a state in which the lost holder calculates that a worker's lease is about to end, while the successor has extended
// it.
func extendedLease(m *model) {
	startJob(m)
	m.workers[0].disconnected = true
	m.actFor(3)
	m.extendBySuccessor()
}

// extendedLeaseOfAwaited reaches a state in which a lost holder calculates that the earlier leases are about to end, while a worker that
// has not reported to it has reported to the successor.
func extendedLeaseOfAwaited(m *model) {
	startJob(m)
	m.takeOver()
	for range 2 {
		m.advance(time.Second)
		m.lostAct()
	}
	m.workers[0].disconnected = true
	m.actFor(3)
	m.extendBySuccessor()
}

// twoInARow loses a holder and has its successor leave immediately, while the lost holder goes on extending the lease of a worker that only
// it reaches. The record of unresponsive workers names that worker's runs.
func twoInARow(m *model) {
	startJob(m)
	w := m.workers[0]
	m.setRegistered(w, false)
	m.registerAll(m.current)
	m.act(m.current)
	m.takeOver()
	w.disconnected = true
	m.act(m.current)
	m.leave()
	m.act(m.current)
	w.disconnected = false
	m.advance(800 * time.Millisecond)
	m.lostAct()
}

// startJob has the first holder start a job's tasks.
func startJob(m *model) {
	m.act(m.current)
	m.store(exploredJob(m))
	m.act(m.current)
}

// actFor lets the current holder act for some seconds.
func (m *model) actFor(seconds int) {
	for range seconds {
		m.advance(time.Second)
		m.act(m.current)
	}
}

// extendBySuccessor starts a successor that reaches the first worker only and extends its lease; the lost holder reaches the second worker
// only.
func (m *model) extendBySuccessor() {
	first, second := m.workers[0], m.workers[1]
	m.takeOver()
	first.disconnected, second.disconnected = false, true
	// The first report of a worker extends no lease.
	for range 2 {
		m.act(m.current)
	}
	first.disconnected, second.disconnected = true, false
	m.advance(1200 * time.Millisecond)
	m.lostAct()
}

// leaveUnprocessed has a successor receive reports of the run of an unknown job and then of its end, and leave; the next holder knows the
// job and receives that worker's report late.
func leaveUnprocessed(m *model) {
	startUnknown(m)
	m.act(m.current)
	m.endOne()
	m.advance(50 * time.Millisecond)
	m.act(m.current)
	m.leave()
	m.workers[0].disconnected = true
	m.act(m.current)
	m.workers[0].disconnected = false
	m.act(m.current)
}

// startUnknown has a lost holder start the tasks of a job that its successor does not know.
func startUnknown(m *model) workload.Job {
	m.act(m.current)
	m.takeOver()
	m.load(m.current)
	j := exploredJob(m)
	m.revision++
	m.specs[j.ID], m.stored[j.ID] = j, m.revision
	m.learnJob(m.lost[0], j.ID)
	m.lostAct()
	return j
}
