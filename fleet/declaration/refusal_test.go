package declaration_test

import (
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

const baseDeclarations = `pool desk {
  instances = 9
  minimum = 6
  maximum = 12
  slots = 8
  connections = 64
  cores = 64
  memory = 128GB
}
service match {
  pool = desk
  class = urgent
  deadline = 2s
  repeatable = yes
  share = 60%
  maxRequest = 64KB
  maxAnswer = 256KB
}
team fitting {
  cores = 100
  memory = 200GB
}
budget desk {
  pools = [desk]
  maxUnavailable = 2
}
wave weekly {
  pools = [desk]
  every = 7d
  from = 22:00
  until = 04:00
  finishBefore = 05:00
  rebootTime = 6m
  haltAfter = 2
}
objective bay {
  service = match
  target = 99.9%
  within = 2s
  window = 30d
}
`

// problemsOf parses and checks text as one file and returns its problems, one on each line.
func problemsOf(text string) string {
	d, err := declaration.Parse(declaration.File{Name: "f", Text: text})
	if err == nil {
		err = d.Check(d.Set)
	}
	if err == nil {
		return ""
	}
	return err.Error()
}

// Guards against invalid declarations that are accepted, and against problems with the wrong position.
func TestRefusals(t *testing.T) {
	check.Equal(t, "problems of the base", problemsOf(baseDeclarations), "")
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", "slots = 8", "slots = 8 colour = red", `f:5:13: found unknown field "colour", expected one of instances, minimum, maximum, slots, connections, cores, memory, accelerators, spare`},
		{"missing field", "  class = urgent\n", "", `f:10:9: found service match without class, expected class = urgent, standard or deferrable`},
		{"field twice", "slots = 8", "slots = 8 slots = 9", `f:5:13: found field slots again, expected it once; it is set at line 5`},
		{"wrong type", "instances = 9", "instances = many", `f:2:15: found "many", expected a whole number from 0 to 1000000`},
		{"list for a value", "deadline = 2s", "deadline = [2s]", `f:13:14: found a list, expected a duration such as 500ms, 2s, 5m, 12h or 21d, at most 10000d`},
		{"value for a list", "budget desk {\n  pools = [desk]", "budget desk {\n  pools = desk", `f:24:11: found "desk", expected a list such as [a, b]`},
		{"negative size", "memory = 128GB", "memory = -128GB", `f:8:12: found "-128GB", expected a size such as 64KB, 2MiB or 128GB, below 8 EiB`},
		{"overflowing size", "memory = 128GB", "memory = 99999999999TB", `f:8:12: found "99999999999TB", which overflows, expected a size such as 64KB, 2MiB or 128GB, below 8 EiB`},
		{"overflowing sum", "memory = 128GB", "memory = 8000000TB", `f:8:12: found 8000000TB in each of 9 instances, which overflows, expected a sum below 8 EiB`},
		{"overflowing count", "instances = 9", "instances = 99999999999999999999", `f:2:15: found "99999999999999999999", which overflows, expected a whole number from 0 to 1000000`},
		{"overflowing duration", "every = 7d", "every = 9999999d", `f:29:11: found "9999999d", which overflows, expected a duration such as 500ms, 2s, 5m, 12h or 21d, at most 10000d`},
		{"time of day", "from = 22:00", "from = 22:60", `f:30:10: found "22:60", expected a time of day in UTC from 00:00 to 24:00`},
		{"unknown pool", "  pool = desk", "  pool = dask", `f:11:10: found pool "dask", expected a declared pool`},
		{"unknown service", "  service = match", "  service = batch", `f:37:13: found service "batch", expected a declared service`},
		{"unknown pool in a scope", "wave weekly {\n  pools = [desk]", "wave weekly {\n  pools = [desk, billing]", `f:28:11: found pool "billing", expected a declared pool`},
		{"scope with an unknown pool and a service", "budget desk {\n  pools = [desk]", "budget desk {\n  pools = [spare] services = [match]", `f:24:11: found pool "spare", expected a declared pool`},
		{"zero budget", "maxUnavailable = 2", "maxUnavailable = 0", `f:25:20: found 0, expected at least 1, since no wave could stop an instance`},
		{"budget too tight for the wave", "rebootTime = 6m", "rebootTime = 2h", `f:25:20: found budget desk with 2 of 9 instances at a time, so 10h for the reboots of wave weekly, expected a budget that leaves a round at most its 7h`},
		{"reboot time above a day", "rebootTime = 6m", "rebootTime = 9000d", `f:33:16: found 9000d, expected a duration above 0s and at most 1d`},
		{"zero rate", "share = 60%", "share = 60% rate = 0/s", `f:15:22: found "0/s", expected a rate such as 20/s, 90/m or 1000/h, above zero; without the field there is none`},
		{"zero racks", "maxUnavailable = 2", "maxUnavailable = 2 maxRacks = 0", `f:25:33: found "0", expected a whole number from 0 to 1000000, above zero; without the field there is none`},
		{"zero time of day", "finishBefore = 05:00", "finishBefore = 00:00", `f:32:18: found "00:00", expected a time of day in UTC from 00:00 to 24:00, above zero; without the field there is none`},
		{"finish before the window ends", "finishBefore = 05:00", "finishBefore = 03:00", `f:32:18: found 03:00, expected a time not before until, 04:00`},
		{"share above 100%", "share = 60%", "share = 120%", `f:15:11: found "120%", which overflows, expected a whole percentage from 0% to 100%`},
		{"shares above 100%", "team fitting", strings.NewReplacer("match", "history", "60%", "50%").Replace(baseDeclarations[strings.Index(baseDeclarations, "service"):strings.Index(baseDeclarations, "team")]) + "team fitting", `f:15:11: found shares of 110% in pool desk, expected at most 100%`},
		{"pool smaller than shares", "minimum = 6", "minimum = 0", `f:3:13: found pool desk with 0 slots at its minimum of 0 instances, expected a pool not smaller than its guaranteed shares, 60% in whole slots for 1 services`},
		{"minimum above instances", "minimum = 6", "minimum = 10", "f:3:13: found minimum 10, expected at most the 9 instances\nf:3:13: found minimums of 10 instances in all pools, expected at most the 9 declared instances; an instance would have to be in two pools"},
		{"quota above the fleet", "cores = 100", "cores = 577", `f:20:11: found quotas of 577 cores in all, expected at most the fleet's 576`},
		{"deadline above 60 s", "deadline = 2s", "deadline = 61s", `f:13:14: found 61s, expected a deadline above 0s and at most 60s`},
		{"answer above 64 MiB", "maxAnswer = 256KB", "maxAnswer = 65MiB", `f:17:15: found 65MiB, expected at most 64MiB`},
		{"objective above the deadline", "within = 2s", "within = 3s", `f:39:12: found 3s, expected at most the service's deadline of 2s`},
		{"target of 100%", "99.9%", "100%", `f:38:12: found "100%", expected a percentage above 0% and below 100%`},
		{"name with a slash", "team fitting", "team a/b", `f:19:6: found "a/b", expected a name of letters, digits, _ and -, starting with a letter, at most 64 characters`},
		{"duplicate", "team fitting", "team fitting {\n  cores = 1\n  memory = 1GB\n}\nteam fitting", `f:23:6: found team fitting again, expected it once; it is declared at f:19:6`},
		{"query in a file", "team fitting", "show pool\nteam fitting", `f:19:1: found statement "show pool", expected a declaration or one of retire instance, cancel job, cordon rack, resume wave; state others with query`},
		{"intent for an unknown wave", "team fitting", "resume wave daily\nteam fitting", `f:19:1: found wave "daily", expected a declared wave`},
		{"stray text", "team fitting", "hello\nteam fitting", `f:19:1: found "hello", expected a declaration (pool, service, team, budget, wave, objective) or a statement (show, why, pause, resume, raise, retire, cancel, cordon, uncordon)`},
		{"unterminated string", "  pools = [desk]\n  max", "  pools = [\"desk]\n  max", `f:24:12: found "\"", expected "]"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(baseDeclarations, c.old, c.new, 1)
			check.True(t, "text changed", changed != baseDeclarations)
			check.Equal(t, "problems", problemsOf(changed), c.want)
		})
	}
}

// Guards against a syntax error that hides the errors after it, and against an unlimited list of problems.
func TestAllErrorsAreReportedUpToLimit(t *testing.T) {
	text := strings.NewReplacer("instances = 9", "instances = -1", "deadline = 2s", "deadline = ", "maxUnavailable = 2\n}", "maxUnavailable = two", "every = 7d", "every = 7 d").Replace(baseDeclarations)
	want := []string{
		`f:2:15: found "-1", expected a whole number from 0 to 1000000`,
		`f:14:14: found "=", expected a field such as name = value, or }`,
		`f:25:23: found the end, expected a field such as name = value, or }`,
		`f:28:13: found "d", expected a field such as name = value, or }`,
	}
	check.Equal(t, "problems", strings.Split(problemsOf(text), "\n"), want)
	all := strings.Split(problemsOf(strings.Repeat("pool\n", 5000)), "\n")
	check.Equal(t, "problems of a file without declarations", len(all), 101)
	check.Equal(t, "last", all[100], "f:101:5: found 4900 more problems from here on, expected those above to be corrected first")
}

func atColumn(column int) declaration.Position { return declaration.Position{Line: 1, Column: column} }

// Guards against a statement that is parsed wrongly or edits a decision, and against a refusal that does not suggest the
// intent to use instead.
func TestParseStatement(t *testing.T) {
	for text, want := range map[string]declaration.Statement{
		`show instance where state = inService and since > "2026-01-01" order by id desc limit 5`: declaration.Show{
			Kind: "instance", OrderBy: "id", OrderAt: atColumn(73), Descending: true, Limit: 5,
			Where: []declaration.Condition{
				{Field: "state", At: atColumn(21), Operator: "=", Value: "inService"},
				{Field: "since", At: atColumn(43), Operator: ">", Value: "2026-01-01"},
			},
		},
		`why job 7-a`:            declaration.Why{Kind: "job", Name: "7-a", At: atColumn(9)},
		`pause wave weekly`:      declaration.PauseWave{Wave: "weekly", At: atColumn(12)},
		`resume wave weekly`:     declaration.ResumeWaveNow{Wave: "weekly", At: atColumn(13)},
		`raise budget desk to 3`: declaration.RaiseBudget{Budget: "desk", At: atColumn(14), To: 3, ToAt: atColumn(22)},
		`retire instance "w 1"`:  nil,
		`cancel job 12`:          declaration.Cancel{Job: "12", At: atColumn(12)},
		`cordon rack dc1/r2`:     declaration.Cordon{Rack: "dc1/r2", At: atColumn(13)},
		`uncordon rack dc1/r2`:   declaration.Uncordon{Rack: "dc1/r2", At: atColumn(15)},
		`show wave limit many`:   nil,
		`show wavelength`:        nil,
		`why`:                    nil,
		``:                       nil,
		`show pool show pool`:    nil,
		`pool a {}`:              nil,
	} {
		got, err := declaration.ParseStatement(text)
		check.Equal(t, text, got, want)
		check.Equal(t, text+" refused", err != nil, want == nil)
	}
	for text, want := range map[string]string{
		`set instance x state inService`: "statement:1:1: found \"set instance x state inService\", expected an intent; state retire instance x, or declare a wave to reboot instances",
		`move instance x to pool y`:      "statement:1:1: found \"move instance x to pool y\", expected an intent; raise the minimum of the wanted pool in its declaration and apply it, the system picks the instance",
		`place job x on worker y`:        "statement:1:1: found \"place job x on worker y\", expected an intent; state cancel job x or cordon rack NAME, the system places the job",
	} {
		_, err := declaration.ParseStatement(text)
		check.ErrorIs(t, err, declaration.ErrEdit)
		check.Equal(t, "refusal", err.Error(), want)
	}
}

// Guards against an applied file that resumes a wave paused by an operator, against a raise that lowers a budget, and against
// intents about unknown objects.
func TestApplyIntent(t *testing.T) {
	d, err := declaration.Parse(declaration.File{Name: "f", Text: baseDeclarations})
	check.NoError(t, err)
	now := time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	paused, err := d.Set.ApplyIntent(declaration.PauseWave{Wave: "weekly"}, "ana", now)
	check.NoError(t, err)
	check.Equal(t, "paused", paused.Waves["weekly"].Paused, true)
	check.Equal(t, "original stays", d.Set.Waves["weekly"].Paused, false)
	after := d.ApplyTo(paused, declaration.Options{Prune: true, By: "ana", Now: now})
	check.Equal(t, "paused after apply", after.Waves["weekly"].Paused, true)
	resumed, err := paused.ApplyIntent(declaration.ResumeWaveNow{Wave: "weekly"}, "ana", now)
	check.NoError(t, err)
	want := declaration.Intent{Kind: declaration.ResumeWave, Target: "weekly", By: "ana", At: now}
	check.Equal(t, "intent", resumed.Intents["resumeWave/weekly"], want)
	check.Equal(t, "paused after resume", resumed.Waves["weekly"].Paused, false)
	for _, s := range []declaration.Statement{
		declaration.RaiseBudget{Budget: "desk", To: 1},
		declaration.RaiseBudget{Budget: "none", To: 2},
		declaration.PauseWave{Wave: "none"},
		declaration.ResumeWaveNow{Wave: "none"},
		declaration.Uncordon{Rack: "r1"},
	} {
		_, err := d.Set.ApplyIntent(s, "ana", now)
		check.ErrorIs(t, err, declaration.ErrRefused)
	}
}

// Guards against a change that is valid by itself but not together with the objects in force: it removes an object that others
// refer to, or shrinks a pool below the quotas. Only a check of the whole set finds these problems.
func TestCheckWithSetInForce(t *testing.T) {
	current, err := declaration.Parse(declaration.File{Name: "f", Text: baseDeclarations})
	check.NoError(t, err)
	d, err := declaration.Parse(declaration.File{Name: "g", Text: strings.Replace(baseDeclarations[:strings.Index(baseDeclarations, "service")], "instances = 9", "instances = 1 ", 1)})
	check.NoError(t, err)
	err = d.Check(d.ApplyTo(current.Set, declaration.Options{}))
	check.Equal(t, "problems", err.Error(), "g:3:13: found minimum 6, expected at most the 1 instances\n"+
		"g:3:13: found minimums of 6 instances in all pools, expected at most the 1 declared instances; an instance would have to be in two pools\n"+
		"configuration in force: found quotas of 100 cores in all in team fitting, expected at most the fleet's 64\n"+
		"configuration in force: found quotas of 200GB memory in all in team fitting, expected at most the fleet's 128GB")
	empty := declaration.Document{}
	next := current.Set.Apply(declaration.Delta{Removed: []declaration.Ref{{Kind: declaration.KindPool, Name: "desk"}}})
	err = empty.Check(next)
	check.True(t, "names the object in force", strings.Contains(err.Error(), `configuration in force: found pool "desk" in service match, expected a declared pool`))
}
