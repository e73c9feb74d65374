package node

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// succeed processes a wave as a holder that has just taken the duty over and has read nothing of it, and returns its time left.
func (s *takeoverFixture) succeed(w workload.Wave) time.Duration {
	s.t.Helper()
	s.pool.upkeeps = newUpkeeps(s.pool)
	s.pool.upkeeps.processWave(s.ctx, w)
	now := s.pool.node.Clock.Now()
	in, _, _ := s.pool.upkeeps.input(w, now)
	return in.Deadline.Sub(now)
}

// Guards against a wave that is late after takeovers: each new holder counted the wave's time anew from when it first saw the wave.
func TestTimeOfAWaveGoesOnAcrossTakeovers(t *testing.T) {
	s, w := newWaveFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	first := s.succeed(w)
	const pause = 300 * time.Millisecond
	time.Sleep(pause)
	s.takeDuty()
	if got, want := s.succeed(w), first-pause; got > want {
		t.Errorf("time left of the wave after a takeover: got %v, want at most %v", got, want)
	}
}

// Guards against a wave whose time is longer than the operator allows, because the clock of the holder that recorded its start is ahead.
func TestStartOfAWaveIsNeverLaterThanItsHolderKnows(t *testing.T) {
	s, w := newWaveFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	ahead := s.pool.node.Clock.Now().Add(time.Hour).UnixMilli()
	s.write(store.Write{Key: waveStartPrefix + w.ID, Value: []byte(strconv.FormatInt(ahead, 10))})
	if got, want := s.succeed(w), w.Within; got > want {
		t.Errorf("time left of the wave: got %v, want at most %v", got, want)
	}
}

// Guards against a wave whose start is unknown to the next holder, because the write of it failed once.
func TestStartOfAWaveIsRecordedOnceTheStoreAnswers(t *testing.T) {
	s, w := newWaveFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	s.pool.upkeeps = newUpkeeps(s.pool)
	began := s.pool.node.Clock.Now()
	s.pool.upkeeps.starts[w.ID] = waveStart{at: began}
	s.gate.SetClosed(true)
	s.pool.upkeeps.agreeOnStart(s.ctx, w, began)
	s.gate.SetClosed(false)
	s.pool.upkeeps.agreeOnStart(s.ctx, w, began.Add(waveStartRetry))
	entry, err := s.pool.node.Store.Get(s.ctx, waveStartPrefix+w.ID)
	if err != nil {
		t.Fatalf("record of the start: got %v, want none", err)
	}
	if got, want := string(entry.Value), strconv.FormatInt(began.UnixMilli(), 10); got != want {
		t.Errorf("start of the wave: got %s, want %s", got, want)
	}
}
