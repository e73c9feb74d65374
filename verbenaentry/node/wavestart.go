package node

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

const (
	// waveStartPrefix is the prefix of the keys that hold when each wave's time began, in milliseconds since 1970. Earlier versions take an
	// unknown key under wavePrefix for a slot.
	waveStartPrefix = "wave-start/"
	// waveStartRetry is the delay between two attempts to agree on a wave's start while the store fails.
	waveStartRetry = time.Second
)

// waveStart is when a wave's time began. The operator names no time, so the holder that processes the wave first records its own.
type waveStart struct {
	at time.Time
	// agreed is set once the store has the time.
	agreed bool
	// triedAt is when the last attempt to agree began.
	triedAt time.Time
}

// agreeOnStart records in the store when the wave's time began, or applies the record of another holder. Without it a wave's time would begin
// again with each takeover.
func (u *upkeeps) agreeOnStart(ctx context.Context, w workload.Wave, now time.Time) {
	u.mu.Lock()
	start := u.starts[w.ID]
	due := !start.agreed && (start.triedAt.IsZero() || now.Sub(start.triedAt) >= waveStartRetry)
	if due {
		start.triedAt = now
		u.starts[w.ID] = start
	}
	u.mu.Unlock()
	if !due {
		return
	}
	at, err := u.recordStart(ctx, w, start.at)
	if err != nil {
		u.pool.log.Info().Err(err).Str("wave", w.ID).Msg("start of a wave not agreed on yet")
		return
	}
	u.pool.log.Info().Str("wave", w.ID).Dur("age", now.Sub(at)).Msg("start of a wave agreed on")
	start.agreed = true
	if at.Before(start.at) {
		// A later time is of a clock that is ahead.
		start.at = at
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts[w.ID] = start
}

// recordStart writes a wave's start unless there is a record, and returns the recorded one.
func (u *upkeeps) recordStart(ctx context.Context, w workload.Wave, at time.Time) (time.Time, error) {
	key := waveStartPrefix + w.ID
	value := []byte(strconv.FormatInt(at.UnixMilli(), 10))
	err := u.write(ctx, store.Transaction{If: []store.Condition{{Key: key}}, Put: []store.Write{{Key: key, Value: value}}})
	if err == nil {
		return at, nil
	}
	if !errors.Is(err, store.ErrConflict) {
		return time.Time{}, fmt.Errorf("write start of wave: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := u.pool.node.Store.Get(ctx, key)
	if err != nil {
		return time.Time{}, fmt.Errorf("read start of wave: %w", err)
	}
	ms, err := strconv.ParseInt(string(entry.Value), 10, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("decode start of wave: %w", err)
	}
	return time.UnixMilli(ms), nil
}
