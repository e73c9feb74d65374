package node_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// source returns the source code of the packages that write the log lines and metrics of the operators' page.
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
func TestOperationsPageNamesWrittenLinesAndMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	code := source(t)
	var lines []string
	for _, m := range regexp.MustCompile(`"message":"([^"]+)"`).FindAllSubmatch(page, -1) {
		lines = append(lines, string(m[1]))
	}
	for _, m := range regexp.MustCompile("`([a-z]+(?: [a-zA-Z,']+)+)`").FindAllSubmatch(page, -1) {
		lines = append(lines, string(m[1]))
	}
	if len(lines) < 20 {
		t.Fatalf("lines named on the page: got %d, want 20 or more", len(lines))
	}
	for _, line := range lines {
		if !strings.Contains(code, line) && !hasWrittenPrefix(code, line) {
			t.Errorf("line %q: got no code that writes it, want some", line)
		}
	}
	for _, m := range regexp.MustCompile("verbena_([a-zA-Z]+)_").FindAllSubmatch(page, -1) {
		if family := string(m[1]); !strings.Contains(code, `"`+family+`.`) && !strings.Contains(code, "verbena_"+family+"_") {
			t.Errorf("metric family %q: got no code that counts it, want some", family)
		}
	}
}

// hasWrittenPrefix reports whether a line begins with a prefix that the code writes before a variable text.
func hasWrittenPrefix(code, line string) bool {
	for _, prefix := range []string{"job ", "store lost for ", "store regained for "} {
		if variable, ok := strings.CutPrefix(line, prefix); ok && strings.Contains(code, `"`+prefix+`"`) && variable != "" {
			return true
		}
	}
	return false
}
