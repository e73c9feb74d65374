package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/sample"
)

// changeLog is a change log in memory with the rules of configuration.Log.
type changeLog struct {
	mu      sync.Mutex
	set     declaration.Set
	changes []configuration.Change
	// loseAnswers is the number of following proposals that take effect but return ErrUnknownOutcome.
	loseAnswers int
	err         error
	// beforePropose is called before a proposal is processed; nil for none.
	beforePropose func()
}

func (l *changeLog) Current() (declaration.Set, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.set, uint64(len(l.changes)), l.err
}

func (l *changeLog) Since(uint64) (configuration.State, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return configuration.State{Recent: slices.Clone(l.changes)}, nil
}

func (l *changeLog) Propose(_ context.Context, c configuration.Change) (configuration.Change, error) {
	if l.beforePropose != nil {
		l.beforePropose()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.IndexFunc(l.changes, func(earlier configuration.Change) bool { return earlier.ID == c.ID }); i >= 0 {
		return l.changes[i], nil
	}
	for _, other := range l.changes[c.Base:] {
		var conflicting []declaration.Ref
		for _, r := range c.Delta.Refs() {
			if slices.Contains(other.Delta.Refs(), r) {
				conflicting = append(conflicting, r)
			}
		}
		if len(conflicting) > 0 {
			return configuration.Change{}, &configuration.ConflictError{Other: other, Objects: conflicting}
		}
	}
	next := l.set.Apply(c.Delta)
	if err := declaration.Validate(next); err != nil {
		return configuration.Change{}, err
	}
	c.Number = uint64(len(l.changes)) + 1
	l.set, l.changes = next, append(l.changes, c)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return configuration.Change{}, configuration.ErrUnknownOutcome
	}
	return c, nil
}

// records implements operator.Records with fixed records.
type records struct {
	instances  []record.Instance
	budgets    []record.Budget
	waves      []record.Wave
	moves      []record.Move
	jobs       []record.Job
	refusals   []operator.Refusal
	quarantine []operator.Quarantine
	// err is the error for all records except instances and entries, which an entry instance holds in memory.
	err error
}

func (r *records) Instances(context.Context) ([]record.Instance, error) { return r.instances, nil }

func (r *records) Entries(context.Context) ([]operator.Entry, error) {
	return []operator.Entry{
		{Entry: record.Entry{ID: "entry-live"}, Live: true}, {Entry: record.Entry{ID: "entry-lost"}},
	}, nil
}

func (r *records) Budgets(context.Context) ([]record.Budget, error) { return r.budgets, r.err }

func (r *records) Waves(context.Context) ([]record.Wave, error) { return r.waves, r.err }

func (r *records) Moves(context.Context) ([]record.Move, error) { return r.moves, r.err }

func (r *records) Jobs(context.Context) ([]record.Job, error) { return r.jobs, r.err }

func (r *records) Refusals(context.Context) ([]operator.Refusal, error) { return r.refusals, r.err }

func (r *records) Quarantined(context.Context) ([]operator.Quarantine, error) {
	return r.quarantine, r.err
}

type reports struct{}

func (reports) Report(_ context.Context, kind, format string) (operator.Rendered, error) {
	if kind != "burn" {
		return operator.Rendered{}, operator.ErrUnknownReport
	}
	return operator.Rendered{ContentType: "text/plain", Body: []byte(kind + " as " + format)}, nil
}

const (
	operatorToken = "operator-token-0123456789-0123456789"
	readerToken   = "reader-token-0123456789-0123456789ab"
)

func credential(t testing.TB, name string, role operator.Role, token string) operator.Credential {
	hash, err := operator.HashToken(token)
	check.NoError(t, err)
	return operator.Credential{Identity: operator.Identity{Name: name, Role: role}, Hash: hash}
}

func writeTokens(t testing.TB, path string, all ...operator.Credential) {
	text, err := json.Marshal(all)
	check.NoError(t, err)
	check.NoError(t, os.WriteFile(path, text, 0o600))
}

