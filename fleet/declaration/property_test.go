package declaration_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

var (
	nameGen = rapid.StringMatching(`[A-Za-z][A-Za-z0-9_-]{0,12}`)
	idGen   = rapid.StringMatching(`[!-~À-ÿ]{1,12}`)
)

func durationGen(unit time.Duration, low, high int) *rapid.Generator[time.Duration] {
	return rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.IntRange(low, high).Draw(t, "span")) * unit })
}

func drawScope(t *rapid.T) declaration.Scope {
	ids := func(label string) []string {
		list := rapid.SliceOfNDistinct(idGen, 0, 3, rapid.ID[string]).Draw(t, label)
		if len(list) == 0 {
			return nil
		}
		return list
	}
	return declaration.Scope{Regions: ids("regions"), DataCentres: ids("data centres"), Racks: ids("racks")}
}

func drawObjects[T any](t *rapid.T, label string, draw func(name string) T) map[string]T {
	all := map[string]T{}
	for _, name := range rapid.SliceOfNDistinct(nameGen, 1, 4, rapid.ID[string]).Draw(t, label) {
		all[name] = draw(name)
	}
	return all
}

// drawSet draws a set whose fields have any valid value; the set may fail the checks across objects.
func drawSet(t *rapid.T) declaration.Set {
	amount := rapid.Int64Range(0, 1<<62)
	count := rapid.IntRange(0, 1_000_000)
	rate := rapid.Float64Range(0, 1e9)
	clock := durationGen(time.Second, 0, 24*60*60)
	return declaration.Set{
		Pools: drawObjects(t, "pools", func(name string) declaration.Pool {
			return declaration.Pool{
				Name: name, Instances: count.Draw(t, "n"), Slots: count.Draw(t, "n"), Connections: count.Draw(t, "n"),
				Minimum: count.Draw(t, "n"), Maximum: count.Draw(t, "n"), Spare: rapid.Bool().Draw(t, "spare"),
				MilliCores: rapid.Int64Range(0, 1e12).Draw(t, "cores"), MemoryBytes: amount.Draw(t, "memory"),
			}
		}),
		Services: drawObjects(t, "services", func(name string) declaration.Service {
			return declaration.Service{
				Name: name, Pool: nameGen.Draw(t, "pool"), Class: rapid.SampledFrom(declaration.Classes).Draw(t, "class"),
				Deadline: durationGen(1, 0, 1<<40).Draw(t, "deadline"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
				MaxRequest: amount.Draw(t, "size"), MaxAnswer: amount.Draw(t, "size"), Rate: rate.Draw(t, "rate"),
				Share: rapid.IntRange(0, 100).Draw(t, "share"), CorrelationOptional: rapid.Bool().Draw(t, "optional"),
				KeyRetention: durationGen(time.Millisecond, 0, 1<<30).Draw(t, "retention"),
			}
		}),
		Teams: drawObjects(t, "teams", func(name string) declaration.Team {
			return declaration.Team{Name: name, MilliCores: 1, MemoryBytes: amount.Draw(t, "memory"), Rate: rate.Draw(t, "rate")}
		}),
		Budgets: drawObjects(t, "budgets", func(name string) declaration.Budget {
			return declaration.Budget{Name: name, Scope: drawScope(t), MaxUnavailable: count.Draw(t, "n"), MaxRacks: count.Draw(t, "n")}
		}),
		Waves: drawObjects(t, "waves", func(name string) declaration.Wave {
			return declaration.Wave{
				Name: name, Scope: drawScope(t), Every: durationGen(time.Minute, 0, 1<<20).Draw(t, "every"), From: clock.Draw(t, "from"),
				Until: clock.Draw(t, "until"), FinishBefore: clock.Draw(t, "finish"), HaltAfter: count.Draw(t, "n"),
				RebootTime: durationGen(time.Second, 0, 1<<20).Draw(t, "reboot"), Paused: rapid.Bool().Draw(t, "paused"),
			}
		}),
		Objectives: drawObjects(t, "objectives", func(name string) declaration.Objective {
			return declaration.Objective{
				Name: name, Service: nameGen.Draw(t, "service"), Target: rapid.Float64Range(1e-9, 1-1e-9).Draw(t, "target"),
				Within: durationGen(time.Millisecond, 0, 1<<20).Draw(t, "within"), Window: durationGen(time.Hour, 0, 1<<10).Draw(t, "window"),
			}
		}),
		Intents: drawIntents(t),
	}
}

func drawIntents(t *rapid.T) map[string]declaration.Intent {
	all := map[string]declaration.Intent{}
	kinds := []declaration.IntentKind{declaration.RetireInstance, declaration.CancelJob, declaration.CordonRack}
	for _, target := range rapid.SliceOfNDistinct(idGen, 1, 3, rapid.ID[string]).Draw(t, "targets") {
		i := declaration.Intent{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Target: target, By: idGen.Draw(t, "by"),
			At: time.Unix(0, rapid.Int64Range(0, 1<<61).Draw(t, "at")).UTC(),
		}
		all[i.Key()] = i
	}
	return all
}

// Guards against an export that cannot be parsed or that loses, rounds or wrongly quotes a value.
func TestExportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := drawSet(t)
		text := declaration.Export(set)
		d, err := declaration.Parse(declaration.File{Name: "export", Text: text})
		if err != nil {
			t.Fatalf("parse of export: %v\n%s", err, text)
		}
		if delta := declaration.Diff(set, d.Set); !delta.Empty() {
			t.Fatalf("delta of export: got %+v, want none\n%s", delta.Written, text)
		}
		formatted, err := declaration.Format(declaration.File{Name: "export", Text: text})
		if err != nil || formatted != text {
			t.Fatalf("format of export: got %q, %v, want %q", formatted, err, text)
		}
	})
}

