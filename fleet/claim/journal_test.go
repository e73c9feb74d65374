package claim

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
)

var start = time.Unix(1_800_000_000, 0)

func claimFor(n int, claimID string) Claim {
	return Claim{Ticket: uint64(n), Request: Request{Service: "s", KeyHash: fmt.Sprint(n), BodyDigest: "b", ClaimID: claimID}}
}

func countAppends(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(Append); ok {
			n++
		}
	}
	return n
}

// Guards against a write rate above the shard's limit of 10/s under load, and against a delayed write without load.
func TestWriteRate(t *testing.T) {
	j := &Journal{Epoch: 1}
	j.Open(1)
	check.Equal(t, "immediate writes without load", countAppends(j.Step(start, claimFor(0, "a"))), 1)
	writes, granted := 1, 0
	for n := 1; n <= 1000; n++ {
		now := start.Add(time.Duration(n) * time.Millisecond)
		actions := append(j.Step(now, Committed{}), j.Step(now, claimFor(n, "a"))...)
		writes += countAppends(actions)
		for _, a := range actions {
			if _, ok := a.(Grant); ok {
				granted++
			}
		}
	}
	check.True(t, fmt.Sprintf("at most 10 writes in a second, got %d", writes), writes <= 10)
	check.True(t, fmt.Sprintf("at least 60 grants in a second, got %d", granted), granted >= 60)
}

// Guards against granting a claim that arrives after the claimant's report that the request was not run.
func TestReportBeforeClaimReleasesKey(t *testing.T) {
	j := &Journal{Epoch: 1}
	j.Open(1)
	j.Step(start, Finished{Finish{Service: "s", KeyHash: "1", ClaimID: "a", Outcome: NotRun}})
	check.Equal(t, "late claim", j.Step(start, claimFor(1, "a"))[0], Action(Reject{1, ReasonReleased}))
}

// Guards against unbounded memory: old segments are dropped with their keys, and a full shard refuses claims.
func TestRetentionAndKeyLimit(t *testing.T) {
	j := &Journal{Epoch: 1, MaxKeys: 50, RollSize: 4096}
	j.Open(1)
	now, dropped, rejected := start, 0, 0
	for n := range 60 {
		now = now.Add(time.Second)
		actions := append(j.Step(now, claimFor(n, "a")), j.Step(now, Committed{})...)
		for _, a := range actions {
			if r, ok := a.(Reject); ok && r.Reason == ReasonMemoryFull {
				rejected++
			}
		}
	}
	check.Equal(t, "rejected", rejected, 10)
	for _, a := range j.Step(now.Add(25*time.Hour), Tick{}) {
		if _, ok := a.(Drop); ok {
			dropped++
		}
	}
	check.Equal(t, "dropped segments", dropped, 2)
	check.True(t, "keys dropped", j.Keys() < 10)
}

// Guards against a release by another request than the claimant, and against a late claim that takes a released key.
func TestReleaseNeedsReportOfClaimant(t *testing.T) {
	j := &Journal{Epoch: 1}
	j.Open(1)
	j.Step(start, claimFor(1, "a"))
	j.Step(start, Committed{})
	report := Finish{Service: "s", KeyHash: "1", ClaimID: "other", Outcome: NotRun}
	j.Step(start, Finished{report})
	check.Equal(t, "after the report of another request", j.Step(start, claimFor(1, "b"))[0], Action(Duplicate{1, Unknown}))
	report.ClaimID = "a"
	j.Step(start, Finished{report})
	check.Equal(t, "repeated claim after the release", j.Step(start, claimFor(1, "a"))[0], Action(Reject{1, ReasonReleased}))
	j.Step(start, claimFor(1, "b"))
	check.Equal(t, "claim of another request", j.Step(start.Add(time.Second), Committed{})[0], Action(Grant{1}))
}

// Guards against losing a report that is merged into the line of its claim, and against writing a separate line for it.
func TestReportIsMergedIntoLineOfItsClaim(t *testing.T) {
	j := &Journal{Epoch: 1}
	j.Open(1)
	j.Step(start, claimFor(1, "a"))
	j.Step(start, Committed{})
	j.Step(start, Finished{Finish{Service: "s", KeyHash: "1", ClaimID: "a", Outcome: Completed}})
	written := j.Step(start.Add(2*time.Second), Tick{})[0].(Append)
	check.Equal(t, "lines", len(written.Segment.Lines), 1)
	next := &Journal{Epoch: 2}
	next.Replay(1, written.Segment)
	next.Open(2)
	check.Equal(t, "after takeover", next.Step(start, claimFor(1, "b"))[0], Action(Duplicate{1, Completed}))
}
