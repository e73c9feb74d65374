package declaration

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// field describes one field of a declaration, for parsing, formatting, completion and documentation.
type field[T any] struct {
	name       string
	expected   string
	isRequired bool
	parse      func(*T, *valueNode) []Problem
	// format returns the value as text, or false if the field is left out.
	format func(T) (string, bool)
}

// optional returns a field that is left out of an export if it has its zero value.
func optional[T any, V comparable](name string, c codec[V], value func(*T) *V) field[T] {
	return field[T]{
		name:     name,
		expected: c.expected,
		parse: func(t *T, v *valueNode) []Problem {
			if v.IsList {
				return []Problem{problemAt(v.Pos, "a list", c.expected)}
			}
			parsed, problem := parseLiteral(v.Single, c)
			if problem != nil {
				return []Problem{*problem}
			}
			*value(t) = parsed
			return nil
		},
		format: func(t T) (string, bool) {
			var zero V
			v := *value(&t)
			return c.format(v), v != zero
		},
	}
}

// positive returns an optional field whose zero value means that it is not set. A zero in a file is refused, since it looks
// like the tightest limit but would set none.
func positive[T any, V comparable](name string, c codec[V], value func(*T) *V) field[T] {
	c.expected += ", above zero; without the field there is none"
	parse := c.parse
	c.parse = func(text string) (V, error) {
		var zero V
		v, err := parse(text)
		if err == nil && v == zero {
			err = errFormat
		}
		return v, err
	}
	return optional(name, c, value)
}

// required returns a field that every declaration must have.
func required[T any, V comparable](name string, c codec[V], value func(*T) *V) field[T] {
	f := optional(name, c, value)
	f.isRequired = true
	f.format = func(t T) (string, bool) { return c.format(*value(&t)), true }
	return f
}

// list returns an optional field with a list of distinct items.
func list[T any](name string, c codec[string], value func(*T) *[]string) field[T] {
	return field[T]{
		name:     name,
		expected: "a list such as [a, b] of items that are each " + c.expected,
		parse: func(t *T, v *valueNode) []Problem {
			if !v.IsList {
				return []Problem{problemAt(v.Pos, quote(v.Single.source()), "a list such as [a, b]")}
			}
			return parseList(v, c, value(t))
		},
		format: func(t T) (string, bool) {
			items := *value(&t)
			words := make([]string, len(items))
			for i, item := range items {
				words[i] = c.format(item)
			}
			return "[" + strings.Join(words, ", ") + "]", len(items) > 0
		},
	}
}

func parseList(v *valueNode, c codec[string], to *[]string) []Problem {
	var problems []Problem
	isListed := map[string]bool{}
	for _, l := range v.List {
		item, problem := parseLiteral(l, c)
		switch {
		case problem != nil:
			problems = append(problems, *problem)
		case isListed[item]:
			problems = append(problems, problemAt(l.Pos, quote(item)+" twice", "each item once"))
		default:
			isListed[item] = true
			*to = append(*to, item)
		}
	}
	return problems
}

func parseLiteral[V any](l *literalNode, c codec[V]) (V, *Problem) {
	var zero V
	text, ok := l.text()
	if !ok {
		problem := problemAt(l.Pos, quote(l.source()), "a string with valid escapes")
		return zero, &problem
	}
	v, err := c.parse(text)
	if err != nil {
		found := quote(text)
		if errors.Is(err, errOverflow) {
			found += ", which overflows"
		}
		problem := problemAt(l.Pos, found, c.expected)
		return zero, &problem
	}
	return v, nil
}

// objectPosition holds the positions of an object and its fields in a file, for the problems that are found after parsing.
type objectPosition struct {
	pos    lexer.Position
	fields map[string]lexer.Position
}

// parseFields parses the fields of one block into t; context names the block in problems.
func parseFields[T any](t *T, context string, pos lexer.Position, nodes []*fieldNode, table []field[T]) (objectPosition, Problems) {
	position := objectPosition{pos: pos, fields: map[string]lexer.Position{}}
	var problems Problems
	for _, n := range nodes {
		f, ok := findField(table, n.Key)
		if !ok {
			problems = append(problems, problemAt(n.Pos, "unknown field "+quote(n.Key), "one of "+strings.Join(fieldNames(table), ", ")))
			continue
		}
		if first, ok := position.fields[n.Key]; ok {
			problems = append(problems, problemAt(n.Pos, fmt.Sprintf("field %s again", n.Key), fmt.Sprintf("it once; it is set at line %d", first.Line)))
			continue
		}
		position.fields[n.Key] = n.Value.Pos
		problems = append(problems, f.parse(t, n.Value)...)
	}
	for _, f := range table {
		if _, ok := position.fields[f.name]; f.isRequired && !ok {
			problems = append(problems, problemAt(pos, context+" without "+f.name, f.name+" = "+f.expected))
		}
	}
	return position, problems
}

func findField[T any](table []field[T], name string) (field[T], bool) {
	for _, f := range table {
		if f.name == name {
			return f, true
		}
	}
	return field[T]{}, false
}

func fieldNames[T any](table []field[T]) []string {
	names := make([]string, len(table))
	for i, f := range table {
		names[i] = f.name
	}
	return names
}
