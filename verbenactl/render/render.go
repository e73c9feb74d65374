package render

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
)

// Answer returns the answer to a statement as text.
func Answer(a message.Answer) string {
	switch {
	case a.Table != nil:
		return Table(*a.Table)
	case a.Explanation != nil:
		return Explanation(*a.Explanation)
	case a.Applied != nil:
		return Applied(*a.Applied)
	}
	return ""
}

// Table returns a table as text with aligned columns; columns without any value are omitted.
func Table(t message.Table) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	columns := shownColumns(t)
	writeLine := func(cells []string) {
		words := make([]string, len(columns))
		for i, c := range columns {
			words[i] = sanitize(cells[c])
		}
		fmt.Fprintln(w, strings.Join(words, "\t"))
	}
	if len(t.Rows) > 0 {
		writeLine(t.Columns)
	}
	for _, row := range t.Rows {
		writeLine(row)
	}
	_ = w.Flush() // a strings.Builder returns no error
	lines := strings.Split(b.String(), "\n")
	for i := range lines {
		lines[i] = strings.TrimRight(lines[i], " ")
	}
	return strings.Join(lines, "\n") + fmt.Sprintf("%d of %d rows at revision %d\n", len(t.Rows), t.Total, t.Revision)
}

func shownColumns(t message.Table) []int {
	var shown []int
	for c := range t.Columns {
		for _, row := range t.Rows {
			if row[c] != "" {
				shown = append(shown, c)
				break
			}
		}
	}
	return shown
}

// sanitize replaces control characters with spaces, so that a value cannot send escape sequences to the terminal.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

// Explanation returns the findings as text, indented by their distance from the subject.
func Explanation(e message.Explanation) string {
	var b strings.Builder
	for _, f := range e.Findings {
		indent := strings.Repeat("  ", f.Depth)
		head := strings.TrimRight(strings.Join([]string{f.Kind, f.Name, f.State}, " "), " ")
		at := ""
		if f.At != nil {
			at = ", " + f.At.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(&b, "%s%s\n%s  %s: %s (revision %d%s)\n", indent, sanitize(head), indent, sanitize(f.Rule), sanitize(f.Figures), f.ConfigRevision, at)
	}
	return b.String()
}

// Applied returns the objects that a change wrote and removed, as text.
func Applied(a message.Applied) string {
	if a.Unchanged {
		return fmt.Sprintf("nothing to change; revision %d is in force\n", a.Revision)
	}
	var b strings.Builder
	for _, r := range a.Written {
		fmt.Fprintf(&b, "wrote %s %s\n", r.Kind, r.Name)
	}
	for _, r := range a.Removed {
		fmt.Fprintf(&b, "removed %s %s\n", r.Kind, r.Name)
	}
	fmt.Fprintf(&b, "accepted as revision %d (change id %s)\n", a.Revision, a.ChangeID)
	return b.String()
}

// Difference returns the changes and effects of files as text.
func Difference(d message.Difference) string {
	if len(d.Changes) == 0 {
		return fmt.Sprintf("nothing would change; revision %d is in force\n", d.Revision)
	}
	var b strings.Builder
	for _, c := range d.Changes {
		fmt.Fprintf(&b, "%s %s %s\n", c.Action, c.Object.Kind, c.Object.Name)
		for _, f := range c.Fields {
			fmt.Fprintf(&b, "  %s: %s -> %s\n", f.Field, orNone(f.From), orNone(f.To))
		}
	}
	if len(d.Effects) > 0 {
		b.WriteString("\nThis would cause:\n")
	}
	for _, e := range d.Effects {
		fmt.Fprintf(&b, "  %s, %s: %s\n", e.Kind, strings.TrimSpace(fmt.Sprintf("%s %s", e.Object.Kind, e.Object.Name)), e.Text)
	}
	fmt.Fprintf(&b, "compared with revision %d\n", d.Revision)
	return b.String()
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// OtherChange returns the accepted change of a conflict as text: the objects that it wrote, as declarations, and those that it
// removed. It is empty for other problems.
func OtherChange(p message.Problem) string {
	if p.Other == nil {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "the other change, revision %d by %s:\n", p.Other.Number, p.Other.By)
	b.WriteString(declaration.Export(p.Other.Delta.Written))
	for _, r := range p.Other.Delta.Removed {
		fmt.Fprintf(&b, "removed %s %s\n", r.Kind, r.Name)
	}
	return b.String()
}
