package days

import (
	"strings"
	"time"

	"verbenalanding.example/platform/standin"
)

const (
	// stableWindow is how long a node has to be undisturbed to be in touch: the rules with a time bound hold only then.
	stableWindow = 3 * time.Second
	// cancelBound is the time after which no task of a job starts whose cancelling was acknowledged.
	cancelBound = 3 * time.Second
	// standinCancelled begins the stand-in's own notes on that bound, which it takes whether or not a node is in touch.
	standinCancelled = "cancelled:"
)

// touch tells when the nodes were disturbed last.
type touch struct {
	// open is how many faults of nodes, of the store and of ways are in force.
	open int
	last time.Time
}

// workersOnly are the kinds of fault that leave nodes, the store and their ways as they are.
var workersOnly = map[string]bool{
	workerReborn: true, workerCrashed: true, startsLate: true, answersLost: true, registrationsGone: true, machineLost: true,
}

// disturbs reports whether nodes are not in touch because of a fault.
func (f *fault) disturbs() bool { return !workersOnly[f.kind] }

// disturb takes note that a fault begins; the returned function takes note of its end.
func (d *day) disturb(f *fault) (end func()) {
	if !f.disturbs() {
		return func() {}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.touch.open++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.touch.open--
		// A process that was ended is back at most mostDown later.
		d.touch.last = time.Now().Add(mostDown)
	}
}

// calm reports whether all nodes are in touch.
func (d *day) calm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.touch.open == 0 && time.Since(d.touch.last) > stableWindow
}

// checkCancelled checks a start against the cancelling of its job; the stand-in's lock must be held.
func (d *day) checkCancelled(e standin.RunEvent) {
	id, _, _ := strings.Cut(e.Task, ".")
	c := d.calls[id]
	if e.How != standin.RunStarted || c == nil || c.job.Cancelled.IsZero() {
		return
	}
	if since := e.At.Sub(c.job.Cancelled); since > cancelBound && d.calm() {
		d.violate("cancelled: %s starts on %s %v after the cancelling was acknowledged, all nodes being in touch", e.Task, e.Worker, since)
	}
}
