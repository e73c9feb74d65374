package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// partitionStore can apply the next write without answering and be unreachable afterwards, so that the outcome is unknown.
type partitionStore struct {
	*standin.Store
	partitionNext bool
}

func (c *partitionStore) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	revision, err := c.Store.Put(ctx, r)
	if c.partitionNext && err == nil {
		c.partitionNext = false
		c.SetFaults(standin.StoreFaults{Down: true})
		return 0, store.ErrUnavailable
	}
	return revision, err
}

// testOperators change two teams through two entry instances while answers of the store are lost.
type testOperators struct {
	t             testing.TB
	store         *partitionStore
	entries       [2]*fixture
	knownRevision uint64
	// pending holds the calls with an unknown outcome.
	pending []message.Apply
	// applied holds the revisions and refused the reasons that were answered, by change id.
	applied map[string]uint64
	refused map[string]string
}

func newTestOperators(t testing.TB, tokens string) *testOperators {
	r := &testOperators{t: t, store: &partitionStore{Store: standin.NewStore()}, applied: map[string]uint64{}, refused: map[string]string{}}
	for i := range r.entries {
		log := &configuration.Log{Store: r.store, Validate: declaration.Validate, Now: time.Now, Log: zerolog.Nop()}
		check.NoError(t, log.CatchUp(context.Background()))
		b := &fixture{Server: &operator.Server{
			Configuration: log, Records: &records{}, Reports: reports{}, Tokens: &operator.Tokens{File: tokens}, Timeout: 10 * time.Millisecond,
		}}
		b.handler = b.Server.Handler()
		r.entries[i] = b
	}
	return r
}

func (r *testOperators) send(t *rapid.T, a message.Apply) {
	b := r.entries[rapid.IntRange(0, 1).Draw(t, "entry instance")]
	var applied message.Applied
	p := b.call(r.t, http.MethodPost, message.ApplyPath, operatorToken, a, &applied)
	switch {
	case p.Status == 0 && applied.Unchanged:
	case p.Status == 0:
		r.applied[a.ChangeID] = applied.Revision
	case p.Outcome == message.Unknown:
		r.pending = append(r.pending, a)
	default:
		r.refused[a.ChangeID] = p.Reason
		if p.Reason == message.ReasonConflict && p.Other.Number <= a.Base {
			t.Fatalf("conflict with revision %d: got base %d, want an earlier base", p.Other.Number, a.Base)
		}
	}
}

func (r *testOperators) change(t *rapid.T) {
	team := rapid.SampledFrom([]string{"day", "night"}).Draw(t, "team")
	cores := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "cores"))
	files := append(teamFile(team, cores), declaration.File{Name: "pool", Text: poolDeclaration})
	r.send(t, message.Apply{ChangeID: uuid.NewString(), Base: r.knownRevision, Files: files})
}

func (r *testOperators) repeat(t *rapid.T) {
	if len(r.pending) == 0 {
		t.Skip("nothing is pending")
	}
	a := r.pending[0]
	r.pending = r.pending[1:]
	before := len(r.pending)
	r.send(t, a)
	if reason, ok := r.refused[a.ChangeID]; ok && len(r.pending) == before && reason != message.ReasonConflict {
		// Only a conflict shows that the first attempt was not applied.
		delete(r.refused, a.ChangeID)
		r.pending = append(r.pending, a)
	}
}

func (r *testOperators) readRevision(t *rapid.T) {
	b := r.entries[rapid.IntRange(0, 1).Draw(t, "entry instance")]
	_, revision, err := b.Configuration.Current()
	if err == nil {
		r.knownRevision = revision
	}
}

func (r *testOperators) partition(*rapid.T) { r.store.partitionNext = true }

func (r *testOperators) heal(t *rapid.T) {
	r.store.partitionNext = false
	r.store.SetFaults(standin.StoreFaults{})
	for _, b := range r.entries {
		if log, ok := b.Configuration.(*configuration.Log); ok && rapid.Bool().Draw(t, "catches up") {
			check.NoError(r.t, log.CatchUp(context.Background()))
		}
	}
}

// checkLog checks that the change log in the store agrees with the answers to the operators.
func (r *testOperators) checkLog(t *rapid.T) {
	r.store.SetFaults(standin.StoreFaults{})
	page, err := r.store.List(context.Background(), record.ChangePrefix, "", 1000)
	check.NoError(r.t, err)
	numbers := map[string]uint64{}
	lastChange := map[declaration.Ref]uint64{}
	for i, e := range page.Entries {
		var c configuration.Change
		check.NoError(r.t, json.Unmarshal(e.Value, &c))
		check.Equal(r.t, "number", c.Number, uint64(i+1))
		if previous, ok := numbers[c.ID]; ok {
			t.Fatalf("change %s: got revisions %d and %d, want one", c.ID, previous, c.Number)
		}
		numbers[c.ID] = c.Number
		for _, ref := range c.Delta.Refs() {
			if lastChange[ref] > c.Base {
				t.Fatalf("revision %d: got base %d, want at least %d, which changed %v", c.Number, c.Base, lastChange[ref], ref)
			}
			lastChange[ref] = c.Number
		}
	}
	for id, revision := range r.applied {
		if numbers[id] != revision {
			t.Fatalf("change %s: got revision %d, want %d as answered", id, numbers[id], revision)
		}
	}
	for id, reason := range r.refused {
		if numbers[id] != 0 {
			t.Fatalf("change %s: got revision %d, want none, since the answer was %s", id, numbers[id], reason)
		}
	}
}

const poolDeclaration = "pool p {\n  instances = 9\n  minimum = 6\n  maximum = 9\n  slots = 8\n  connections = 8\n  cores = 64\n  memory = 64GB\n}\n"

// Guards against changes that are applied twice, lost updates and answers that contradict the change log, while operators
// make concurrent changes through two entry instances and answers of the store are lost.
func TestConcurrentOperators(t *testing.T) {
	tokens := filepath.Join(t.TempDir(), "tokens.json")
	writeTokens(t, tokens, credential(t, "ana", operator.RoleOperator, operatorToken))
	rapid.Check(t, func(rt *rapid.T) {
		r := newTestOperators(t, tokens)
		rt.Repeat(map[string]func(*rapid.T){
			"change": r.change, "again": r.change, "repeat": r.repeat, "look": r.readRevision, "cut": r.partition, "heal": r.heal,
		})
		r.checkLog(rt)
	})
}
