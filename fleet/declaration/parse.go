package declaration

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// MaxFileSize is the maximum size of a file of declarations in bytes.
const MaxFileSize = 4 << 20

// File is a named text of declarations.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Document holds the declarations of one or more files. References and limits across objects are not checked yet.
type Document struct {
	Set       Set
	positions map[Ref]objectPosition
}

// Parse parses files of declarations and returns Problems with every error in them.
func Parse(files ...File) (Document, error) {
	d := Document{positions: map[Ref]objectPosition{}}
	var problems Problems
	for _, f := range files {
		items, errs := parseItems(f)
		problems = append(problems, errs...)
		for _, item := range items {
			problems = append(problems, d.addItem(item)...)
		}
	}
	return d, problems.Sorted()
}

// scan returns the code and comment tokens of a file.
func scan(f File) (code, comments []lexer.Token, problems Problems) {
	start := lexer.Position{Filename: f.Name, Line: 1, Column: 1}
	if len(f.Text) > MaxFileSize {
		return nil, nil, Problems{problemAt(start, fmt.Sprintf("%d bytes", len(f.Text)), fmt.Sprintf("at most %d", MaxFileSize))}
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
	for _, chunk := range splitItems(code) {
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
	lex, err := lexer.Upgrade(&itemLexer{items: chunk, end: end})
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

func (d *Document) addItem(item *itemNode) Problems {
	if item.Statement != nil {
		return d.addIntent(item.Statement)
	}
	n := item.Declaration
	switch Kind(n.Kind) {
	case KindPool:
		return addObject(d, pools, n)
	case KindService:
		return addObject(d, services, n)
	case KindTeam:
		return addObject(d, teams, n)
	case KindBudget:
		return addObject(d, budgets, n)
	case KindWave:
		return addObject(d, waves, n)
	case KindObjective:
		return addObject(d, objectives, n)
	}
	return Problems{problemAt(n.Pos, quote(n.Kind), strings.Join(declarationWords, ", "))}
}

func addObject[T any](d *Document, t table[T], n *declarationNode) Problems {
	name, problem := parseLiteral(n.Name, nameCodec)
	if problem != nil {
		return Problems{*problem}
	}
	var value T
	*t.name(&value) = name
	position, problems := parseFields(&value, fmt.Sprintf("%s %s", t.kind, name), n.Name.Pos, n.Fields, t.fields)
	objects := t.objects(&d.Set)
	if duplicate := d.recordPosition(Ref{t.kind, name}, position); duplicate != nil {
		return append(problems, *duplicate)
	}
	putObject(objects, name, value)
	return problems
}

func putObject[T any](objects *map[string]T, name string, value T) {
	if *objects == nil {
		*objects = map[string]T{}
	}
	(*objects)[name] = value
}

// recordPosition records where an object is declared and returns a problem if it was declared before.
func (d *Document) recordPosition(r Ref, position objectPosition) *Problem {
	if first, ok := d.positions[r]; ok {
		expected := fmt.Sprintf("it once; it is declared at %s:%d:%d", first.pos.Filename, first.pos.Line, first.pos.Column)
		problem := problemAt(position.pos, fmt.Sprintf("%s %s again", r.Kind, r.Name), expected)
		return &problem
	}
	d.positions[r] = position
	return nil
}

// addIntent adds the intent of a statement in a file. Files may contain only the intents that Export writes.
func (d *Document) addIntent(n *statementNode) Problems {
	statement, problems := n.toStatement()
	if len(problems) > 0 {
		return problems
	}
	intent, ok := intentOf(statement)
	if !ok {
		return Problems{problemAt(n.Pos, "statement "+quote(n.sourceText()), "a declaration or one of retire instance, cancel job, cordon rack, resume wave; state others with query")}
	}
	position, problems := parseFields(&intent, "intent", n.Pos, n.Fields, intentFields)
	if duplicate := d.recordPosition(Ref{KindIntent, intent.Key()}, position); duplicate != nil {
		return append(problems, *duplicate)
	}
	putObject(&d.Set.Intents, intent.Key(), intent)
	return problems
}
