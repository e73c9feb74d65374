package demo

import (
	"testing"

	"verbenalanding.example/fleet/declaration"
)

// Guards against a check of the demonstration that cannot fail, because none of its jobs counts as run twice.
func TestDemoJobsCanCountAsRunTwice(t *testing.T) {
	d := &deployment{set: declaration.Set{Teams: map[string]declaration.Team{"crew": {Name: "crew"}}}}
	counted := 0
	for i := range jobsPerPool {
		j := d.newJob("p", declaration.Standard, i)
		if ranTwice(j, 1) {
			t.Errorf("job %s with one start: got run twice, want not", j.ID)
		}
		if ranTwice(j, 2) {
			counted++
		}
	}
	if counted == 0 {
		t.Errorf("jobs that count as run twice with two starts: got 0 of %d, want some", jobsPerPool)
	}
}
