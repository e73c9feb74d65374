package dispatch_test

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Two changes of the holder, with an event that one of the holders misses, take more actions than an exploration from the initial state
// reaches in its time. These states lie shortly before the time at which a holder may decide wrongly.

// extendedLease brings a worker's lease near its end by the lost holder's calculation, while the successor has extended it.
func extendedLease(m *model) {
	startJob(m)
	m.workers[0].disconnected = true
	m.actFor(3)
	m.extendBySuccessor()
}

// extendedLeaseOfAwaited brings the earlier leases near their end by the calculation of a lost holder to which a worker has not reported;
// it has reported to the successor.
func extendedLeaseOfAwaited(m *model) {
	startJob(m)
	m.takeOver()
	for range 2 {
		m.pass(time.Second)
		m.lostAct()
	}
	m.workers[0].disconnected = true
	m.actFor(3)
	m.extendBySuccessor()
}

// twoInARow loses a holder, whose successor leaves immediately, while the lost one goes on extending the lease of a worker that only it
// reaches. The record of unresponsive workers names that worker's runs.
func twoInARow(m *model) {
	startJob(m)
	w := m.workers[0]
	m.setRegistered(w, false)
	m.registerAll(m.present)
	m.act(m.present)
	m.takeOver()
	w.disconnected = true
	m.act(m.present)
	m.leave()
	m.act(m.present)
	w.disconnected = false
	m.pass(800 * time.Millisecond)
	m.lostAct()
}

// startJob has the first holder start a job's tasks.
func startJob(m *model) {
	m.act(m.present)
	m.store(exploredJob(m))
	m.act(m.present)
}

// actFor lets the present holder act for some seconds.
func (m *model) actFor(seconds int) {
	for range seconds {
		m.pass(time.Second)
		m.act(m.present)
	}
}

// extendBySuccessor starts a successor that reaches the first worker only and extends its lease; the lost holder goes on with the second
// one only.
func (m *model) extendBySuccessor() {
	first, second := m.workers[0], m.workers[1]
	m.takeOver()
	first.disconnected, second.disconnected = false, true
	// The first report of a worker extends no lease.
	for range 2 {
		m.act(m.present)
	}
	first.disconnected, second.disconnected = true, false
	m.pass(1200 * time.Millisecond)
	m.lostAct()
}

// leaveUnprocessed has a successor receive reports of the run of an unknown job and then of its end, and leave; the next holder knows the
// job and receives that worker's report late.
func leaveUnprocessed(m *model) {
	startUnknown(m)
	m.act(m.present)
	m.endOne()
	m.pass(50 * time.Millisecond)
	m.act(m.present)
	m.leave()
	m.workers[0].disconnected = true
	m.act(m.present)
	m.workers[0].disconnected = false
	m.act(m.present)
}

// startUnknown has a lost holder start the tasks of a job that its successor does not know.
func startUnknown(m *model) workload.Job {
	m.act(m.present)
	m.takeOver()
	m.load(m.present)
	j := exploredJob(m)
	m.revision++
	m.specs[j.ID], m.stored[j.ID] = j, m.revision
	m.learnJob(m.lost[0], j.ID)
	m.lostAct()
	return j
}
