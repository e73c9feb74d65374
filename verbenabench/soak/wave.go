package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	// waveTime is the time limit of a wave, and waveMaxDown the number of its machines that may be down at the same time. The stand-in
	// reports a violation if more are down.
	waveTime    = 20 * time.Second
	waveMaxDown = 2
	// waveCompleted is the reported state of a wave whose machines are all done.
	waveCompleted = "completed"
)

// requestWave requests the upkeep of all machines as the operator, unless a wave is active. It needs no lock, since faults begin one after
// another.
func (s *Soak) requestWave() {
	if state, _ := s.platform.WaveState(s.waves); s.waves > 0 && state != waveCompleted {
		return
	}
	s.waves++
	s.platform.RequestWave(s.waves, s.platform.Machines(), waveTime, waveMaxDown)
}

// awaitWaves waits until each wave is reported as completed, and checks that all its machines are done then.
func (s *Soak) awaitWaves(ctx context.Context) error {
	end := time.Now().Add(waveTime + settleLimit)
	for n := 1; n <= s.waves; n++ {
		for {
			state, done := s.platform.WaveState(n)
			all := len(s.platform.Machines())
			if state == waveCompleted && done < all {
				return fmt.Errorf("%w: wave %d is reported as completed, but %d of %d machines are done", ErrPromise, n, done, all)
			}
			if state == waveCompleted {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: wave %d has not ended %v after the last fault, %d of %d machines are done", ErrPromise, n, waveTime+settleLimit, done, all)
			}
			if err := sleep(ctx, retryDelay); err != nil {
				return err
			}
		}
	}
	return nil
}
