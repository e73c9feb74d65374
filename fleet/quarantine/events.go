package quarantine

// Event is an input of Tracker.Handle.
type Event interface{ event() }

// WorkerUp reports that a worker belongs to a pool.
type WorkerUp struct{ Worker, Pool string }

// WorkerDown reports that a worker has left; its state is deleted.
type WorkerDown struct{ Worker string }

// Result reports the end of a job on a worker; a start that was lost or hangs counts as failed.
type Result struct {
	Worker string
	Kind   string
	Failed bool
}

// Started reports that a worker runs a job of a kind. Failures often come sooner than successes: without counting running
// jobs, the first results of a kind would all be failures of bad workers.
type Started struct {
	Worker string
	Kind   string
}

// Tick starts probes that have become due and lifts expired cautions.
type Tick struct{}

func (WorkerUp) event()   {}
func (WorkerDown) event() {}
func (Result) event()     {}
func (Started) event()    {}
func (Tick) event()       {}

// Action is an output of Tracker.Handle.
type Action interface{ action() }

// Quarantine excludes a worker from new jobs.
type Quarantine struct{ Worker, Detail string }

// Caution limits a worker with recent failures to one repeatable job at a time until a job succeeds, the worker is
// quarantined or the caution expires. Otherwise a worker on which jobs fail immediately would receive many jobs before
// their reports arrive.
type Caution struct{ Worker string }

// LiftCaution returns a worker from caution to normal use.
type LiftCaution struct{ Worker string }

// Probe admits one job at a time to a worker in quarantine.
type Probe struct{ Worker string }

// Release returns a worker to normal use.
type Release struct{ Worker, Detail string }

// Suspect reports that a job kind fails on workers on which other kinds succeed.
type Suspect struct{ Kind, Detail string }

// Clear reports that a job kind is no longer suspect.
type Clear struct{ Kind string }

func (Quarantine) action()  {}
func (Caution) action()     {}
func (LiftCaution) action() {}
func (Probe) action()       {}
func (Release) action()     {}
func (Suspect) action()     {}
func (Clear) action()       {}
