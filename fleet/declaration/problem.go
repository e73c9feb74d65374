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
	// ErrEdit is wrapped by Problems if a statement would edit a decision of the system.
	ErrEdit = errors.New("statement would edit a decision")
)

// CurrentName is the file name in problems of objects that are only in the configuration in force, not in a file.
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

// Error returns the position, the text found and the text expected in one line.
func (p Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: found %s, expected %s", p.File, p.Found, p.Expected)
	}
	return fmt.Sprintf("%s:%d:%d: found %s, expected %s", p.File, p.Line, p.Column, p.Found, p.Expected)
}

// Problems holds every reason for a refusal: first those in files, sorted by position, then the others. It wraps ErrRefused.
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

// maxProblems keeps the answer readable if a file does not contain declarations at all.
const maxProblems = 100

// Sorted returns the problems sorted by file and position, or nil if there are none. Those after maxProblems are replaced by
// one problem with their number.
func (p Problems) Sorted() error {
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

// syntaxProblem returns the problem for a syntax error in the item that begins at itemStart.
func syntaxProblem(err error, itemStart lexer.Position) Problem {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		found := quote(unexpected.Unexpected.Value)
		if unexpected.Unexpected.EOF() {
			found = "the end"
		}
		if unexpected.Unexpected.Pos.Offset == itemStart.Offset {
			return problemAt(itemStart, found, expectations["ItemNode"])
		}
		return problemAt(unexpected.Unexpected.Pos, found, expectation(unexpected))
	}
	var grammarErr participle.Error
	if errors.As(err, &grammarErr) {
		return problemAt(grammarErr.Position(), quote(grammarErr.Message()), "a declaration or a statement")
	}
	return problemAt(itemStart, quote(err.Error()), "a declaration or a statement")
}

// expectation describes the token that the grammar expected.
func expectation(err *participle.UnexpectedTokenError) string {
	_, after, ok := strings.Cut(err.Message(), "(expected ")
	if !ok {
		return "the end of the declaration or statement"
	}
	expected := strings.TrimSuffix(after, ")")
	for symbol, description := range expectations {
		if strings.HasPrefix(expected, symbol) {
			return description
		}
	}
	return expected
}

// expectations describes the symbols of the grammar, by the names that its errors have for them.
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
