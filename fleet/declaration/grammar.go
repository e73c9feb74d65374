package declaration

import (
	"slices"
	"strconv"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// tokens accepts any text. A character that starts no other token becomes a Stray token, so that the rest of the file is
// still checked.
var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"(?:\\.|[^"\\\n])*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Punctuation", Pattern: `[{}\[\],]`},
	{Name: "Word", Pattern: `[^\s{}\[\],="#<>!\x00-\x1f\x7f]+`},
	{Name: "whitespace", Pattern: `\s+`},
	{Name: "Stray", Pattern: `(?s:.)`},
})

var (
	commentToken = tokens.Symbols()["Comment"]
	stringToken  = tokens.Symbols()["String"]
	wordToken    = tokens.Symbols()["Word"]
)

var grammar = participle.MustBuild[itemNode](participle.Lexer(tokens), participle.UseLookahead(1))

// itemNode is a declaration or a statement.
type itemNode struct {
	Declaration *declarationNode `parser:"@@"`
	Statement   *statementNode   `parser:"| @@"`
}

type declarationNode struct {
	Pos    lexer.Position
	Tokens []lexer.Token
	Kind   string       `parser:"@('pool' | 'service' | 'team' | 'budget' | 'wave' | 'objective')"`
	Name   *literalNode `parser:"@@"`
	Fields []*fieldNode `parser:"'{' @@* '}'"`
}

type fieldNode struct {
	Pos    lexer.Position
	Tokens []lexer.Token
	Key    string     `parser:"@Word '='"`
	Value  *valueNode `parser:"@@"`
}

type valueNode struct {
	Pos    lexer.Position
	IsList bool           `parser:"( @'['"`
	List   []*literalNode `parser:"( @@ ( ',' @@ )* ','? )? ']'"`
	Single *literalNode   `parser:"| @@ )"`
}

type literalNode struct {
	Pos    lexer.Position
	Word   string `parser:"@Word"`
	Quoted string `parser:"| @String"`
}

type statementNode struct {
	Pos      lexer.Position
	Tokens   []lexer.Token
	Show     *showNode    `parser:"( 'show' @@"`
	Why      *whyNode     `parser:"| 'why' @@"`
	Pause    *literalNode `parser:"| 'pause' 'wave' @@"`
	Resume   *literalNode `parser:"| 'resume' 'wave' @@"`
	Raise    *raiseNode   `parser:"| 'raise' 'budget' @@"`
	Retire   *literalNode `parser:"| 'retire' 'instance' @@"`
	Cancel   *literalNode `parser:"| 'cancel' 'job' @@"`
	Cordon   *literalNode `parser:"| 'cordon' 'rack' @@"`
	Uncordon *literalNode `parser:"| 'uncordon' 'rack' @@"`
	Edit     *editNode    `parser:"| @@ )"`
	Fields   []*fieldNode `parser:"( '{' @@* '}' )?"`
}

type showNode struct {
	Pos   lexer.Position
	Kind  string           `parser:"@Word"`
	Where []*conditionNode `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *orderNode       `parser:"( 'order' 'by' @@ )?"`
	Limit *literalNode     `parser:"( 'limit' @@ )?"`
}

type conditionNode struct {
	Pos      lexer.Position
	Field    string       `parser:"@Word"`
	Operator string       `parser:"@Operator"`
	Value    *literalNode `parser:"@@"`
}

type orderNode struct {
	Pos       lexer.Position
	Field     string `parser:"@Word"`
	Direction string `parser:"@('asc' | 'desc')?"`
}

type whyNode struct {
	Kind string       `parser:"@('instance' | 'wave' | 'job' | 'request' | 'budget' | 'move')"`
	Name *literalNode `parser:"@@"`
}

type raiseNode struct {
	Name *literalNode `parser:"@@"`
	To   *literalNode `parser:"'to' @@"`
}

// editNode is a statement that would edit a decision of the system. The grammar accepts it, so that the refusal can suggest
// an intent instead.
type editNode struct {
	Verb      string         `parser:"@('set' | 'move' | 'place' | 'drain' | 'reboot' | 'stop' | 'start' | 'lower' | 'reserve' | 'release' | 'delete' | 'assign' | 'unassign')"`
	Arguments []*literalNode `parser:"@@ @@*"`
}

var (
	declarationWords = []string{"pool", "service", "team", "budget", "wave", "objective"}
	editWords        = []string{
		"set", "move", "place", "drain", "reboot", "stop", "start", "lower", "reserve", "release", "delete", "assign", "unassign",
	}
	statementWords = append([]string{"show", "why", "pause", "resume", "raise", "retire", "cancel", "cordon", "uncordon"}, editWords...)
)

// text returns the value of the literal without quotes.
func (l *literalNode) text() (string, bool) {
	if l.Quoted == "" {
		return l.Word, true
	}
	text, err := strconv.Unquote(l.Quoted)
	return text, err == nil
}

// source returns the literal as it is written.
func (l *literalNode) source() string { return l.Word + l.Quoted }

// isItemStart reports whether the token at i begins a declaration or statement. Inside a block it still recognises a
// declaration, so that a missing closing brace does not hide the next item.
func isItemStart(all []lexer.Token, i, depth int) bool {
	t := all[i]
	if t.Type != wordToken {
		return false
	}
	if isFirstOnLine := i == 0 || all[i-1].Pos.Line < t.Pos.Line; !isFirstOnLine {
		return false
	}
	isDeclaration := slices.Contains(declarationWords, t.Value)
	if depth <= 0 {
		return isDeclaration || slices.Contains(statementWords, t.Value)
	}
	return isDeclaration && i+2 < len(all) && (all[i+1].Type == wordToken || all[i+1].Type == stringToken) && all[i+2].Value == "{"
}

// splitItems splits the tokens of a file into items, so that a syntax error in one item does not hide errors in the others.
func splitItems(all []lexer.Token) [][]lexer.Token {
	var items [][]lexer.Token
	start, depth := 0, 0
	for i, t := range all {
		isAfterBlock := i > start && depth <= 0 && all[i-1].Value == "}"
		if i > start && (isAfterBlock || isItemStart(all, i, depth)) {
			items = append(items, all[start:i])
			start, depth = i, 0
		}
		switch t.Value {
		case "{":
			depth++
		case "}":
			depth--
		}
	}
	if start < len(all) {
		items = append(items, all[start:])
	}
	return items
}

// itemLexer provides the tokens of one item to the grammar.
type itemLexer struct {
	items []lexer.Token
	end   lexer.Position
}

// Next returns the next token of the item.
func (r *itemLexer) Next() (lexer.Token, error) {
	if len(r.items) == 0 {
		return lexer.EOFToken(r.end), nil
	}
	t := r.items[0]
	r.items = r.items[1:]
	return t, nil
}
