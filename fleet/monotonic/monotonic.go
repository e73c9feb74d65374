package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time of day at its creation plus the time that has elapsed since then, including suspensions.
type Clock struct {
	base    time.Time
	start   time.Duration
	elapsed func() time.Duration
}

// New returns a clock that agrees with the current time of day.
func New() *Clock { return From(uptime) }

// From returns a clock that agrees with the current time of day and advances with elapsed, for example under simulated time.
func From(elapsed func() time.Duration) *Clock {
	return &Clock{base: time.Now().Round(0), start: elapsed(), elapsed: elapsed}
}

// Now returns the time of the clock. It has no monotonic reading, so that differences include suspensions.
func (c *Clock) Now() time.Time {
	return c.base.Add(c.elapsed() - c.start)
}

// uptime returns the time since the start of the machine, including suspensions.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has provided this clock since 2.6.39; without it no lease can be kept safely.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(t.Nano())
}
