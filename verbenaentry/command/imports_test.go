package command_test

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// Guards against a program on every machine that links the parser of declarations, which takes several megabytes of memory as soon as it starts.
func TestProgramLinksNoParser(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "verbenalanding.example/verbenaentry").Output()
	if err != nil {
		t.Fatalf("list packages: got %v, want none", err)
	}
	packages := strings.Fields(string(out))
	for _, unwanted := range []string{"github.com/alecthomas/participle/v2", "verbenalanding.example/fleet/declaration"} {
		if slices.Contains(packages, unwanted) {
			t.Errorf("packages of the program: got %s among them, want it left out", unwanted)
		}
	}
}
