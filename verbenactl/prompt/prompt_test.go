package prompt

import (
	"strings"
	"testing"
	"time"
)

// Guards against completion that offers words that the grammar refuses, or omits words that can follow.
func TestComplete(t *testing.T) {
	p := &Prompt{
		Columns: func(kind string) []string { return []string{kind + "Name", "state"} },
		Names:   func(kind string) []string { return []string{kind + "-1", kind + "-2"} },
	}
	for line, want := range map[string]string{
		"":                                     "show why pause resume raise retire cancel cordon uncordon help exit",
		"re":                                   "resume retire",
		"show w":                               "wave",
		"show wave ":                           "where order limit",
		"show wave where s":                    "state",
		"show wave where state ":               "= != < <= > >=",
		"show wave where state = halted ":      "and order limit",
		"show wave where state = halted and w": "waveName",
		"show wave order ":                     "by",
		"show wave order by state d":           "desc",
		"why r":                                "request",
		"why request ":                         "refusal-1 refusal-2",
		"pause ":                               "wave",
		"pause wave ":                          "wave-1 wave-2",
		"raise budget budget-1 ":               "to",
		"cordon rack ":                         "",
		"pause pool ":                          "",
	} {
		words, _ := p.Complete(line)
		if got := strings.Join(words, " "); got != want {
			t.Fatalf("completion of %q: got %q, want %q", line, got, want)
		}
	}
	suffixes, typed := completer{p}.Do([]rune("show wa"), 7)
	if len(suffixes) != 1 || string(suffixes[0]) != "ve " || typed != 2 {
		t.Fatalf("suffixes: got %q and %d, want \"ve \" and 2", suffixes, typed)
	}
}

// Guards against a call to the daemon for each key press.
func TestCached(t *testing.T) {
	calls := 0
	lookup := Cached(time.Hour, func(string) []string { calls++; return nil })
	lookup("a")
	lookup("a")
	lookup("b")
	if calls != 2 {
		t.Fatalf("calls: got %d, want 2", calls)
	}
}
