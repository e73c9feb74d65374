package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is a query or an intent.
type Statement interface{ isStatement() }

// Show lists the objects or records of a kind.
type Show struct {
	Kind       string
	Where      []Condition
	OrderBy    string
	OrderAt    Position
	Descending bool
	// Limit is the largest number of rows; 0 sets none.
	Limit int
}

// Condition compares a field with a value by =, !=, <, <=, > or >=.
type Condition struct {
	Field    string
	At       Position
	Operator string
	Value    string
}

// Position is where a name or value stands in a statement; line and column count from 1.
type Position struct{ Line, Column int }

// Why asks for the rule and figures behind the state of an instance, wave, job, request, budget or move.
type Why struct {
	Kind string
	Name string
	At   Position
}

// PauseWave asks that a wave begins no further stops.
type PauseWave struct {
	Wave string
	At   Position
}

// ResumeWaveNow asks that a paused or halted wave goes on.
type ResumeWaveNow struct {
	Wave string
	At   Position
}

// RaiseBudget asks that a budget allows more instances out of service at a time.
type RaiseBudget struct {
	Budget string
	At     Position
	To     int
	ToAt   Position
}

// Retire asks that an instance leaves the fleet.
type Retire struct {
	Instance string
	At       Position
}

// Cancel asks that a job is cancelled.
type Cancel struct {
	Job string
	At  Position
}

// Cordon asks that the instances of a rack get no jobs and no moves.
type Cordon struct {
	Rack string
	At   Position
}

// Uncordon withdraws a Cordon.
type Uncordon struct {
	Rack string
	At   Position
}

func (Show) isStatement()          {}
func (Why) isStatement()           {}
func (PauseWave) isStatement()     {}
func (ResumeWaveNow) isStatement() {}
func (RaiseBudget) isStatement()   {}
func (Retire) isStatement()        {}
func (Cancel) isStatement()        {}
func (Cordon) isStatement()        {}
func (Uncordon) isStatement()      {}

// ShowKinds are the kinds that a show statement accepts.
var ShowKinds = []string{
	"pool", "service", "team", "budget", "wave", "objective", "intent", "instance", "entry", "move", "job", "refusal", "quarantine",
}

// WhyKinds are the kinds that a why statement accepts.
var WhyKinds = []string{"instance", "wave", "job", "request", "budget", "move"}

// StatementPrefixes lists the beginnings of all statements, for completion.
var StatementPrefixes = []string{
	"show", "why", "pause wave", "resume wave", "raise budget", "retire instance", "cancel job", "cordon rack", "uncordon rack",
}

// singular returns the kind of show that a plural names; operators write both.
func singular(kind string) string {
	if kind == "entries" {
		return "entry"
	}
	if single, ok := strings.CutSuffix(kind, "s"); ok && slices.Contains(ShowKinds, single) {
		return single
	}
	return kind
}

// StatementName is the file name in the problems of a statement.
const StatementName = "statement"

// ParseStatement reads one statement; it returns Problems, which wrap ErrEdit when the statement would edit a decision.
func ParseStatement(text string) (Statement, error) {
	code, _, problems := scan(File{Name: StatementName, Text: text})
	if len(problems) > 0 {
		return nil, problems
	}
	if len(code) == 0 {
		return nil, Problems{{File: StatementName, Line: 1, Column: 1, Found: "nothing", Expected: expectations["StatementNode"]}}
	}
	item, problem := parseItem(code)
	if problem != nil {
		return nil, Problems{*problem}
	}
	if item.Declaration != nil {
		return nil, Problems{at(item.Declaration.Pos, "a declaration", "a statement; apply declarations from a file")}
	}
	if len(item.Statement.Fields) > 0 {
		return nil, Problems{at(item.Statement.Fields[0].Pos, "a field", "the end of the statement")}
	}
	s, problems := item.Statement.statement()
	if len(problems) > 0 {
		return nil, problems.orNil()
	}
	return s, nil
}

// words returns the statement as it is written, without its fields.
func (n *statementNode) words() string {
	var all []string
	for _, t := range n.Tokens {
		if t.Value == "{" {
			break
		}
		all = append(all, t.Value)
	}
	return strings.Join(all, " ")
}

func (n *statementNode) statement() (Statement, Problems) {
	switch {
	case n.Show != nil:
		return n.Show.show()
	case n.Why != nil:
		return named(n.Why.Name, idUnit, func(name string, at Position) Statement { return Why{n.Why.Kind, name, at} })
	case n.Pause != nil:
		return named(n.Pause, nameUnit, func(name string, at Position) Statement { return PauseWave{name, at} })
	case n.Resume != nil:
		return named(n.Resume, nameUnit, func(name string, at Position) Statement { return ResumeWaveNow{name, at} })
	case n.Raise != nil:
		return n.Raise.raise()
	case n.Retire != nil:
		return named(n.Retire, idUnit, func(name string, at Position) Statement { return Retire{name, at} })
	case n.Cancel != nil:
		return named(n.Cancel, idUnit, func(name string, at Position) Statement { return Cancel{name, at} })
	case n.Cordon != nil:
		return named(n.Cordon, idUnit, func(name string, at Position) Statement { return Cordon{name, at} })
	case n.Uncordon != nil:
		return named(n.Uncordon, idUnit, func(name string, at Position) Statement { return Uncordon{name, at} })
	}
	problem := at(n.Pos, quote(n.words()), n.Edit.instead())
	problem.isEdit = true
	return nil, Problems{problem}
}

func placeOf(pos lexer.Position) Position { return Position{pos.Line, pos.Column} }

func named(l *literalNode, u unit[string], build func(string, Position) Statement) (Statement, Problems) {
	name, problem := readLiteral(l, u)
	if problem != nil {
		return nil, Problems{*problem}
	}
	return build(name, placeOf(l.Pos)), nil
}

