package pacing

import "time"

// Settings configures the pauses. All are set.
type Settings struct {
	// Stretch is the factor by which the mean lateness is multiplied before it is added to a pause.
	Stretch int64
	// Longest is the longest pause that lateness alone leads to.
	Longest time.Duration
}

// smoothing divides the weight of a new sample in the mean: 1/smoothing.
const smoothing = 8

// Lateness is the mean time by which timers fire late. A process that has enough processor time runs a goroutine as soon as its timer fires. The zero
// value is ready to use; it is not safe for concurrent use.
type Lateness struct{ mean time.Duration }

// Observe records how long a wait was meant to last and how long it took.
func (l *Lateness) Observe(waited, took time.Duration) {
	l.mean += (max(0, took-waited) - l.mean) / smoothing
}

// Mean returns the mean lateness.
func (l *Lateness) Mean() time.Duration { return l.mean }

// Pause returns a pause that is longer while timers are late, so that the work which is due uses less of the processor time and each round of it finds
// more to do. A pause that is longer by itself stays as it is.
func (s Settings) Pause(pause time.Duration, late time.Duration) time.Duration {
	// Lateness beyond Longest has the same effect, and its product could overflow.
	longer := pause + time.Duration(s.Stretch)*min(max(0, late), s.Longest)
	return max(pause, min(longer, s.Longest))
}
