package workload_test

import (
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

func scheduled(times int, interval time.Duration) workload.Job {
	return workload.Job{
		Steps: []workload.Step{{Tasks: 1}}, Times: times, Interval: interval, Start: time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC),
	}
}

// Guards against occurrences that are due centuries early, all at once: the time from the first to a later one exceeds the longest duration, 292 years.
func TestOccurrencesFollowEachOther(t *testing.T) {
	const week = 7 * 24 * time.Hour
	j := scheduled(20000, week)
	if err := j.Check(); err != nil {
		t.Fatalf("check: got %v, want none", err)
	}
	for o := 1; o < j.Occurrences(); o++ {
		if got := j.Due(o).Sub(j.Due(o - 1)); got != week {
			t.Fatalf("time from occurrence %d to %d: got %v, want %v", o-1, o, got, week)
		}
	}
	if got, want := j.Due(19999), j.Start.AddDate(0, 0, 7*19999); !got.Equal(want) {
		t.Errorf("last occurrence: got %v, want %v", got, want)
	}
}

// Guards against a schedule whose end cannot be stored or shown.
func TestScheduleBeyondTheLastYearIsRefused(t *testing.T) {
	j := scheduled(60000, 365*24*time.Hour)
	if err := j.Check(); !errors.Is(err, workload.ErrInvalidJob) {
		t.Errorf("check: got %v, want %v", err, workload.ErrInvalidJob)
	}
}
