package flood

import (
	"bytes"
	"context"
	"errors"
	"testing"
)

// Checks that the policy meets the targets of section 1.7 of the design. Figures are means over fixed seeds, since some services have only a
// hundred requests in the 10 s after an overload.
func TestPolicyMeetsItsTargets(t *testing.T) {
	const seeds = 3
	for _, name := range []string{"cascade", "tintaviva"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployments[name]
			means := map[string]Target{}
			for seed := range int64(seeds) {
				f := &Flood{Seed: seed + 1}
				calm := f.simulate(d, scenarios[0], policies[0])
				for _, s := range scenarios {
					for _, target := range checkTargets(d, s, f.simulate(d, s, policies[0]), calm) {
						m := means[target.Name]
						target.Got = m.Got + target.Got/seeds
						means[target.Name] = target.evaluated()
					}
				}
			}
			for _, target := range means {
				if !target.Met {
					t.Errorf("%s: got %.4f, want %s %.2f", target.Name, target.Got, target.boundText(), target.Limit)
				}
			}
		})
	}
}

// Guards against a comparison that proves nothing: each baseline must do worse than the policy in the scenario for which the package that it
// replaces is made.
func TestBaselinesDoWorseThanThePolicy(t *testing.T) {
	d, f := deployments["cascade"], &Flood{Seed: 1}
	d.pools = d.pools[:1]
	completedUrgent := func(s, p int) int {
		return f.simulate(d, scenarios[s], policies[p])[0].services[0][overloaded].completed
	}
	for _, c := range []struct {
		name             string
		scenario, policy int
	}{{"first come first served", 1, 1}, {"round robin with a rack lost", 4, 2}} {
		if policy, baseline := completedUrgent(c.scenario, 0), completedUrgent(c.scenario, c.policy); float64(baseline) > 0.95*float64(policy) {
			t.Errorf("%s: completed %d of the policy's %d urgent requests, want fewer", c.name, baseline, policy)
		}
	}
}

// Guards against different results of the same seed, and against accepting an unknown deployment.
func TestSameSeedGivesTheSameResult(t *testing.T) {
	d, f := deployments["tintaviva"], &Flood{Seed: 7}
	d.pools = d.pools[1:2]
	a, b := f.simulate(d, scenarios[4], policies[0])[0], f.simulate(d, scenarios[4], policies[0])[0]
	if a.goodServiceTime != b.goodServiceTime || a.services[0] != b.services[0] {
		t.Errorf("second run: got %+v, want %+v", b, a)
	}
	var out bytes.Buffer
	if err := (&Flood{Deployment: "x", Out: &out}).Run(context.Background()); !errors.Is(err, ErrDeployment) {
		t.Errorf("error: got %v, want %v", err, ErrDeployment)
	}
}
