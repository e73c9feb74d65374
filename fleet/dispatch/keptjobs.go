package dispatch

import "math"

const (
	// AnyJob is the limit of a pool that takes jobs of any size.
	AnyJob = math.MaxInt64
	// SmallJob is the memory in bytes up to which a pool that is nearly full still takes a job. Most jobs are smaller.
	SmallJob = 16 << 10
	// A pool takes small jobs only from nearlyFull of Settings.KeptBytes on, and any job again once limitMargin of them have become free beyond that,
	// so that its limit does not change with each job.
	nearlyFull  = 0.75
	limitMargin = 1.0 / 16
)

// keptJobs counts the memory of the jobs that a pool keeps.
type keptJobs struct {
	bytes int64
	// largest is the limit as of the last call of LargestJob.
	largest int64
}

// recount counts the memory of a job anew, which falls when the job ends.
func (p *Pool) recount(j *job) {
	size := j.Memory()
	p.kept.bytes += size - j.memory
	j.memory = size
}

// drop removes a job.
func (p *Pool) drop(j *job) {
	p.kept.bytes -= j.memory
	delete(p.jobs, j.ID)
}

// KeptBytes returns the memory of the jobs that the pool keeps, those included whose end is still shown.
func (p *Pool) KeptBytes() int64 { return p.kept.bytes }

// LargestJob returns the memory up to which the pool takes a new job: AnyJob, less once it is nearly full, and 0 once it is full.
func (p *Pool) LargestJob() int64 {
	room := float64(p.Settings.KeptBytes)
	if room <= 0 {
		return AnyJob
	}
	kept, margin := float64(p.kept.bytes), limitMargin*room
	switch {
	case kept >= room || p.kept.largest == 0 && kept >= room-margin:
		p.kept.largest = 0
	case kept >= nearlyFull*room || p.kept.largest < AnyJob && kept >= nearlyFull*room-margin:
		p.kept.largest = SmallJob
	default:
		p.kept.largest = AnyJob
	}
	return p.kept.largest
}
