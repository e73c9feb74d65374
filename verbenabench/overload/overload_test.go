package overload

import (
	"testing"
	"time"
)

// play returns the result of a policy under a load.
func play(l load, p policy, seed uint64) Row {
	began := time.Unix(1_790_000_000, 0)
	calls := drawCalls(l, seed, began)
	newModel(p, l, seed, began).run(calls)
	return newRow(l, p, calls)
}

func loadNamed(t *testing.T, name string) load {
	t.Helper()
	for _, l := range loads {
		if l.name == name {
			return l
		}
	}
	t.Fatalf("load %q: got none, want one", name)
	return load{}
}

// Guards against a workspace at eight times its usual that takes from ten others what they get on a calm day.
func TestHotWorkspaceTakesNothingFromTheOthers(t *testing.T) {
	const allowed = 0.02
	for _, refusal := range []string{refuseNone, refuseUse} {
		p := policy{owedFirst, refusal}
		calm := play(loadNamed(t, "calm"), p, 1).GoodputOthers
		if got := play(loadNamed(t, "hot workspace"), p, 1).GoodputOthers; got < calm-allowed {
			t.Errorf("goodput of the others, refusal %s: got %.3f, want %.3f less %.2f at most", refusal, got, calm, allowed)
		}
	}
}

// Guards against refusals while a pool has room, and against calls of which one policy sees others than the next.
func TestCalmDayHasNoRefusals(t *testing.T) {
	l := loadNamed(t, "calm")
	row := play(l, policy{owedFirst, refuseUse}, 1)
	if row.Refused != 0 || row.Useless != 0 {
		t.Errorf("calm day: got %d refused and %d useless, want none", row.Refused, row.Useless)
	}
	began := time.Unix(0, 0)
	a, b := drawCalls(l, 4, began), drawCalls(l, 4, began)
	if len(a) != len(b) || a[len(a)-1].job.ID != b[len(b)-1].job.ID || !a[len(a)-1].at.Equal(b[len(b)-1].at) {
		t.Error("calls of a seed: got others the second time, want the same")
	}
}
