package prompt

import (
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// Cached returns a lookup that caches the results of another lookup for a time, so that not every key press causes a call.
func Cached(keep time.Duration, lookup func(string) []string) func(string) []string {
	type entry struct {
		words []string
		at    time.Time
	}
	var mu sync.Mutex
	known := map[string]entry{}
	return func(key string) []string {
		mu.Lock()
		defer mu.Unlock()
		e, ok := known[key]
		if !ok || time.Since(e.at) > keep {
			e = entry{lookup(key), time.Now()}
			known[key] = e
		}
		return e.words
	}
}

// Complete returns the words that may continue a statement, and the part of the last word that is already typed.
func (p *Prompt) Complete(line string) (words []string, typed string) {
	before := strings.Fields(line)
	if len(before) > 0 && !strings.HasSuffix(line, " ") {
		typed = before[len(before)-1]
		before = before[:len(before)-1]
	}
	for _, word := range p.next(before) {
		if strings.HasPrefix(word, typed) {
			words = append(words, word)
		}
	}
	return words, typed
}

// next returns the words that may follow the complete words of a statement.
func (p *Prompt) next(before []string) []string {
	if len(before) == 0 {
		return append(firstWords(), "help", "exit")
	}
	switch before[0] {
	case "show":
		return p.completeShow(before[1:])
	case "why":
		return p.completeWhy(before[1:])
	}
	if len(before) == 1 {
		return secondWords(before[0])
	}
	if len(before) == 2 && slices.Contains(secondWords(before[0]), before[1]) {
		return p.names(before[1])
	}
	if before[0] == "raise" && len(before) == 3 {
		return []string{"to"}
	}
	return nil
}

func firstWords() []string {
	var words []string
	for _, s := range declaration.StatementPrefixes {
		words = append(words, strings.Fields(s)[0])
	}
	return words
}

func secondWords(first string) []string {
	var words []string
	for _, s := range declaration.StatementPrefixes {
		if fields := strings.Fields(s); fields[0] == first && len(fields) > 1 {
			words = append(words, fields[1])
		}
	}
	return words
}

func (p *Prompt) completeWhy(before []string) []string {
	switch len(before) {
	case 0:
		return declaration.WhyKinds
	case 1:
		return p.names(before[0])
	}
	return nil
}

// names returns the names of a kind. Racks are not completed, since no show statement lists them.
func (p *Prompt) names(kind string) []string {
	switch kind {
	case "rack":
		return nil
	case "request":
		kind = "refusal"
	}
	return p.Names(kind)
}

func (p *Prompt) completeShow(before []string) []string {
	if len(before) == 0 {
		return declaration.ShowKinds
	}
	kind, clauses := before[0], before[1:]
	if len(clauses) == 0 {
		return []string{"where", "order", "limit"}
	}
	switch last := clauses[len(clauses)-1]; {
	case last == "where" || last == "and" || last == "by":
		return p.Columns(kind)
	case last == "order":
		return []string{"by"}
	case len(clauses) >= 2 && clauses[len(clauses)-2] == "by":
		return []string{"asc", "desc", "limit"}
	case len(clauses) >= 3 && slices.Contains([]string{"=", "!=", "<", "<=", ">", ">="}, clauses[len(clauses)-2]):
		return []string{"and", "order", "limit"}
	case len(clauses) >= 2 && (clauses[len(clauses)-2] == "where" || clauses[len(clauses)-2] == "and"):
		return []string{"=", "!=", "<", "<=", ">", ">="}
	}
	return nil
}

// completer adapts Complete to the line editor.
type completer struct{ p *Prompt }

// Do returns the remainders of the words that may follow and the length of the part that is already typed.
func (c completer) Do(line []rune, pos int) ([][]rune, int) {
	words, typed := c.p.Complete(string(line[:pos]))
	rests := make([][]rune, len(words))
	for i, word := range words {
		rests[i] = []rune(strings.TrimPrefix(word, typed) + " ")
	}
	return rests, len([]rune(typed))
}
