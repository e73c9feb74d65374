package pacing

import "time"

// Settings configures the pauses. All are set.
type Settings struct {
	// Stretch is by how much a pause grows for each unit of time by which timers are late.
	Stretch int64
	// Longest is the longest pause that lateness alone leads to.
	Longest time.Duration
}

// smoothing is the part of a new sample in the mean, as one in so many.
const smoothing = 8

// Lateness is the mean time by which timers fire late. A process that has enough processor time runs a goroutine as soon as its timer fires. The zero
// value is ready to use; it is not safe for concurrent use.
type Lateness struct{ mean time.Duration }

// Observe records that a wait for a time took another one.
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
