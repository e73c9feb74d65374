package operator_test

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/store"
)

const teamTemplate = "team %s {\n  cores = 10\n  memory = 20GB\n}\n"

func teamFile(name, cores string) []declaration.File {
	text := strings.Replace(strings.Replace(teamTemplate, "%s", name, 1), "10", cores, 1)
	return []declaration.File{{Name: name + ".verbena", Text: text}}
}

// Guards against a change that silently overwrites a concurrent change of the same object, and against conflicts between
// changes of different objects.
func TestConcurrentChangeConflictsOnlyOnSameObject(t *testing.T) {
	for _, c := range []struct {
		name, proposed, concurrent string
		accepted                   bool
	}{
		{"same object", "night", "night", false},
		{"disjoint objects", "night", "day", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(t)
			other := uuid.NewString()
			b.log.beforePropose = func() {
				b.log.beforePropose = nil
				_, p := b.apply(t, message.Apply{ChangeID: other, Files: teamFile(c.concurrent, "11")})
				check.Equal(t, "problem of the concurrent change", p.Detail, "")
			}
			applied, p := b.apply(t, message.Apply{Files: teamFile(c.proposed, "12")})
			if c.accepted {
				check.Equal(t, "revision", applied.Revision, 2)
				check.Equal(t, "teams", len(b.log.set.Teams), 5)
				return
			}
			check.Equal(t, "reason", p.Reason, message.ReasonConflict)
			check.Equal(t, "outcome", p.Outcome, message.NotApplied)
			check.Equal(t, "id of the concurrent change", p.Other.ID, other)
			check.Equal(t, "operator of the concurrent change", p.Other.By, "ana")
			check.Equal(t, "value of the concurrent change", p.Other.Delta.Written.Teams["night"].MilliCores, 11_000)
			check.Equal(t, "objects", p.Objects, []declaration.Ref{{Kind: declaration.KindTeam, Name: "night"}})
			check.Equal(t, "team in force", b.log.set.Teams["night"].MilliCores, 11_000)
		})
	}
}

// Guards against an old export that overwrites a later change, and against an entry instance that computes a change from
// a set older than the base revision of the change.
func TestChangeFromOldBaseRevision(t *testing.T) {
	b := newFixture(t)
	_, p := b.apply(t, message.Apply{Files: teamFile("night", "11")})
	check.Equal(t, "problem", p.Detail, "")
	_, p = b.apply(t, message.Apply{Files: teamFile("day", "11")})
	check.Equal(t, "problem", p.Detail, "")
	_, p = b.apply(t, message.Apply{Base: 1, Files: teamFile("night", "12")})
	check.Equal(t, "problem on an untouched object", p.Detail, "")
	_, p = b.apply(t, message.Apply{Base: 1, Files: teamFile("day", "12")})
	check.Equal(t, "reason", p.Reason, message.ReasonConflict)
	_, p = b.apply(t, message.Apply{Base: 9, Files: teamFile("day", "11")})
	check.Equal(t, "reason for a base that is not reached yet", p.Reason, message.ReasonUnavailable)
}

// Guards against a change that is applied twice, or refused, when it is sent again because its answer was lost.
func TestRepeatAfterLostAnswerAppliesOnce(t *testing.T) {
	b := newFixture(t)
	id := uuid.NewString()
	b.log.loseAnswers = 1
	_, p := b.apply(t, message.Apply{ChangeID: id, Files: teamFile("night", "11")})
	check.Equal(t, "outcome", p.Outcome, message.Unknown)
	check.Equal(t, "reason", p.Reason, message.ReasonUnknownOutcome)
	check.Equal(t, "change id", p.ChangeID, id)
	repeated, p := b.apply(t, message.Apply{ChangeID: id, Files: teamFile("night", "11")})
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "revision", repeated.Revision, 1)
	check.Equal(t, "changes", len(b.log.changes), 1)
	_, p = b.apply(t, message.Apply{ChangeID: id, Files: teamFile("day", "11")})
	check.Equal(t, "reason for a used change id", p.Reason, message.ReasonInvalid)

	b.log.loseAnswers = 1
	raise := message.Statement{Text: "raise budget billing to 3", ChangeID: uuid.NewString()}
	p = b.call(t, http.MethodPost, message.StatementPath, operatorToken, raise, nil)
	check.Equal(t, "outcome of an intent", p.Outcome, message.Unknown)
	_, p = b.query(t, operatorToken, "raise budget billing to 4")
	check.Equal(t, "problem of the next intent", p.Detail, "")
	var answer message.Answer
	p = b.call(t, http.MethodPost, message.StatementPath, operatorToken, raise, &answer)
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "revision of the repeated intent", answer.Applied.Revision, 2)
	check.Equal(t, "budget", b.log.set.Budgets["billing"].MaxUnavailable, 4)
	check.Equal(t, "changes", len(b.log.changes), 3)
}