// fixture is a server with the sample configuration of Cascade, in which one wave is in the middle of a round.
type fixture struct {
	*operator.Server
	log     *changeLog
	records *records
	handler http.Handler
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	set, err := sample.Set("cascade")
	check.NoError(t, err)
	b := &fixture{log: &changeLog{set: set}, records: cascadeRecords()}
	path := filepath.Join(t.TempDir(), "tokens.json")
	writeTokens(t, path, credential(t, "ana", operator.RoleOperator, operatorToken), credential(t, "rui", operator.RoleReader, readerToken))
	b.Server = &operator.Server{Configuration: b.log, Records: b.records, Reports: reports{}, Tokens: &operator.Tokens{File: path}, Version: "1.2.3"}
	b.handler = b.Server.Handler()
	return b
}

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func cascadeRecords() *records {
	r := &records{}
	for pool, n := range map[string]int{"fittingDesk": 9, "cuttingRoom": 9, "billing": 11, "embroidery": 12, "ledgerTools": 8} {
		for i := range n {
			r.instances = append(r.instances, record.Instance{
				ID: pool + "-" + string(rune('a'+i)), Pool: pool, State: "inService",
				Location: platform.Location{Region: "east", DataCentre: "dc1", Rack: "r" + string(rune('1'+i/4))},
			})
		}
	}
	slices.SortFunc(r.instances, func(a, b record.Instance) int { return strings.Compare(a.ID, b.ID) })
	instance := func(id string) *record.Instance {
		return &r.instances[slices.IndexFunc(r.instances, func(i record.Instance) bool { return i.ID == id })]
	}
	*instance("cuttingRoom-a") = record.Instance{
		ID: "cuttingRoom-a", Pool: "cuttingRoom", State: "rebooting", Wave: "beforeCutters", Location: instance("cuttingRoom-a").Location,
		Reason: record.Reason{Rule: "waveStop", Detail: "round 7 of wave beforeCutters", ConfigRevision: 3, At: noon},
	}
	instance("cuttingRoom-b").State = "failed"
	instance("cuttingRoom-b").Reason = record.Reason{Rule: "unhealthy", Detail: "no answer for 10 s", ConfigRevision: 3, At: noon}
	r.budgets = []record.Budget{{
		Name: "cuttingRoom", Reservations: []record.Reservation{{Instance: "cuttingRoom-a", Holder: "wave/beforeCutters", Epoch: 4, Since: noon}},
		Down: []string{"cuttingRoom-b"},
	}}
	r.waves = []record.Wave{{
		Name: "beforeCutters", State: "running", Round: 7, Active: []string{"cuttingRoom-a"},
		Reason: record.Reason{Rule: "budget", Detail: "budget cuttingRoom: 1 reserved and 1 failed of at most 2", ConfigRevision: 3, At: noon},
	}}
	r.moves = []record.Move{{
		Instance: "ledgerTools-a", From: "ledgerTools", To: "billing", State: "reserved",
		Reason: record.Reason{Rule: "forecast", Detail: "billing lacks 6 slots", ConfigRevision: 3, At: noon},
	}}
	r.jobs = []record.Job{{
		ID: "j1", Team: "cutting", Pool: "cuttingRoom", Class: "standard", Kind: "recut", State: "running", Worker: "cuttingRoom-c",
		Declared: platform.Resources{MilliCores: 500_000, MemoryBytes: 1e12},
		Reason:   record.Reason{Rule: "fits", Detail: "500 of 800 cores", ConfigRevision: 3, At: noon},
	}, {ID: "j2", Team: "cutting", State: "succeeded"}}
	r.refusals = []operator.Refusal{{
		RequestID: "q1", Service: "sizeMatch", Class: "urgent", Outcome: "notRun",
		Reason: record.Reason{Rule: "queueFull", Detail: "64 of 64 queued", ConfigRevision: 3, At: noon},
	}}
	r.quarantine = []operator.Quarantine{{Kind: "jobKind", Name: "recut", Since: noon, Reason: record.Reason{Rule: "failures", Detail: "3 of 3 starts failed"}}}
	return r
}

// call makes a call. It decodes the answer into out on success, and into the returned problem otherwise.
func (b *fixture) call(t testing.TB, method, path, token string, body, out any) message.Problem {
	t.Helper()
	text, ok := body.(string)
	if !ok {
		encoded, err := json.Marshal(body)
		check.NoError(t, err)
		text = string(encoded)
	}
	request := httptest.NewRequest(method, path, bytes.NewBufferString(text))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, request)
	answer, err := io.ReadAll(recorder.Body)
	check.NoError(t, err)
	if recorder.Code != http.StatusOK {
		var p message.Problem
		check.NoError(t, json.Unmarshal(answer, &p))
		check.Equal(t, "status in the problem", p.Status, recorder.Code)
		return p
	}
	if raw, ok := out.(*string); ok {
		*raw = string(answer)
	} else if out != nil {
		check.NoError(t, errors.Join(json.Unmarshal(answer, out)))
	}
	return message.Problem{}
}

func (b *fixture) apply(t testing.TB, a message.Apply) (message.Applied, message.Problem) {
	t.Helper()
	if a.ChangeID == "" {
		a.ChangeID = uuid.NewString()
	}
	var applied message.Applied
	p := b.call(t, http.MethodPost, message.ApplyPath, operatorToken, a, &applied)
	return applied, p
}

func (b *fixture) query(t testing.TB, token, text string) (message.Answer, message.Problem) {
	t.Helper()
	var answer message.Answer
	p := b.call(t, http.MethodPost, message.StatementPath, token, message.Statement{Text: text, ChangeID: uuid.NewString()}, &answer)
	return answer, p
}

// edited returns the sample with replacements, as the files of a call.
func edited(t testing.TB, replacements ...string) []declaration.File {
	t.Helper()
	f, ok := sample.File("cascade")
	check.True(t, "sample known", ok)
	text := strings.NewReplacer(replacements...).Replace(f.Text)
	check.True(t, "text changed", text != f.Text)
	return []declaration.File{{Name: f.Name, Text: text}}
}
