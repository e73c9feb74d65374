package declaration_test

import (
	"os"
	"path/filepath"
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

func readSample(t testing.TB, name string) declaration.File {
	t.Helper()
	path := filepath.Join("..", "..", "samples", name)
	text, err := os.ReadFile(path)
	check.NoError(t, err)
	return declaration.File{Name: path, Text: string(text)}
}

// Guards against a sample configuration that the daemon refuses, and against an export that loses a field.
func TestSamplesAreValidAndRoundTrip(t *testing.T) {
	for _, name := range []string{"cascade.verbena", "tintaviva.verbena"} {
		t.Run(name, func(t *testing.T) {
			d, err := declaration.Parse(readSample(t, name))
			check.NoError(t, err)
			check.NoError(t, d.Check(d.Set))
			check.Equal(t, "pools", len(d.Set.Pools), 5)
			check.Equal(t, "services", len(d.Set.Services), 6)
			reparsed, err := declaration.Parse(declaration.File{Name: "export", Text: declaration.Export(d.Set)})
			check.NoError(t, err)
			check.Equal(t, "exported set", reparsed.Set, d.Set)
		})
	}
}