// Guards against a refused request that is applied in part, and against a refusal without its outcome.
func TestRefusalAppliesNothing(t *testing.T) {
	b := newFixture(t)
	files := append(teamFile("night", "11"), declaration.File{Name: "b", Text: "pool x {"})
	for name, c := range map[string]struct {
		body   any
		reason string
		detail string
	}{
		"syntax":        {message.Apply{ChangeID: uuid.NewString(), Files: files}, message.ReasonRefused, "b:1:9: found the end"},
		"reference":     {message.Apply{ChangeID: uuid.NewString(), Prune: true, Files: teamFile("night", "1")}, message.ReasonRefused, "night.verbena:2:11: found quotas"},
		"two pools":     {message.Apply{ChangeID: uuid.NewString(), Files: edited(t, "instances = 12", "instances = 13")}, message.ReasonRefused, "cascade.verbena:35:15: found 50 instances declared in all pools, expected at most the 49 instances of the fleet; an instance would have to be in two pools"},
		"unknown rack":  {message.Apply{ChangeID: uuid.NewString(), Files: edited(t, "pools = [billing]", "pools = [billing] racks = [r9]")}, message.ReasonRefused, `found rack "r9", expected a rack of the fleet`},
		"no files":      {message.Apply{ChangeID: uuid.NewString()}, message.ReasonInvalid, "no files"},
		"change id":     {message.Apply{ChangeID: "1", Files: files}, message.ReasonInvalid, `changeId "1" is not a UUID`},
		"unknown field": {`{"force":true}`, message.ReasonInvalid, `unknown field "force"`},
		"two objects":   {`{}{}`, message.ReasonInvalid, "text after"},
		"too large":     {`{"changeId":"` + strings.Repeat("x", 9<<20) + `"}`, message.ReasonTooLarge, "8388608 bytes"},
	} {
		p := b.call(t, http.MethodPost, message.ApplyPath, operatorToken, c.body, nil)
		check.Equal(t, name+" reason", p.Reason, c.reason)
		check.Equal(t, name+" outcome", p.Outcome, message.NotApplied)
		check.True(t, name+" detail has "+c.detail+": "+p.Detail, strings.Contains(p.Detail, c.detail))
	}
	check.Equal(t, "changes", len(b.log.changes), 0)
	b.log.err = configuration.ErrNotReady
	_, p := b.apply(t, message.Apply{Files: teamFile("night", "11")})
	check.Equal(t, "reason before the first configuration", p.Reason, message.ReasonNotReady)
	b.log.err = store.ErrOverShare
	_, p = b.apply(t, message.Apply{Files: teamFile("night", "11")})
	check.Equal(t, "reason while the store refuses", p.Reason, message.ReasonUnavailable)
	check.Equal(t, "outcome while the store refuses", p.Outcome, message.NotApplied)
}

// Guards against an export that causes a change when it is applied again with pruning.
func TestAppliedExportChangesNothing(t *testing.T) {
	b := newFixture(t)
	for _, intent := range []string{"retire instance billing-a", "cordon rack r1", "pause wave backOffice"} {
		_, p := b.query(t, operatorToken, intent)
		check.Equal(t, intent, p.Detail, "")
	}
	var text string
	p := b.call(t, http.MethodGet, message.ExportPath, readerToken, "", &text)
	check.Equal(t, "problem", p.Detail, "")
	applied, p := b.apply(t, message.Apply{Prune: true, Files: []declaration.File{{Name: "export", Text: text}}})
	check.Equal(t, "problem", p.Detail, "")
	check.Equal(t, "unchanged", applied.Unchanged, true)
	check.Equal(t, "changes", len(b.log.changes), 3)
}

