package declaration_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

var codeBlock = regexp.MustCompile("(?ms)^```(verbena|statement|refused)\n(.*?)^```$")

// Guards against a language page with examples that the grammar refuses, with an outdated text of a refusal, or without a
// field or kind of the language.
func TestLanguagePage(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "language.md"))
	check.NoError(t, err)
	page := string(text)
	var declared strings.Builder
	statements := 0
	for _, block := range codeBlock.FindAllStringSubmatch(page, -1) {
		lines := strings.Split(strings.TrimSpace(block[2]), "\n")
		switch block[1] {
		case "verbena":
			formatted, err := declaration.Format(declaration.File{Name: "language.md", Text: block[2]})
			check.NoError(t, err)
			check.Equal(t, "example in canonical format", formatted, block[2])
			declared.WriteString(block[2])
		case "statement":
			for _, line := range lines {
				_, err := declaration.ParseStatement(line)
				check.NoError(t, err)
				statements++
			}
		case "refused":
			for i := 0; i+1 < len(lines); i += 2 {
				_, err := declaration.ParseStatement(lines[i+1])
				check.ErrorIs(t, err, declaration.ErrRefused)
				check.Equal(t, "refusal", err.Error(), lines[i])
			}
		}
	}
	d, err := declaration.Parse(declaration.File{Name: "language.md", Text: declared.String()})
	check.NoError(t, err)
	check.NoError(t, d.Check(d.Set))
	check.True(t, "statements on the page", statements >= len(declaration.StatementPrefixes))
	for _, kind := range []declaration.Kind{
		declaration.KindPool, declaration.KindService, declaration.KindTeam, declaration.KindBudget, declaration.KindWave, declaration.KindObjective,
	} {
		for _, field := range declaration.Fields(kind) {
			check.True(t, string(kind)+" "+field+" on the page", strings.Contains(page, "`"+field+"`"))
		}
	}
	for _, kind := range append(declaration.ShowKinds, declaration.WhyKinds...) {
		check.True(t, kind+" on the page", strings.Contains(page, "`"+kind+"`") || strings.Contains(page, "why "+kind))
	}
}
