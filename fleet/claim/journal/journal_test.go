package journal

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

func startHolder(t *testing.T, s store.Store, epoch record.Epoch) *Holder {
	t.Helper()
	h := &Holder{Store: s, Epoch: epoch}
	check.Background(t, h.Run, context.Canceled, ErrFenced)
	return h
}

func request(key, body, id string) claim.Request {
	return claim.Request{Service: "tonerReorder", KeyHash: key, BodyDigest: body, ClaimID: id}
}

func claimWithin(h *Holder, r claim.Request, wait time.Duration) claim.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return h.Claim(ctx, r)
}

// Guards against a second grant for a key, by the same holder and after a takeover that replays the journal.
func TestOneGrantPerKey(t *testing.T) {
	s := standin.NewStore()
	first := startHolder(t, s, 1)
	check.Equal(t, "first", claimWithin(first, request("k", "b", "1"), time.Second), claim.Answer{Decision: claim.Granted})
	check.Equal(t, "same claim id", claimWithin(first, request("k", "b", "1"), time.Second).Decision, claim.Granted)
	check.Equal(t, "other body", claimWithin(first, request("k", "c", "2"), time.Second).Decision, claim.Mismatched)
	duplicate := claim.Answer{Decision: claim.Duplicated, Outcome: claim.Unknown}
	check.Equal(t, "duplicate", claimWithin(first, request("k", "b", "2"), time.Second), duplicate)
	second := startHolder(t, s, 2)
	<-second.Ready()
	check.Equal(t, "duplicate after takeover", claimWithin(second, request("k", "b", "2"), time.Second), duplicate)
}

// Guards against a grant by a holder that was paused while another one took over and granted the same key.
func TestPausedHolderIsFenced(t *testing.T) {
	s := standin.NewStore()
	first := startHolder(t, s, 1)
	check.Equal(t, "before", claimWithin(first, request("other", "b", "0"), time.Second).Decision, claim.Granted)
	second := startHolder(t, s, 2)
	<-second.Ready()
	check.Equal(t, "new holder", claimWithin(second, request("k", "b", "2"), time.Second).Decision, claim.Granted)
	check.Equal(t, "previous holder", claimWithin(first, request("k", "b", "1"), time.Second).Reason, claim.ReasonNotHolder)
}

// Guards against a refused claim or a second write when a write took effect but its answer was lost.
func TestLostAnswerIsResolvedByReading(t *testing.T) {
	s := standin.NewStore()
	h := startHolder(t, s, 1)
	<-h.Ready()
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	check.Equal(t, "claim", claimWithin(h, request("k", "b", "1"), time.Second).Decision, claim.Granted)
	check.Equal(t, "writes", s.Calls()["put"], 2)
}

// Guards against a grant before the write took effect, and against a key that stays claimed by a refused claim.
func TestClaimRefusedDuringStoreOutageReleasesKey(t *testing.T) {
	s := standin.NewStore()
	h := startHolder(t, s, 1)
	<-h.Ready()
	s.SetFaults(standin.StoreFaults{Down: true})
	check.Equal(t, "down", claimWithin(h, request("k", "b", "1"), 100*time.Millisecond).Decision, claim.Refused)
	check.Equal(t, "next claim while the store is down", claimWithin(h, request("l", "b", "1"), time.Second).Reason, claim.ReasonStoreDown)
	s.SetFaults(standin.StoreFaults{})
	deadline := time.Now().Add(5 * time.Second)
	for claimWithin(h, request("k", "b", "2"), time.Second).Decision != claim.Granted {
		check.True(t, "key is released in time", time.Now().Before(deadline))
		time.Sleep(20 * time.Millisecond)
	}
}
