package clock

import "time"

// Now returns the time of a clock, or the current time if the clock is nil.
func Now(clock func() time.Time) time.Time {
	if clock == nil {
		return time.Now()
	}
	return clock()
}
