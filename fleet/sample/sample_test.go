package sample_test

import (
	"os"
	"path/filepath"
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/sample"
)

// Guards against files in samples/ that differ from the declarations of the demo, that are invalid or that are not in canonical format.
func TestSamples(t *testing.T) {
	for _, name := range sample.Names {
		f, ok := sample.File(name)
		check.True(t, name+" exists", ok)
		text, err := os.ReadFile(filepath.Join("..", "..", "samples", f.Name))
		check.NoError(t, err)
		check.Equal(t, "text in samples/", string(text), f.Text)
		set, err := sample.Set(name)
		check.NoError(t, err)
		check.Equal(t, "pools", len(set.Pools), 5)
		check.Equal(t, "services", len(set.Services), 6)
		formatted, err := declaration.Format(f)
		check.NoError(t, err)
		check.Equal(t, "formatted text", formatted, f.Text)
	}
}
