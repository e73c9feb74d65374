package soak

import (
	"context"
	"fmt"
	"time"
)

const (
	// waveTime is the time that a wave has, and waveDown how many of its machines may be down at once; the stand-in notes more.
	waveTime = 20 * time.Second
	waveDown = 2
	// waveCompleted is the state that is told of a wave whose machines are all done.
	waveCompleted = "completed"
)

// askWave has the operator ask for the upkeep of all machines, unless a wave is on; faults begin one after another.
func (s *Soak) askWave() {
	if state, _ := s.platform.WaveState(s.waves); s.waves > 0 && state != waveCompleted {
		return
	}
	s.waves++
	s.platform.RequestWave(s.waves, s.platform.Machines(), waveTime, waveDown)
}

// awaitWaves waits until each wave is told to be completed, which must be true.
func (s *Soak) awaitWaves(ctx context.Context) error {
	end := time.Now().Add(waveTime + calmTime)
	for n := 1; n <= s.waves; n++ {
		for {
			state, done := s.platform.WaveState(n)
			all := len(s.platform.Machines())
			if state == waveCompleted && done < all {
				return fmt.Errorf("%w: wave %d is told to be completed, %d of %d machines are done", ErrPromise, n, done, all)
			}
			if state == waveCompleted {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: wave %d has not ended %v after the last fault, %d of %d machines are done", ErrPromise, n, waveTime+calmTime, done, all)
			}
			if err := sleep(ctx, retryPause); err != nil {
				return err
			}
		}
	}
	return nil
}
