package flood

import (
	"time"

	"verbenalanding.example/fleet/admission"
)

// Target is a target of section 1.7 of the design with the measured value.
type Target struct {
	Name string `json:"name"`
	// Limit is the lower bound of the value if AtLeast is true, or the upper bound otherwise.
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"atLeast"`
	Got     float64 `json:"got"`
	Met     bool    `json:"met"`
}

func newTarget(name string, got float64, atLeast bool, limit float64) Target {
	t := Target{Name: name, Limit: limit, AtLeast: atLeast, Got: got}
	return t.evaluated()
}

// evaluated returns the target with Met set.
func (t Target) evaluated() Target {
	t.Met = t.Got <= t.Limit
	if t.AtLeast {
		t.Met = t.Got >= t.Limit
	}
	return t
}

// boundText returns the kind of bound in words.
func (t Target) boundText() string {
	if t.AtLeast {
		return "at least"
	}
	return "at most"
}

// checkTargets returns the targets that apply to a scenario, with the results of the policy.
func checkTargets(d deployment, s scenario, results, calm []result) []Target {
	var out []Target
	for i, p := range d.pools {
		r, name := results[i], s.name+": "+p.name
		if s.overloadLeast && !s.overloadMost && len(p.services) > 1 && p.services[0].class == admission.Urgent {
			keptShare := float64(r.services[0][overloaded].completed) / float64(calm[i].services[0][overloaded].completed)
			out = append(out, newTarget(s.name+": "+p.services[0].name+" goodput kept", keptShare, true, 0.99))
		}
		if s.overloadMost && !s.rackLost && !s.storeDown && !s.massCancellation {
			used := r.goodServiceTime.Seconds() / (float64(p.instances*slotsPerInstance) * (overloadEnd - overloadStart).Seconds())
			out = append(out, newTarget(name+" goodput of capacity", used, true, 0.95))
		}
		if s.overloadMost {
			out = append(out, checkShares(p, s, r)...)
		}
		out = append(out, newTarget(name+" retries per request", retriesPerRequest(r), false, 0.1))
		if s.overloadLeast || s.overloadMost {
			out = append(out, checkRecovery(p, s, r, calm[i])...)
		}
	}
	return out
}

// checkShares returns for each service that does not overload the pool how much of its guaranteed share it got, or of its demand if that is
// smaller. While a rack is lost, the guaranteed share is that of the remaining slots.
func checkShares(p pool, s scenario, r result) []Target {
	total, lost := float64(p.instances*slotsPerInstance), 0.0
	if s.rackLost {
		lost = instancesPerRack * slotsPerInstance
	}
	before, after := rackLossDelay.Seconds(), (overloadEnd - overloadStart - rackLossDelay).Seconds()
	var out []Target
	for k := 1; k < len(p.services); k++ {
		v, c := p.services[k], r.services[k][overloaded]
		// Compare numbers of requests, since the mean service time of a few long requests varies.
		rate := float64(c.arrived) / (overloadEnd - overloadStart).Seconds()
		share := float64(v.guaranteedShare) / 100 / v.meanTime.Seconds()
		wanted := before*min(rate, share*total) + after*min(rate, share*(total-lost))
		out = append(out, newTarget(s.name+": "+v.name+" of its guaranteed share", float64(c.completed)/wanted, true, 0.95))
	}
	return out
}

// retriesPerRequest returns the number of retries per request that arrived during the overload or the 5 s after it.
func retriesPerRequest(r result) float64 {
	var all counts
	for _, t := range r.services {
		all.add(t[overloaded])
		all.add(t[settling])
	}
	return float64(all.retries) / float64(max(all.arrived, 1))
}

// checkRecovery compares the latency from 5 s after the overload with that in the calm scenario at the same time. It compares the latency
// beyond the service time as a share of the mean service time, with a tolerance of 0.05, since the mean of a few long requests varies.
func checkRecovery(p pool, s scenario, r, calm result) []Target {
	var out []Target
	for k, v := range p.services {
		before, after := calm.services[k][recovered], r.services[k][recovered]
		rise := (after.latency() - before.latency()) / (float64(v.meanTime) / float64(time.Millisecond))
		out = append(out, newTarget(s.name+": "+v.name+" rise of latency 5 s after the overload", rise, false, 0.05))
	}
	return out
}
