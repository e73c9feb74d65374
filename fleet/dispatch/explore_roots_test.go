package dispatch_test

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Two changes of the holder, and what one of the holders had to learn before, take more actions than an exploration from the beginning
// reaches in its time; these situations lie shortly before the moment at which a holder may count wrongly.

// prolongedLease has the lease of a worker end by the lost holder's count, which its successor has prolonged.
func prolongedLease(m *model) {
	startJob(m)
	m.workers[0].cut = true
	m.goOn(3)
	m.prolong()
}

// prolongedUnheard has the leases of before end by the count of a lost holder that has not heard a worker; its successor has.
func prolongedUnheard(m *model) {
	startJob(m)
	m.takeOver()
	for range 2 {
		m.pass(time.Second)
		m.lostAct()
	}
	m.workers[0].cut = true
	m.goOn(3)
	m.prolong()
}

// twoInARow has a holder lost, and its successor leave at once, while the lost one goes on to prolong the lease of a worker that only it
// reaches. The record of silent workers names that worker's runs.
func twoInARow(m *model) {
	startJob(m)
	w := m.workers[0]
	m.setRegistered(w, false)
	m.registerAll(m.present)
	m.act(m.present)
	m.takeOver()
	w.cut = true
	m.act(m.present)
	m.leave()
	m.act(m.present)
	w.cut = false
	m.pass(800 * time.Millisecond)
	m.lostAct()
}

// startJob has the first holder start a job's tasks.
func startJob(m *model) {
	m.act(m.present)
	m.store(exploredJob(m))
	m.act(m.present)
}

// goOn lets the present holder act for some seconds.
func (m *model) goOn(seconds int) {
	for range seconds {
		m.pass(time.Second)
		m.act(m.present)
	}
}

// prolong has a successor begin that reaches the first worker only and prolongs its lease; the lost holder goes on with the second one only.
func (m *model) prolong() {
	first, second := m.workers[0], m.workers[1]
	m.takeOver()
	first.cut, second.cut = false, true
	// The first report of a worker prolongs no lease.
	for range 2 {
		m.act(m.present)
	}
	first.cut, second.cut = true, false
	m.pass(1200 * time.Millisecond)
	m.lostAct()
}

// leftUntold has a successor list the run of a job of which it has not heard, then its end, and leave; the next holder knows the job and hears
// that worker late.
func leftUntold(m *model) {
	startUnheard(m)
	m.act(m.present)
	m.endOne()
	m.pass(50 * time.Millisecond)
	m.act(m.present)
	m.leave()
	m.workers[0].cut = true
	m.act(m.present)
	m.workers[0].cut = false
	m.act(m.present)
}

// startUnheard has a lost holder start the tasks of a job of which its successor has not heard.
func startUnheard(m *model) workload.Job {
	m.act(m.present)
	m.takeOver()
	m.load(m.present)
	j := exploredJob(m)
	m.revision++
	m.specs[j.ID], m.stored[j.ID] = j, m.revision
	m.hearJob(m.lost[0], j.ID)
	m.lostAct()
	return j
}
