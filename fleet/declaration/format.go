package declaration

import (
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/alecthomas/participle/v2/lexer"
)

// Format returns the file in canonical format with its comments; values stay as written.
// A file that does not parse is returned as Problems.
func Format(f File) (string, error) {
	code, comments, problems := scan(f)
	if len(problems) > 0 {
		return "", problems.sorted()
	}
	items, problems := parseItems(f)
	if len(problems) > 0 {
		return "", problems.sorted()
	}
	p := &printer{comments: comments, lastOnLine: map[int]int{}}
	for _, t := range code {
		p.lastOnLine[t.Pos.Line] = t.Pos.Offset
	}
	for _, item := range items {
		p.item(item)
	}
	p.commentsBefore(math.MaxInt, "")
	return p.out.String(), nil
}

// printer writes items, with each comment before or at the end of the line that it belongs to.
type printer struct {
	out      strings.Builder
	comments []lexer.Token
	// lastOnLine is the offset of the last token on a line of the source; comments do not count.
	lastOnLine map[int]int
	// sourceLine is the line of the source where the last written text ended.
	sourceLine int
	isInBlock  bool
	wasBlock   bool
}

func (p *printer) item(i *itemNode) {
	if s := i.Statement; s != nil {
		p.block(s.Tokens[0], s.sourceText(), s.Fields, s.Tokens, len(s.Fields) > 0)
		return
	}
	d := i.Declaration
	p.block(d.Tokens[0], d.Kind+" "+d.Name.source(), d.Fields, d.Tokens, true)
}

// block writes an item: a head with its fields in braces, or a statement without fields.
func (p *printer) block(first lexer.Token, head string, fields []*fieldNode, all []lexer.Token, isBlock bool) {
	if isBlock || p.wasBlock {
		p.blank()
	}
	p.wasBlock = isBlock
	last := all[len(all)-1]
	if !isBlock {
		p.commentsBefore(last.Pos.Offset, "")
		p.line("", head, first, last)
		return
	}
	brace := all[slices.IndexFunc(all, func(t lexer.Token) bool { return t.Value == "{" })]
	p.commentsBefore(brace.Pos.Offset, "")
	p.line("", head+" {", first, brace)
	p.isInBlock = true
	for _, f := range fields {
		p.field(f)
	}
	p.commentsBefore(last.Pos.Offset, "  ")
	p.line("", "}", lexer.Token{}, last)
	p.isInBlock = false
}

func (p *printer) field(f *fieldNode) {
	last := f.Tokens[len(f.Tokens)-1]
	p.commentsBefore(last.Pos.Offset, "  ")
	text := f.Key + " = "
	if f.Value.IsList {
		words := make([]string, len(f.Value.List))
		for i, l := range f.Value.List {
			words[i] = l.source()
		}
		text += "[" + strings.Join(words, ", ") + "]"
	} else {
		text += f.Value.Single.source()
	}
	p.line("  ", text, f.Tokens[0], last)
}

// line writes text that stands in the source from first to last, and the comment that follows it on the same line.
func (p *printer) line(indent, text string, first, last lexer.Token) {
	p.gap(first.Pos.Line)
	p.out.WriteString(indent + text)
	p.sourceLine = last.Pos.Line
	if len(p.comments) > 0 && p.comments[0].Pos.Line == last.Pos.Line && p.lastOnLine[last.Pos.Line] == last.Pos.Offset {
		p.out.WriteString("  " + p.nextComment())
	}
	p.out.WriteString("\n")
}

// commentsBefore writes the comments that stand before an offset of the source, each on its own line.
func (p *printer) commentsBefore(offset int, indent string) {
	for len(p.comments) > 0 && p.comments[0].Pos.Offset < offset {
		line := p.comments[0].Pos.Line
		p.gap(line)
		p.out.WriteString(indent + p.nextComment() + "\n")
		p.sourceLine = line
	}
}

func (p *printer) nextComment() string {
	text := strings.TrimRightFunc(p.comments[0].Value, unicode.IsSpace)
	p.comments = p.comments[1:]
	return text
}

// gap keeps one blank line where the source has any before the given line.
func (p *printer) gap(line int) {
	if line > p.sourceLine+1 {
		p.blank()
	}
}

// blank writes a blank line, but none at the start of the file or of a block and never two.
func (p *printer) blank() {
	text := strings.TrimSuffix(p.out.String(), "\n")
	last := text[strings.LastIndex(text, "\n")+1:]
	isBlockStart := p.isInBlock && !strings.HasPrefix(last, " ")
	if last != "" && !isBlockStart {
		p.out.WriteString("\n")
	}
}