// Guards against intents about objects that do not exist and against statements that edit a decision of the system.
func TestIntents(t *testing.T) {
	b := newFixture(t)
	for text, want := range map[string]string{
		"retire instance entry-live":     `statement:1:17: found entry instance entry-live, which is live, expected an instance of the fleet; stop a live entry instance with SIGTERM`,
		"retire instance x":              `statement:1:17: found instance "x", expected an instance of the fleet that is not retired`,
		"cordon rack r9":                 `statement:1:13: found rack "r9", expected a rack of the fleet`,
		"uncordon rack r1":               `statement:1:15: found rack "r1", expected a cordoned rack`,
		"cancel job j9":                  `statement:1:12: found job "j9", expected an accepted job`,
		"cancel job j2":                  `statement:1:12: found job j2 in the state succeeded, expected a job that is not finished`,
		"raise budget billing to 1":      `statement:1:25: found 1, expected at least the present 2; lower a budget in its declaration`,
		"pause wave x":                   `statement:1:12: found wave "x", expected a declared wave`,
		"show pool where colour = red":   `statement:1:17: found field "colour", expected one of name, instances, minimum, maximum, slots, connections, cores, memory, accelerators, spare, members, inService`,
		"show pool order by colour":      `statement:1:20: found field "colour", expected one of name, instances, minimum, maximum, slots, connections, cores, memory, accelerators, spare, members, inService`,
		"set instance x state inService": `statement:1:1: found "set instance x state inService", expected an intent; state retire instance x, or declare a wave to reboot instances`,
	} {
		_, p := b.query(t, operatorToken, text)
		check.Equal(t, text, p.Detail, want)
		check.Equal(t, "status", p.Status, http.StatusUnprocessableEntity)
	}
	check.Equal(t, "changes", len(b.log.changes), 0)
}

// Guards against finished intents that accumulate, against an intent that is removed before it is carried out, and against a
// conflict about the automatic removal of intents.
func TestFinishedIntentsAreRemoved(t *testing.T) {
	b := newFixture(t)
	b.log.set = b.log.set.Apply(declaration.Delta{})
	b.records.instances[0].State = "retired"
	for _, i := range []declaration.Intent{
		{Kind: declaration.CancelJob, Target: "j1", At: noon},
		{Kind: declaration.CancelJob, Target: "j2", At: noon},
		{Kind: declaration.CancelJob, Target: "j9", At: noon.Add(25 * time.Hour)},
		{Kind: declaration.RetireInstance, Target: "billing-a", At: noon},
		{Kind: declaration.RetireInstance, Target: "billing-b", At: noon},
		{Kind: declaration.RetireInstance, Target: "entry-gone", At: noon},
		{Kind: declaration.RetireInstance, Target: "entry-lost", At: noon},
		{Kind: declaration.CordonRack, Target: "r1", At: noon},
	} {
		b.log.set.Intents[i.Key()] = i
	}
	b.Now = func() time.Time { return noon.Add(26 * time.Hour) }
	b.log.beforePropose = func() {
		b.log.beforePropose = nil
		_, p := b.query(t, operatorToken, "pause wave backOffice")
		check.Equal(t, "problem of the concurrent intent", p.Detail, "")
	}
	_, p := b.query(t, operatorToken, "raise budget billing to 3")
	check.Equal(t, "problem of the proposed intent", p.Detail, "")
	check.Equal(t, "budget", b.log.set.Budgets["billing"].MaxUnavailable, 3)
	check.Equal(t, "intents left", slices.Sorted(maps.Keys(b.log.set.Intents)), []string{
		"cancelJob/j1", "cancelJob/j9", "cordonRack/r1", "retireInstance/billing-b", "retireInstance/entry-lost",
	})
}
