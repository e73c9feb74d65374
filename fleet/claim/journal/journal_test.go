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

func start(t *testing.T, s store.Store, epoch record.Epoch) *Holder {
	t.Helper()
	h := &Holder{Store: s, Epoch: epoch}
	check.Background(t, h.Run, context.Canceled, ErrFenced)
	return h
}

func request(key, body, id string) claim.Request {
	return claim.Request{Service: "tonerReorder", KeyHash: key, BodyDigest: body, ClaimID: id}
}

func ask(h *Holder, r claim.Request, wait time.Duration) claim.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return h.Claim(ctx, r)
}

// Guards against a second grant for a key, by the same holder and after a takeover that replays the journal.
func TestOneGrantPerKey(t *testing.T) {
	s := standin.NewStore()
	first := start(t, s, 1)
	check.Equal(t, "first", ask(first, request("k", "b", "1"), time.Second), claim.Answer{Decision: claim.Granted})
	check.Equal(t, "same claim id", ask(first, request("k", "b", "1"), time.Second).Decision, claim.Granted)
	check.Equal(t, "other body", ask(first, request("k", "c", "2"), time.Second).Decision, claim.Mismatched)
	duplicate := claim.Answer{Decision: claim.Duplicated, Outcome: claim.Unknown}
	check.Equal(t, "duplicate", ask(first, request("k", "b", "2"), time.Second), duplicate)
	second := start(t, s, 2)
	<-second.Ready()
	check.Equal(t, "duplicate after takeover", ask(second, request("k", "b", "2"), time.Second), duplicate)
}

// Guards against a grant by a holder that was paused while another one took over and granted the same key.
func TestPausedHolderIsFenced(t *testing.T) {
	s := standin.NewStore()
	first := start(t, s, 1)
	check.Equal(t, "before", ask(first, request("other", "b", "0"), time.Second).Decision, claim.Granted)
	second := start(t, s, 2)
	<-second.Ready()
	check.Equal(t, "new holder", ask(second, request("k", "b", "2"), time.Second).Decision, claim.Granted)
	check.Equal(t, "old holder", ask(first, request("k", "b", "1"), time.Second).Reason, claim.ReasonNotHolder)
}

// Guards against a refused claim or a second write when a write took effect but its answer was lost.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	s := standin.NewStore()
	h := start(t, s, 1)
	<-h.Ready()
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	check.Equal(t, "claim", ask(h, request("k", "b", "1"), time.Second).Decision, claim.Granted)
	check.Equal(t, "writes", s.Calls()["put"], 2)
}

// Guards against a grant before the write took effect, and against a key that stays claimed by a refused claim.
func TestStoreDownRefusesAndReleases(t *testing.T) {
	s := standin.NewStore()
	h := start(t, s, 1)
	<-h.Ready()
	s.SetFaults(standin.StoreFaults{Down: true})
	check.Equal(t, "down", ask(h, request("k", "b", "1"), 100*time.Millisecond).Decision, claim.Refused)
	check.Equal(t, "known to be down", ask(h, request("l", "b", "1"), time.Second).Reason, claim.ReasonStoreDown)
	s.SetFaults(standin.StoreFaults{})
	deadline := time.Now().Add(5 * time.Second)
	for ask(h, request("k", "b", "2"), time.Second).Decision != claim.Granted {
		check.True(t, "key is free again in time", time.Now().Before(deadline))
		time.Sleep(20 * time.Millisecond)
	}
}
