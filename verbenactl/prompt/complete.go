package prompt

import (
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// Cached returns a lookup that caches the results of another lookup for ttl, so that not every key press causes a call.
func Cached(ttl time.Duration, lookup func(string) []string) func(string) []string {
	type entry struct {
		words []string
		at    time.Time
	}
	var mu sync.Mutex
	cache := map[string]entry{}
	return func(key string) []string {
		mu.Lock()
		defer mu.Unlock()
		e, ok := cache[key]
		if !ok || time.Since(e.at) > ttl {
			e = entry{lookup(key), time.Now()}
			cache[key] = e
		}
		return e.words
	}
}

// Complete returns the words that can follow in a statement, and the typed part of an incomplete last word, with which they
// begin.
func (p *Prompt) Complete(line string) (words []string, typed string) {
	preceding := strings.Fields(line)
	if len(preceding) > 0 && !strings.HasSuffix(line, " ") {
		typed = preceding[len(preceding)-1]
		preceding = preceding[:len(preceding)-1]
	}
	for _, word := range p.nextWords(preceding) {
		if strings.HasPrefix(word, typed) {
			words = append(words, word)
		}
	}
	return words, typed
}

// nextWords returns the words that can follow the given words of a statement.
func (p *Prompt) nextWords(preceding []string) []string {
	if len(preceding) == 0 {
		return append(firstWords(), "help", "exit")
	}
	switch preceding[0] {
	case "show":
		return p.completeShow(preceding[1:])
	case "why":
		return p.completeWhy(preceding[1:])
	}
	if len(preceding) == 1 {
		return secondWords(preceding[0])
	}
	if len(preceding) == 2 && slices.Contains(secondWords(preceding[0]), preceding[1]) {
		return p.names(preceding[1])
	}
	if preceding[0] == "raise" && len(preceding) == 3 {
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

func (p *Prompt) completeWhy(preceding []string) []string {
	switch len(preceding) {
	case 0:
		return declaration.WhyKinds
	case 1:
		return p.names(preceding[0])
	}
	return nil
}

// names returns the names of a kind. It returns none for racks, since no show statement lists them.
func (p *Prompt) names(kind string) []string {
	switch kind {
	case "rack":
		return nil
	case "request":
		kind = "refusal"
	}
	return p.Names(kind)
}

func (p *Prompt) completeShow(preceding []string) []string {
	if len(preceding) == 0 {
		return declaration.ShowKinds
	}
	kind, clauses := preceding[0], preceding[1:]
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

// Do returns the untyped parts of the words that can follow, and the length of the typed part.
func (c completer) Do(line []rune, pos int) ([][]rune, int) {
	words, typed := c.p.Complete(string(line[:pos]))
	suffixes := make([][]rune, len(words))
	for i, word := range words {
		suffixes[i] = []rune(strings.TrimPrefix(word, typed) + " ")
	}
	return suffixes, len([]rune(typed))
}
