package operator_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

var codeBlock = regexp.MustCompile("(?ms)^```(verbena|statement)\n(.*?)^```$")

// Guards against examples on the language page that fail when they run in the order of the page.
func TestLanguagePageExamplesRun(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "language.md"))
	check.NoError(t, err)
	b := newFixture(t)
	b.log.set = declaration.Set{}
	location := platform.Location{Region: "east", DataCentre: "dc1", Rack: "dc1-r2"}
	b.records.instances = nil
	for _, id := range strings.Fields("10.1.4.7 a b c d e f g h i j k l m n o p") {
		b.records.instances = append(b.records.instances, record.Instance{ID: id, Pool: "fittingDesk", State: "inService", Location: location})
	}
	b.records.jobs = []record.Job{{ID: "7f1c-22", Team: "cutting", State: "running"}}
	b.records.moves = []record.Move{{Instance: "10.1.4.7", State: "proposed"}}
	b.records.refusals = []operator.Refusal{{RequestID: "0c9e3f2a", Service: "sizeMatch"}}
	var files []declaration.File
	var statements []string
	for _, block := range codeBlock.FindAllStringSubmatch(string(text), -1) {
		if block[1] == "verbena" {
			files = append(files, declaration.File{Name: "language.md", Text: block[2]})
			continue
		}
		statements = append(statements, strings.Split(strings.TrimSpace(block[2]), "\n")...)
	}
	_, p := b.apply(t, message.Apply{Files: files})
	check.Equal(t, "declarations", p.Detail, "")
	for _, s := range statements {
		_, p := b.query(t, operatorToken, s)
		check.Equal(t, s, p.Detail, "")
	}
	check.True(t, "statements ran", len(statements) >= 15)
}
