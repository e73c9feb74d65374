package declaration

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// MaxFileSize is the largest size in bytes of a file of declarations.
const MaxFileSize = 4 << 20

// File is a named text of declarations.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Document is what one or more files declare; it is not yet checked against other objects.
type Document struct {
	Set   Set
	marks map[Ref]mark
}

// Parse reads files of declarations and returns Problems with every error found.
func Parse(files ...File) (Document, error) {
	d := Document{marks: map[Ref]mark{}}
	var problems Problems
	for _, f := range files {
		items, errs := parseItems(f)
		problems = append(problems, errs...)
		for _, item := range items {
			problems = append(problems, d.add(item)...)
		}
	}
	return d, problems.orNil()
}

// scan returns the tokens of a file, comments apart.
func scan(f File) (code, comments []lexer.Token, problems Problems) {
	start := lexer.Position{Filename: f.Name, Line: 1, Column: 1}
	if len(f.Text) > MaxFileSize {
		return nil, nil, Problems{at(start, fmt.Sprintf("%d bytes", len(f.Text)), fmt.Sprintf("at most %d", MaxFileSize))}
	}
	lex, err := tokens.LexString(f.Name, f.Text)
	if err != nil {
		return nil, nil, Problems{syntaxProblem(err, start)}
	}
	all, err := lexer.ConsumeAll(lex)
	if err != nil {
		return nil, nil, Problems{syntaxProblem(err, start)}
	}
	for _, t := range all {
		switch {
		case t.EOF():
		case t.Type == commentToken:
			comments = append(comments, t)
		default:
			code = append(code, t)
		}
	}
	return code, comments, nil
}

func parseItems(f File) ([]*itemNode, Problems) {
	code, _, problems := scan(f)
	var items []*itemNode
	for _, chunk := range split(code) {
		item, problem := parseItem(chunk)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		items = append(items, item)
	}
	return items, problems
}

func parseItem(chunk []lexer.Token) (*itemNode, *Problem) {
	last := chunk[len(chunk)-1]
	end := last.Pos
	end.Advance(last.Value)
	lex, err := lexer.Upgrade(&replay{items: chunk, end: end})
	if err != nil {
		problem := syntaxProblem(err, chunk[0].Pos)
		return nil, &problem
	}
	item, err := grammar.ParseFromLexer(lex)
	if err != nil {
		problem := syntaxProblem(err, chunk[0].Pos)
		return nil, &problem
	}
	return item, nil
}

func (d *Document) add(item *itemNode) Problems {
	if item.Statement != nil {
		return d.addIntent(item.Statement)
	}
	n := item.Declaration
	switch Kind(n.Kind) {
	case KindPool:
		return addTo(d, pools, n)
	case KindService:
		return addTo(d, services, n)
	case KindTeam:
		return addTo(d, teams, n)
	case KindBudget:
		return addTo(d, budgets, n)
	case KindWave:
		return addTo(d, waves, n)
	case KindObjective:
		return addTo(d, objectives, n)
	}
	return Problems{at(n.Pos, quote(n.Kind), strings.Join(declarationWords, ", "))}
}

func addTo[T any](d *Document, t table[T], n *declarationNode) Problems {
	name, problem := readLiteral(n.Name, nameUnit)
	if problem != nil {
		return Problems{*problem}
	}
	var value T
	*t.name(&value) = name
	m, problems := readFields(&value, fmt.Sprintf("%s %s", t.kind, name), n.Name.Pos, n.Fields, t.fields)
	objects := t.objects(&d.Set)
	if duplicate := d.claim(Ref{t.kind, name}, m); duplicate != nil {
		return append(problems, *duplicate)
	}
	put(objects, name, value)
	return problems
}

func put[T any](objects *map[string]T, name string, value T) {
	if *objects == nil {
		*objects = map[string]T{}
	}
	(*objects)[name] = value
}

// claim records where an object is declared and reports a second declaration of the same name.
func (d *Document) claim(r Ref, m mark) *Problem {
	if first, ok := d.marks[r]; ok {
		where := fmt.Sprintf("it once; it is declared at %s:%d:%d", first.pos.Filename, first.pos.Line, first.pos.Column)
		problem := at(m.pos, fmt.Sprintf("%s %s again", r.Kind, r.Name), where)
		return &problem
	}
	d.marks[r] = m
	return nil
}

// addIntent takes up a statement in a file; only the standing intents that Export writes are allowed there.
func (d *Document) addIntent(n *statementNode) Problems {
	statement, problems := n.statement()
	if len(problems) > 0 {
		return problems
	}
	intent, ok := standing(statement)
	if !ok {
		return Problems{at(n.Pos, "statement "+quote(n.words()), "a declaration or one of retire instance, cancel job, cordon rack, resume wave; state others with query")}
	}
	m, problems := readFields(&intent, "intent", n.Pos, n.Fields, intentFields)
	if duplicate := d.claim(Ref{KindIntent, intent.Key()}, m); duplicate != nil {
		return append(problems, *duplicate)
	}
	put(&d.Set.Intents, intent.Key(), intent)
	return problems
}
