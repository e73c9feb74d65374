package days

import (
	"strings"
	"time"

	"verbenalanding.example/platform/standin"
)

const (
	// stableWindow is how long all nodes must be free of faults before rules with a time bound are checked.
	stableWindow = 3 * time.Second
	// cancelBound is the time after the acknowledgement of a cancellation from which on no task of the job may start.
	cancelBound = 3 * time.Second
	// cancelledPrefix is the prefix of the stand-in's own violations of that bound, which it reports even while nodes are disturbed by
	// faults.
	cancelledPrefix = "cancelled:"
)

// disturbances records when nodes were last disturbed by a fault.
type disturbances struct {
	// active is the number of active faults of nodes, of the store and of their network connections.
	active int
	last   time.Time
}

// workerOnlyKinds holds the kinds of fault that affect neither nodes nor the store nor the connections between them.
var workerOnlyKinds = map[string]bool{
	workerRestarted: true, workerCrashed: true, startsLate: true, workerAnswersLost: true, registrationsLapse: true, machineLost: true,
}

// disturbs reports whether the fault can keep nodes from meeting time bounds.
func (f *fault) disturbs() bool { return !workerOnlyKinds[f.kind] }

// disturb records the start of a fault; the returned function records its end.
func (d *day) disturb(f *fault) (end func()) {
	if !f.disturbs() {
		return func() {}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances.active++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.disturbances.active--
		// A process that was killed or stopped restarts at most maxDowntime later.
		d.disturbances.last = time.Now().Add(maxDowntime)
	}
}

// undisturbed reports whether no fault has disturbed the nodes for stableWindow.
func (d *day) undisturbed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disturbances.active == 0 && time.Since(d.disturbances.last) > stableWindow
}

// checkCancelled checks that a started run's job was not cancelled more than cancelBound ago. The stand-in's lock must be held.
func (d *day) checkCancelled(e standin.RunEvent) {
	id, _, _ := strings.Cut(e.Task, ".")
	c := d.submissions[id]
	if e.Kind != standin.RunStarted || c == nil || c.job.Cancelled.IsZero() {
		return
	}
	if since := e.At.Sub(c.job.Cancelled); since > cancelBound && d.undisturbed() {
		d.violate("cancelled: %s starts on %s %v after its cancellation was acknowledged, with no fault of nodes or the store", e.Task, e.Worker, since)
	}
}
