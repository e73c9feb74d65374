package configuration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

func newLog(s store.Store) *Log {
	return &Log{Store: s, Now: func() time.Time { return time.Unix(0, 0).UTC() }}
}

func teamChange(id string, base uint64, name string, cores int64) Change {
	written := declaration.Set{Teams: map[string]declaration.Team{name: {Name: name, MilliCores: cores}}}
	return Change{ID: id, Base: base, By: "operator", Delta: declaration.Delta{Written: written}}
}

func shortContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 300*time.Millisecond)
}

func TestPropose(t *testing.T) {
	t.Run("a conflict reports the accepted change", func(t *testing.T) {
		s := standin.NewStore()
		first, second := newLog(s), newLog(s)
		_, err := first.Propose(context.Background(), teamChange("a", 0, "cutters", 1))
		check.NoError(t, err)
		_, err = second.Propose(context.Background(), teamChange("b", 0, "cutters", 2))
		var conflict *ConflictError
		check.True(t, "conflict error", errors.As(err, &conflict))
		check.Equal(t, "other change", conflict.Other.ID, "a")
	})
	t.Run("changes of different objects do not conflict", func(t *testing.T) {
		s := standin.NewStore()
		first, second := newLog(s), newLog(s)
		_, err := first.Propose(context.Background(), teamChange("a", 0, "cutters", 1))
		check.NoError(t, err)
		accepted, err := second.Propose(context.Background(), teamChange("b", 0, "fitters", 2))
		check.NoError(t, err)
		check.Equal(t, "number", accepted.Number, uint64(2))
	})
	t.Run("a lost answer does not apply the change twice", func(t *testing.T) {
		s := standin.NewStore()
		l := newLog(s)
		s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
		accepted, err := l.Propose(context.Background(), teamChange("a", 0, "cutters", 1))
		check.NoError(t, err)
		check.Equal(t, "number", accepted.Number, uint64(1))
		repeated, err := newLog(s).Propose(context.Background(), teamChange("a", 0, "cutters", 1))
		check.NoError(t, err)
		check.Equal(t, "number of the repeated change", repeated.Number, uint64(1))
	})
	t.Run("a change is not applied while the store is down", func(t *testing.T) {
		s := standin.NewStore()
		l := newLog(s)
		s.SetFaults(standin.StoreFaults{Down: true})
		ctx, cancel := shortContext()
		defer cancel()
		_, err := l.Propose(ctx, teamChange("a", 0, "cutters", 1))
		check.ErrorIs(t, err, store.ErrUnavailable)
		check.Equal(t, "outcome is unknown", errors.Is(err, ErrUnknownOutcome), false)
	})
}

// Guards against a process that starts while the store is down and first serves the revision of an outdated peer, although
// another peer with a newer revision answers too.
func TestStartFromPeersServesNewestRevision(t *testing.T) {
	s := standin.NewStore()
	older, newer := newLog(s), newLog(s)
	_, err := older.Propose(context.Background(), teamChange("a", 0, "cutters", 1))
	check.NoError(t, err)
	_, err = newer.Propose(context.Background(), teamChange("b", 1, "cutters", 2))
	check.NoError(t, err)
	pull := func(l *Log) Pull {
		return func(_ context.Context, after uint64) (State, error) { return l.Since(after) }
	}
	started := newLog(s)
	started.Peers = func() []Pull { return []Pull{pull(older), pull(newer)} }
	var revisions []uint64
	started.OnChange = func(state State) { revisions = append(revisions, state.Revision) }
	started.PullFromPeers(context.Background())
	check.Equal(t, "revisions in force", revisions, []uint64{2})
}

// Guards against a starting process that does not load the snapshot after the changes up to it were deleted.
func TestSnapshotReplacesDeletedChanges(t *testing.T) {
	s := standin.NewStore()
	l := newLog(s)
	const changes = 2*snapshotEvery + 5
	for i := range uint64(changes) {
		_, err := l.Propose(context.Background(), teamChange(fmt.Sprint(i), i, "cutters", int64(i)))
		check.NoError(t, err)
		if (i+1)%snapshotEvery == 0 {
			check.NoError(t, l.Compact(context.Background()))
		}
	}
	_, err := s.Get(context.Background(), Key(1))
	check.ErrorIs(t, err, store.ErrNotFound)
	started := newLog(s)
	check.NoError(t, started.CatchUp(context.Background()))
	set, revision, err := started.Current()
	check.NoError(t, err)
	check.Equal(t, "revision", revision, uint64(changes))
	check.Equal(t, "team", set.Teams["cutters"].MilliCores, int64(changes-1))
}

// Guards invariant P8: an accepted change is never lost, applied twice or reverted while the store is down or loses answers,
// logs are replaced and peers exchange their states.
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := standin.NewStore()
		logs := []*Log{newLog(s), newLog(s), newLog(s)}
		lastRevisions := make([]uint64, len(logs))
		accepted := map[string]uint64{}
		nextID := 0
		checkRevisions := func() {
			for i, l := range logs {
				_, revision, err := l.Current()
				if err == nil && revision < lastRevisions[i] {
					rt.Fatalf("log %d: got revision %d after %d", i, revision, lastRevisions[i])
				}
				lastRevisions[i] = revision
			}
		}
		propose := func(rt *rapid.T) {
			i := rapid.IntRange(0, len(logs)-1).Draw(rt, "log")
			id := fmt.Sprint(nextID)
			if nextID > 0 && rapid.Bool().Draw(rt, "repeat") {
				id = fmt.Sprint(rapid.IntRange(0, nextID-1).Draw(rt, "id"))
			} else {
				nextID++
			}
			name := rapid.SampledFrom([]string{"cutters", "fitters"}).Draw(rt, "team")
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			defer cancel()
			c, err := logs[i].Propose(ctx, teamChange(id, lastRevisions[i], name, int64(nextID)))
			if err != nil {
				return
			}
			if number, ok := accepted[id]; ok && number != c.Number {
				rt.Fatalf("change %s: got number %d, want %d", id, c.Number, number)
			}
			accepted[id] = c.Number
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { checkRevisions() },
			"faults": func(rt *rapid.T) {
				s.SetFaults(standin.StoreFaults{
					Down:        rapid.Bool().Draw(rt, "down"),
					LoseAnswers: rapid.IntRange(0, 2).Draw(rt, "lost"),
				})
			},
			"heal":    func(*rapid.T) { s.SetFaults(standin.StoreFaults{}) },
			"propose": propose,
			"replace": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(logs)-1).Draw(rt, "log")
				logs[i], lastRevisions[i] = newLog(s), 0
			},
			"pull": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(logs)-1).Draw(rt, "log")
				j := rapid.IntRange(0, len(logs)-1).Draw(rt, "peer")
				if state, err := logs[j].Since(lastRevisions[i]); err == nil {
					logs[i].Merge(state)
				}
			},
		})
		s.SetFaults(standin.StoreFaults{})
		ids := map[string]bool{}
		log := logs[0]
		if err := log.CatchUp(context.Background()); err != nil {
			rt.Fatal(err)
		}
		for _, c := range log.state.Recent {
			if ids[c.ID] {
				rt.Fatalf("change %s is in the log twice", c.ID)
			}
			ids[c.ID] = true
		}
		for id, n := range accepted {
			if n > log.state.Revision || log.state.Recent[n-1].ID != id {
				rt.Fatalf("accepted change %s is not at number %d", id, n)
			}
		}
	})
}
