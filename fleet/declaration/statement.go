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

// Position is the position of a name or value in a statement; line and column count from 1.
type Position struct{ Line, Column int }

// Why asks for the rule and figures that explain the state of an instance, wave, job, request, budget or move.
type Why struct {
	Kind string
	Name string
	At   Position
}

// PauseWave is the intent that a wave begins no further stops.
type PauseWave struct {
	Wave string
	At   Position
}

// ResumeWaveNow is the intent that a paused or halted wave continues.
type ResumeWaveNow struct {
	Wave string
	At   Position
}

// RaiseBudget is the intent that a budget allows more instances out of service at a time.
type RaiseBudget struct {
	Budget string
	At     Position
	To     int
	ToAt   Position
}

// Retire is the intent that an instance leaves the fleet.
type Retire struct {
	Instance string
	At       Position
}

// Cancel is the intent that a job is cancelled.
type Cancel struct {
	Job string
	At  Position
}

// Cordon is the intent that the instances of a rack get no jobs and no moves.
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

// singular returns the singular of a kind in a show statement, which may also be written in the plural.
func singular(kind string) string {
	if kind == "entries" {
		return "entry"
	}
	if single, ok := strings.CutSuffix(kind, "s"); ok && slices.Contains(ShowKinds, single) {
		return single
	}
	return kind
}

// StatementName is the file name in problems of a statement.
const StatementName = "statement"

// ParseStatement parses one statement. The error is Problems, which wrap ErrEdit if the statement would edit a decision.
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
		return nil, Problems{problemAt(item.Declaration.Pos, "a declaration", "a statement; apply declarations from a file")}
	}
	if len(item.Statement.Fields) > 0 {
		return nil, Problems{problemAt(item.Statement.Fields[0].Pos, "a field", "the end of the statement")}
	}
	s, problems := item.Statement.toStatement()
	if len(problems) > 0 {
		return nil, problems.Sorted()
	}
	return s, nil
}

// sourceText returns the tokens of the statement without its fields, separated by spaces.
func (n *statementNode) sourceText() string {
	var words []string
	for _, t := range n.Tokens {
		if t.Value == "{" {
			break
		}
		words = append(words, t.Value)
	}
	return strings.Join(words, " ")
}

func (n *statementNode) toStatement() (Statement, Problems) {
	switch {
	case n.Show != nil:
		return n.Show.toStatement()
	case n.Why != nil:
		return parseNamed(n.Why.Name, idCodec, func(name string, at Position) Statement { return Why{n.Why.Kind, name, at} })
	case n.Pause != nil:
		return parseNamed(n.Pause, nameCodec, func(name string, at Position) Statement { return PauseWave{name, at} })
	case n.Resume != nil:
		return parseNamed(n.Resume, nameCodec, func(name string, at Position) Statement { return ResumeWaveNow{name, at} })
	case n.Raise != nil:
		return n.Raise.toStatement()
	case n.Retire != nil:
		return parseNamed(n.Retire, idCodec, func(name string, at Position) Statement { return Retire{name, at} })
	case n.Cancel != nil:
		return parseNamed(n.Cancel, idCodec, func(name string, at Position) Statement { return Cancel{name, at} })
	case n.Cordon != nil:
		return parseNamed(n.Cordon, idCodec, func(name string, at Position) Statement { return Cordon{name, at} })
	case n.Uncordon != nil:
		return parseNamed(n.Uncordon, idCodec, func(name string, at Position) Statement { return Uncordon{name, at} })
	}
	problem := problemAt(n.Pos, quote(n.sourceText()), n.Edit.suggestion())
	problem.isEdit = true
	return nil, Problems{problem}
}

func positionOf(pos lexer.Position) Position { return Position{pos.Line, pos.Column} }

func parseNamed(l *literalNode, c codec[string], build func(string, Position) Statement) (Statement, Problems) {
	name, problem := parseLiteral(l, c)
	if problem != nil {
		return nil, Problems{*problem}
	}
	return build(name, positionOf(l.Pos)), nil
}

func (n *raiseNode) toStatement() (Statement, Problems) {
	to, problem := parseLiteral(n.To, countCodec)
	if problem != nil {
		return nil, Problems{*problem}
	}
	return parseNamed(n.Name, nameCodec, func(name string, at Position) Statement {
		return RaiseBudget{name, at, to, positionOf(n.To.Pos)}
	})
}

func (n *showNode) toStatement() (Statement, Problems) {
	var problems Problems
	s := Show{Kind: n.Kind}
	s.Kind = singular(s.Kind)
	if !slices.Contains(ShowKinds, s.Kind) {
		problems = append(problems, problemAt(n.Pos, quote(n.Kind), "one of "+strings.Join(ShowKinds, ", ")))
	}
	for _, c := range n.Where {
		value, ok := c.Value.text()
		if !ok {
			problems = append(problems, problemAt(c.Value.Pos, quote(c.Value.source()), "a string with valid escapes"))
		}
		s.Where = append(s.Where, Condition{Field: c.Field, At: positionOf(c.Pos), Operator: c.Operator, Value: value})
	}
	if n.Order != nil {
		s.OrderBy, s.OrderAt, s.Descending = n.Order.Field, positionOf(n.Order.Pos), n.Order.Direction == "desc"
	}
	if n.Limit != nil {
		limit, problem := parseLiteral(n.Limit, countCodec)
		if problem != nil {
			problems = append(problems, *problem)
		}
		s.Limit = limit
	}
	return s, problems
}

// suggestion describes the intent or declaration to use instead of an edit of a decision.
func (n *editNode) suggestion() string {
	kind, name := n.Arguments[0].source(), "NAME"
	if len(n.Arguments) > 1 {
		name = n.Arguments[1].source()
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

// intentOf returns the intent that a statement adds to the set, or false if it adds none.
func intentOf(s Statement) (Intent, bool) {
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

// ApplyIntent returns a copy of the set with an operator's intent applied, or Problems if it refers to an unknown object.
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
		if err := next.raiseBudget(i); err != nil {
			return s, err
		}
	case Uncordon:
		key := Intent{Kind: CordonRack, Target: i.Rack}.Key()
		if _, ok := next.Intents[key]; !ok {
			return s, StatementProblem(i.At, "rack "+quote(i.Rack), "a cordoned rack")
		}
		delete(next.Intents, key)
	}
	if stated, ok := intentOf(intent); ok {
		stated.By, stated.At = by, now.UTC().Round(0)
		next.Intents[stated.Key()] = stated
	}
	return next, nil
}

// PauseWaves pauses all waves of the set in place. Without it the behaviour depends on whether the time of day is in the
// window of a wave.
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

func (s Set) raiseBudget(r RaiseBudget) error {
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

// StatementProblem returns Problems with one problem at a position in a statement.
func StatementProblem(at Position, found, expected string) Problems {
	return Problems{{File: StatementName, Line: at.Line, Column: at.Column, Found: found, Expected: expected}}
}
