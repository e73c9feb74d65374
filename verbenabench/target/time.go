package target

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// LeastTime returns the least processor time of several calls, of the calling thread alone: other processes on the machine do not add
// to it, as they do to the time that passes.
func LeastTime(calls int, call func(k int)) (time.Duration, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	least := time.Duration(math.MaxInt64)
	for k := range calls {
		before, err := threadTime()
		if err != nil {
			return 0, err
		}
		call(k)
		after, err := threadTime()
		if err != nil {
			return 0, err
		}
		least = min(least, after-before)
	}
	return least, nil
}

func threadTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
