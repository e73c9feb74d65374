package declaration

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

var (
	// ErrRefused is wrapped by Problems.
	ErrRefused = errors.New("refused")
	// ErrEdit is wrapped by Problems when a statement would edit a decision of the system.
	ErrEdit = errors.New("statement would edit a decision")
)

// CurrentName is the file name in problems of objects that are in the configuration in force but in none of the files.
const CurrentName = "configuration in force"

// Problem is one reason for a refusal.
type Problem struct {
	File string `json:"file"`
	// Line and Column count from 1; both are 0 when the object is not in a file.
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Found    string `json:"found"`
	Expected string `json:"expected"`
	isEdit   bool
}

// Error returns the problem in one line.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: found %s, expected %s", p.File, p.Found, p.Expected)
	}
	return fmt.Sprintf("%s:%d:%d: found %s, expected %s", p.File, p.Line, p.Column, p.Found, p.Expected)
}

// Problems holds every reason for a refusal: those in files in the order of the files, then the others. It wraps ErrRefused.
type Problems []Problem

// Error returns the problems, one on each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether the target is ErrRefused, or ErrEdit when a statement would edit a decision.
func (p Problems) Is(target error) bool {
	isEdit := slices.ContainsFunc(p, func(q Problem) bool { return q.isEdit })
	return target == ErrRefused || (target == ErrEdit && isEdit)
}

// maxProblems limits the problems, so that the answer stays readable if a file contains something else than declarations.
const maxProblems = 100

// sorted returns the problems in the order of the files, or nil if there are none. After maxProblems of them it adds one that
// counts the rest.
func (p Problems) sorted() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(min(b.Line, 1), min(a.Line, 1)), cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if n := len(p) - maxProblems; n > 0 {
		p = p[:maxProblems+1]
		p[maxProblems].Found, p[maxProblems].Expected = fmt.Sprintf("%d more problems from here on", n), "those above to be corrected first"
	}
	return p
}

func problemAt(pos lexer.Position, found, expected string) Problem {
	return Problem{File: pos.Filename, Line: pos.Line, Column: pos.Column, Found: found, Expected: expected}
}

// syntaxProblem turns an error of the grammar into a problem; first is where the item begins.
func syntaxProblem(err error, first lexer.Position) Problem {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		found := quote(unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			found = "the end"
		}
		if unexpected.Unexpected.Pos.Offset == first.Offset {
			return problemAt(first, found, expectations["ItemNode"])
		}
		return problemAt(unexpected.Unexpected.Pos, found, expectation(unexpected))
	}
	var other participle.Error
	if errors.As(err, &other) {
		return problemAt(other.Position(), quote(other.Message()), "a declaration or a statement")
	}
	return problemAt(first, quote(err.Error()), "a declaration or a statement")
}

// expectation describes what the grammar expected at a token.
func expectation(err *participle.UnexpectedTokenError) string {
	_, after, ok := strings.Cut(err.Message(), "(expected ")
	if !ok {
		return "the end of the declaration or statement"
	}
	want := strings.TrimSuffix(after, ")")
	for name, words := range expectations {
		if strings.HasPrefix(want, name) {
			return words
		}
	}
	return want
}

// expectations holds descriptions of what the grammar expects, by the grammar's own words for it.
var expectations = map[string]string{
	"ItemNode":        "a declaration (pool, service, team, budget, wave, objective) or a statement (show, why, pause, resume, raise, retire, cancel, cordon, uncordon)",
	"DeclarationNode": "a declaration",
	"StatementNode":   "a statement",
	"LiteralNode":     "a name or value",
	"ValueNode":       "a value",
	"ConditionNode":   "a condition such as state = inService",
	"OrderNode":       "a field",
	"ShowNode":        "a kind: " + strings.Join(ShowKinds, ", "),
	"WhyNode":         "instance, wave, job, request, budget or move and a name",
	"<operator>":      "=, !=, <, <=, > or >=",
	"<word>":          "a word",
	`"}"`:             "a field such as name = value, or }",
	`"to" `:           "to and a number",
	`"by" `:           "by and a field",
	`"wave" `:         "wave and its name",
	`"budget" `:       "budget and its name",
	`"instance" `:     "instance and its id",
	`"job" `:          "job and its id",
	`"rack" `:         "rack and its name",
}

func quote(text string) string {
	if len(text) > 80 {
		text = text[:77] + "..."
	}
	return fmt.Sprintf("%q", text)
}

// Sorted returns the problems in the order of the files, or nil if there are none.
func (p Problems) Sorted() error { return p.sorted() }
