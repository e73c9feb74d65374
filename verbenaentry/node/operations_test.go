package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// source returns the source of all packages that write the log lines and metrics of the operators' page.
func source(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	for _, dir := range []string{".", "../logs", "../../fleet/dispatch", "../../fleet/leadership"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			content, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			all.Write(content)
		}
	}
	return all.String()
}

// Guards against log lines and metrics on the operators' page that the program does not write.
func TestOperationsPageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	code := source(t)
	var named []string
	for _, m := range regexp.MustCompile(`"message":"([^"]+)"`).FindAllSubmatch(page, -1) {
		named = append(named, string(m[1]))
	}
	for _, m := range regexp.MustCompile("`([a-z]+(?: [a-zA-Z,']+)+)`").FindAllSubmatch(page, -1) {
		named = append(named, string(m[1]))
	}
	if len(named) < 20 {
		t.Fatalf("lines named on the page: got %d, want 20 or more", len(named))
	}
	for _, line := range named {
		if !strings.Contains(code, line) && !known(code, line) {
			t.Errorf("line %q: got no code that writes it, want some", line)
		}
	}
	for _, m := range regexp.MustCompile("verbena_([a-zA-Z]+)_").FindAllSubmatch(page, -1) {
		if family := string(m[1]); !strings.Contains(code, `"`+family+`.`) && !strings.Contains(code, "verbena_"+family+"_") {
			t.Errorf("metric family %q: got no code that counts it, want some", family)
		}
	}
}

// known reports whether a line consists of a fixed prefix in the code and a variable rest.
func known(code, line string) bool {
	for _, prefix := range []string{"job ", "store lost for ", "store regained for "} {
		if rest, ok := strings.CutPrefix(line, prefix); ok && strings.Contains(code, `"`+prefix+`"`) && rest != "" {
			return true
		}
	}
	return false
}
