package declaration

import (
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/alecthomas/participle/v2/lexer"
)

// Format returns the text of a file in canonical format. Comments are kept and values are not changed. The error is Problems
// if the file cannot be parsed.
func Format(f File) (string, error) {
	code, comments, problems := scan(f)
	if len(problems) > 0 {
		return "", problems.Sorted()
	}
	items, problems := parseItems(f)
	if len(problems) > 0 {
		return "", problems.Sorted()
	}
	p := &printer{comments: comments, lastOnLine: map[int]int{}}
	for _, t := range code {
		p.lastOnLine[t.Pos.Line] = t.Pos.Offset
	}
	for _, item := range items {
		p.writeItem(item)
	}
	p.writeCommentsBefore(math.MaxInt, "")
	return p.out.String(), nil
}

// printer writes items with their comments, each on its own line or at the end of the line that it follows in the source.
type printer struct {
	out      strings.Builder
	comments []lexer.Token
	// lastOnLine maps a line of the source to the offset of its last token that is not a comment.
	lastOnLine map[int]int
	// sourceLine is the line of the source at which the text written last ends.
	sourceLine int
	isInBlock  bool
	wasBlock   bool
}

func (p *printer) writeItem(i *itemNode) {
	if s := i.Statement; s != nil {
		p.writeBlock(s.Tokens[0], s.sourceText(), s.Fields, s.Tokens, len(s.Fields) > 0)
		return
	}
	d := i.Declaration
	p.writeBlock(d.Tokens[0], d.Kind+" "+d.Name.source(), d.Fields, d.Tokens, true)
}

// writeBlock writes an item: a head with its fields in braces, or a statement without fields.
func (p *printer) writeBlock(first lexer.Token, head string, fields []*fieldNode, all []lexer.Token, isBlock bool) {
	if isBlock || p.wasBlock {
		p.writeBlankLine()
	}
	p.wasBlock = isBlock
	last := all[len(all)-1]
	if !isBlock {
		p.writeCommentsBefore(last.Pos.Offset, "")
		p.writeLine("", head, first, last)
		return
	}
	brace := all[slices.IndexFunc(all, func(t lexer.Token) bool { return t.Value == "{" })]
	p.writeCommentsBefore(brace.Pos.Offset, "")
	p.writeLine("", head+" {", first, brace)
	p.isInBlock = true
	for _, f := range fields {
		p.writeField(f)
	}
	p.writeCommentsBefore(last.Pos.Offset, "  ")
	p.writeLine("", "}", lexer.Token{}, last)
	p.isInBlock = false
}

func (p *printer) writeField(f *fieldNode) {
	last := f.Tokens[len(f.Tokens)-1]
	p.writeCommentsBefore(last.Pos.Offset, "  ")
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
	p.writeLine("  ", text, f.Tokens[0], last)
}

// writeLine writes the text of the tokens from first to last, and the comment that follows them on the same line.
func (p *printer) writeLine(indent, text string, first, last lexer.Token) {
	p.keepBlankLine(first.Pos.Line)
	p.out.WriteString(indent + text)
	p.sourceLine = last.Pos.Line
	if len(p.comments) > 0 && p.comments[0].Pos.Line == last.Pos.Line && p.lastOnLine[last.Pos.Line] == last.Pos.Offset {
		p.out.WriteString("  " + p.takeComment())
	}
	p.out.WriteString("\n")
}

// writeCommentsBefore writes the comments before an offset of the source, each on its own line.
func (p *printer) writeCommentsBefore(offset int, indent string) {
	for len(p.comments) > 0 && p.comments[0].Pos.Offset < offset {
		line := p.comments[0].Pos.Line
		p.keepBlankLine(line)
		p.out.WriteString(indent + p.takeComment() + "\n")
		p.sourceLine = line
	}
}

func (p *printer) takeComment() string {
	text := strings.TrimRightFunc(p.comments[0].Value, unicode.IsSpace)
	p.comments = p.comments[1:]
	return text
}

// keepBlankLine writes a blank line if the source has any before the given line.
func (p *printer) keepBlankLine(line int) {
	if line > p.sourceLine+1 {
		p.writeBlankLine()
	}
}

// writeBlankLine writes a blank line, except at the start of the file or of a block and after another blank line.
func (p *printer) writeBlankLine() {
	text := strings.TrimSuffix(p.out.String(), "\n")
	last := text[strings.LastIndex(text, "\n")+1:]
	isBlockStart := p.isInBlock && !strings.HasPrefix(last, " ")
	if last != "" && !isBlockStart {
		p.out.WriteString("\n")
	}
}