func (n *raiseNode) raise() (Statement, Problems) {
	to, problem := readLiteral(n.To, countUnit)
	if problem != nil {
		return nil, Problems{*problem}
	}
	return named(n.Name, nameUnit, func(name string, at Position) Statement {
		return RaiseBudget{name, at, to, placeOf(n.To.Pos)}
	})
}

func (n *showNode) show() (Statement, Problems) {
	var problems Problems
	s := Show{Kind: n.Kind}
	s.Kind = singular(s.Kind)
	if !slices.Contains(ShowKinds, s.Kind) {
		problems = append(problems, at(n.Pos, quote(n.Kind), "one of "+strings.Join(ShowKinds, ", ")))
	}
	for _, c := range n.Where {
		value, ok := c.Value.text()
		if !ok {
			problems = append(problems, at(c.Value.Pos, quote(c.Value.source()), "a string with valid escapes"))
		}
		s.Where = append(s.Where, Condition{Field: c.Field, At: placeOf(c.Pos), Operator: c.Operator, Value: value})
	}
	if n.Order != nil {
		s.OrderBy, s.OrderAt, s.Descending = n.Order.Field, placeOf(n.Order.Pos), n.Order.Direction == "desc"
	}
	if n.LimitNode != nil {
		limit, problem := readLiteral(n.LimitNode, countUnit)
		if problem != nil {
			problems = append(problems, *problem)
		}
		s.Limit = limit
	}
	return s, problems
}

// instead names the intent or declaration that replaces an edit of a decision.
func (n *editNode) instead() string {
	kind, name := n.Rest[0].source(), "NAME"
	if len(n.Rest) > 1 {
		name = n.Rest[1].source()
	}
	switch {
	case n.Verb == "move" || n.Verb == "assign" || n.Verb == "unassign":
		return "an intent; raise the minimum of the wanted pool in its declaration and apply it, the system picks the instance"
	case kind == "instance":
		return fmt.Sprintf("an intent; state retire instance %s, or declare a wave to reboot instances", name)
	case kind == "job":
		return fmt.Sprintf("an intent; state cancel job %s or cordon rack NAME, the system places the job", name)
	case kind == "wave":
		return fmt.Sprintf("an intent; state pause wave %s or resume wave %s", name, name)
	case kind == "budget":
		return fmt.Sprintf("an intent; state raise budget %s to N, or change its declaration and apply it", name)
	case kind == "rack":
		return fmt.Sprintf("an intent; state cordon rack %s or uncordon rack %s", name, name)
	}
	return "an intent (" + strings.Join(StatementPrefixes[2:], ", ") + ") or a changed declaration"
}

// standing returns the intent that a statement adds to the set.
func standing(s Statement) (Intent, bool) {
	switch s := s.(type) {
	case Retire:
		return Intent{Kind: RetireInstance, Target: s.Instance}, true
	case Cancel:
		return Intent{Kind: CancelJob, Target: s.Job}, true
	case Cordon:
		return Intent{Kind: CordonRack, Target: s.Rack}, true
	case ResumeWaveNow:
		return Intent{Kind: ResumeWave, Target: s.Wave}, true
	}
	return Intent{}, false
}

// IsIntent reports whether the statement changes the configuration.
func IsIntent(s Statement) bool {
	switch s.(type) {
	case Show, Why:
		return false
	}
	return true
}

// ApplyIntent returns a new set with an intent stated by an operator, or Problems when it refers to nothing.
func (s Set) ApplyIntent(intent Statement, by string, now time.Time) (Set, error) {
	next := s.Apply(Delta{})
	switch i := intent.(type) {
	case PauseWave:
		if err := next.setPaused(i.Wave, i.At, true); err != nil {
			return s, err
		}
	case ResumeWaveNow:
		if err := next.setPaused(i.Wave, i.At, false); err != nil {
			return s, err
		}
	case RaiseBudget:
		if err := next.raise(i); err != nil {
			return s, err
		}
	case Uncordon:
		key := Intent{Kind: CordonRack, Target: i.Rack}.Key()
		if _, ok := next.Intents[key]; !ok {
			return s, StatementProblem(i.At, "rack "+quote(i.Rack), "a cordoned rack")
		}
		delete(next.Intents, key)
	}
	if wish, ok := standing(intent); ok {
		wish.By, wish.At = by, now.UTC().Round(0)
		next.Intents[wish.Key()] = wish
	}
	return next, nil
}

// PauseWaves pauses all waves of the set, so that their windows, which depend on the time of day, do not matter.
func (s Set) PauseWaves() {
	for name, w := range s.Waves {
		w.Paused = true
		s.Waves[name] = w
	}
}

func (s Set) setPaused(wave string, at Position, paused bool) error {
	w, ok := s.Waves[wave]
	if !ok {
		return StatementProblem(at, "wave "+quote(wave), "a declared wave")
	}
	w.Paused = paused
	s.Waves[wave] = w
	return nil
}

func (s Set) raise(r RaiseBudget) error {
	b, ok := s.Budgets[r.Budget]
	if !ok {
		return StatementProblem(r.At, "budget "+quote(r.Budget), "a declared budget")
	}
	if r.To < b.MaxUnavailable {
		return StatementProblem(r.ToAt, fmt.Sprint(r.To), fmt.Sprintf("at least the present %d; lower a budget in its declaration", b.MaxUnavailable))
	}
	b.MaxUnavailable = r.To
	s.Budgets[r.Budget] = b
	return Validate(s)
}

// StatementProblem returns Problems with one problem at a place in a statement.
func StatementProblem(at Position, found, expected string) Problems {
	return Problems{{File: StatementName, Line: at.Line, Column: at.Column, Found: found, Expected: expected}}
}