// Guards against a delta that results in different sets for the operator and for a process that follows the change log.
func TestAppliedDiffResultsInTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t), drawSet(t)
		got := from.Apply(declaration.Diff(from, to))
		if delta := declaration.Diff(got, to); !delta.Empty() {
			t.Fatalf("set after delta: differs in %v, want no difference", delta.Refs())
		}
	})
}

// FuzzParse guards against panics, problems without a position, and formatting that is not idempotent, changes the meaning or
// loses comments.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"cascade.verbena", "tintaviva.verbena"} {
		f.Add(readSample(f, name).Text)
	}
	seeds, err := filepath.Glob(filepath.Join("testdata", "*.verbena"))
	check.NoError(f, err)
	for _, path := range seeds {
		text, err := os.ReadFile(path)
		check.NoError(f, err)
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := declaration.Parse(declaration.File{Name: "fuzz", Text: text})
		checkPositions(t, err)
		_, _ = declaration.ParseStatement(text)
		formatted, formatErr := declaration.Format(declaration.File{Name: "fuzz", Text: text})
		if formatErr != nil {
			return
		}
		reformatted, reformatErr := declaration.Format(declaration.File{Name: "fuzz", Text: formatted})
		check.NoError(t, reformatErr)
		check.Equal(t, "second format", reformatted, formatted)
		check.Equal(t, "comments", strings.Count(formatted, "#"), strings.Count(text, "#"))
		if err != nil {
			return
		}
		checkPositions(t, d.Check(d.Set))
		reparsed, err := declaration.Parse(declaration.File{Name: "fuzz", Text: formatted})
		check.NoError(t, err)
		check.Equal(t, "formatted set", reparsed.Set, d.Set)
		exported, err := declaration.Parse(declaration.File{Name: "fuzz", Text: declaration.Export(d.Set)})
		check.NoError(t, err)
		check.Equal(t, "exported set", exported.Set, d.Set)
	})
}

func checkPositions(t *testing.T, err error) {
	t.Helper()
	var problems declaration.Problems
	if err == nil {
		return
	}
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("error: got %T %v, want problems", err, err)
	}
	for _, p := range problems {
		if p.File != "fuzz" || p.Line < 1 || p.Column < 1 || p.Found == "" || p.Expected == "" {
			t.Fatalf("problem: got %s, want a position, what was found and what was expected", fmt.Sprintf("%+v", p))
		}
	}
}
