package operator_test

import (
	"net/http"
	"testing"

	"github.com/google/uuid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/operator/message"
)

// maxProblemBytes bounds the text of a problem beyond the part of a statement that it quotes.
const maxProblemBytes = 1 << 10

// Guards against a statement that ends its call inside the daemon, leaves a configuration that is not valid, or is answered with a problem
// without a reason.
func FuzzStatement(f *testing.F) {
	for _, text := range []string{
		`show pool where minimum >= 3 order by name desc limit 2`, `show instances where state = "inService"`, `show refusal limit 0`, `show moves where rack != 1`,
		`why instance cuttingRoom-a`, `why wave beforeCutters`, `why job j1`, `why request q1`, `why budget cuttingRoom`, `why move ledgerTools-a`,
		`pause wave beforeCutters`, `resume wave beforeCutters`, `raise budget cuttingRoom to 3`, `raise budget cuttingRoom to 99999999999999999999`,
		`retire instance cuttingRoom-b`, `retire instance entry-lost`, `cancel job j1`, `cordon rack r1`, `uncordon rack r1`, `move instance a to b`, `set budget`,
		"show \"\\u\"", `pool a { minimum 1 }`, `why instance "` + "\x00\xff" + `"`,
	} {
		f.Add(text)
	}
	b := newFixture(f)
	declared := b.log.set
	f.Fuzz(func(t *testing.T, text string) {
		b.log.set, b.log.changes = declared, nil
		var answer message.Answer
		p := b.call(t, http.MethodPost, message.StatementPath, operatorToken, message.Statement{Text: text, ChangeID: uuid.NewString()}, &answer)
		if p.Status >= http.StatusInternalServerError {
			t.Errorf("answer: got status %d (%s), want one below 500", p.Status, p.Detail)
		}
		if p.Status != 0 && p.Reason == "" {
			t.Errorf("problem: got %+v, want a reason", p)
		}
		if len(p.Detail) > maxProblemBytes+2*len(text) {
			t.Errorf("problem: got %d bytes for a statement of %d", len(p.Detail), len(text))
		}
		if answer.Applied == nil {
			return
		}
		set, _, err := b.log.Current()
		check.NoError(t, err)
		check.NoError(t, declaration.Validate(set))
		exported, err := declaration.Parse(declaration.File{Name: "exported", Text: declaration.Export(set)})
		check.NoError(t, err)
		check.Equal(t, "pools after the export", len(exported.Set.Pools), len(set.Pools))
	})
}
