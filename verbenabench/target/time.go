package target

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// rounds is the number of measurements of the step at each size.
const rounds = 25

// Measure measures the processor time of planning steps at several sizes. prepare creates a fleet of a size and returns its step, which is
// called with the number of the round.
//
// Other work on the machine slows a thread down, through shared caches and cores, for milliseconds to seconds. Sizes are therefore compared
// within a round. For each smaller size, as many fleets are measured as have the workers of the largest size together, so that all sizes
// use the same amount of memory. The growth is the median of all rounds.
func Measure(sizes []int, prepare func(workers int) func(round int)) (Measurement, error) {
	return MeasureWith(ThreadTime, sizes, prepare)
}

// Meter returns the processor time, or another measure of the work, that has been used so far.
type Meter func() (time.Duration, error)

// MeasureWith measures like Measure, with another meter than the calling thread's processor time.
func MeasureWith(meter Meter, sizes []int, prepare func(workers int) func(round int)) (Measurement, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	largest := len(sizes) - 1
	fleets := make([][]func(int), len(sizes))
	m := Measurement{Steps: make([]Step, len(sizes))}
	for i, n := range sizes {
		m.Steps[i] = Step{Workers: n, Step: math.MaxInt64}
		for range max(1, sizes[largest]/n) {
			fleets[i] = append(fleets[i], prepare(n))
		}
	}
	growths := make([]float64, rounds)
	for k := range rounds {
		times := make([]time.Duration, len(sizes))
		for i, steps := range fleets {
			t, err := meanTime(meter, steps, k)
			if err != nil {
				return Measurement{}, err
			}
			times[i] = t
			m.Steps[i].Step = min(m.Steps[i].Step, t)
		}
		growths[k] = float64(times[largest]) / float64(times[referenceSize])
	}
	slices.Sort(growths)
	m.Growth = growths[rounds/2]
	return m, nil
}

// meanTime returns the mean time of the steps by a meter.
func meanTime(meter Meter, steps []func(int), round int) (time.Duration, error) {
	before, err := meter()
	if err != nil {
		return 0, err
	}
	for _, step := range steps {
		step(round)
	}
	after, err := meter()
	if err != nil {
		return 0, err
	}
	return (after - before) / time.Duration(len(steps)), nil
}

// ThreadTime returns the processor time of the calling thread. Unlike the elapsed time it does not include work of other processes.
func ThreadTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
