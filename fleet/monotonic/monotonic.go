package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time of day at its creation plus the time that has passed since, suspensions included.
type Clock struct {
	base  time.Time
	began time.Duration
	since func() time.Duration
}

// New returns a clock that agrees with the time of day now.
func New() *Clock { return From(sinceBoot) }

// From returns a clock that agrees with the time of day now and goes on with a count of its own, as under simulated time.
func From(since func() time.Duration) *Clock {
	return &Clock{base: time.Now().Round(0), began: since(), since: since}
}

// Now returns the clock's time; it has no monotonic reading, so that differences count suspensions.
func (c *Clock) Now() time.Time {
	return c.base.Add(c.since() - c.began)
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without it no lease can be kept safely.
		panic("no boot-time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}
