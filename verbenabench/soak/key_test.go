package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"
)

// Guards against a check of keys that misses a broken promise, or that blames a process for an answer within the bounds.
func TestKeyAnswersAreJudged(t *testing.T) {
	const accepted, refused, unavailable = http.StatusMethodNotAllowed, http.StatusUnauthorized, http.StatusServiceUnavailable
	now := time.Now()
	for _, tt := range []struct {
		name   string
		times  *keyTimes
		sent   time.Time
		status int
		// dropping is true for a watch that returned no changes until just before.
		dropping, settled, broken bool
	}{
		{name: "never configured, accepted", sent: now, status: accepted, broken: true},
		{name: "never configured, a state shown", sent: now, status: http.StatusOK, broken: true},
		{name: "never configured, refused", sent: now, status: refused},
		{name: "removed, accepted at the bound", times: &keyTimes{removing: true, removed: now.Add(-removedLimit())}, sent: now, status: accepted},
		{name: "removed, accepted later", times: &keyTimes{removing: true, removed: now.Add(-removedLimit() - time.Second)}, sent: now, status: accepted, broken: true},
		{name: "removed, unavailable later", times: &keyTimes{removing: true, removed: now.Add(-removedLimit() - time.Second)}, sent: now, status: unavailable},
		{name: "removed, watch without changes", times: &keyTimes{removing: true, removed: now.Add(-time.Hour)}, sent: now, status: accepted, dropping: true},
		{name: "removed, accepted at the end", times: &keyTimes{removing: true, removed: now.Add(-time.Second)}, sent: now, status: accepted, settled: true, broken: true},
		{name: "valid, refused", times: &keyTimes{added: now.Add(-addedLimit - time.Second)}, sent: now, status: refused, broken: true},
		{name: "just added, refused", times: &keyTimes{added: now.Add(-time.Second)}, sent: now, status: refused},
		{name: "being added, refused", times: &keyTimes{}, sent: now, status: refused},
		{name: "being removed, refused", times: &keyTimes{added: now.Add(-time.Hour), removing: true}, sent: now, status: refused},
		{name: "valid, accepted", times: &keyTimes{added: now.Add(-time.Hour)}, sent: now, status: accepted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			k := &keyRecord{times: map[string]*keyTimes{}}
			if tt.times != nil {
				k.times["key"] = tt.times
			}
			if tt.dropping {
				k.droppedAt = now
			}
			if tt.settled {
				k.settled = now.Add(-time.Millisecond)
			}
			k.judge("n0", "key", tt.sent, tt.status)
			if err := k.violation(); errors.Is(err, ErrPromise) != tt.broken {
				t.Errorf("violation: got %v, want one %v", err, tt.broken)
			}
		})
	}
}
