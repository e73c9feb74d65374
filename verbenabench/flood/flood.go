package flood

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/admission"
)

// ErrDeployment is returned for an unknown deployment.
var ErrDeployment = errors.New("unknown deployment")

// Flood runs all scenarios with the policy and its baselines and prints the results side by side.
type Flood struct {
	// Deployment is cascade or tintaviva.
	Deployment string
	Seed       int64
	JSON       bool
	Out        io.Writer
}

// Row holds the figures of one class with one policy in one scenario. The counts are those of requests that arrived during the overload.
type Row struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Class    string `json:"class"`
	Arrived  int    `json:"arrived"`
	// Goodput is the number of requests per second that completed within their deadline.
	Goodput float64 `json:"goodput"`
	// Kept is the goodput as a share of the policy's goodput in the calm scenario at the same time.
	Kept      float64 `json:"kept"`
	Refused   int     `json:"refused"`
	Expired   int     `json:"expired"`
	Unknown   int     `json:"unknown"`
	Cancelled int     `json:"cancelled"`
	// Retries is the number of retries per request.
	Retries float64 `json:"retries"`
	// StoreCalls is the number of store calls per second of all pools.
	StoreCalls float64 `json:"storeCalls"`
	// AddedBefore and AddedAfter are the mean latency beyond the service time in milliseconds, before the overload and from 5 s after it.
	AddedBefore float64 `json:"addedBefore"`
	AddedAfter  float64 `json:"addedAfter"`
}

// Report is the output of a run.
type Report struct {
	Deployment string   `json:"deployment"`
	Seed       int64    `json:"seed"`
	Rows       []Row    `json:"rows"`
	Targets    []Target `json:"targets"`
}

// Run measures and prints the report. It returns ErrDeployment, the context's error, or an error of the writer.
func (f *Flood) Run(ctx context.Context) error {
	r, err := f.Measure(ctx)
	if err != nil {
		return err
	}
	if f.JSON {
		if err := json.NewEncoder(f.Out).Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	return r.print(f.Out)
}

// Measure runs all scenarios and returns the report.
func (f *Flood) Measure(ctx context.Context) (Report, error) {
	d, ok := deployments[f.Deployment]
	if !ok {
		return Report{}, fmt.Errorf("flood %q: %w", f.Deployment, ErrDeployment)
	}
	r := Report{Deployment: f.Deployment, Seed: f.Seed}
	calm := f.simulate(d, scenarios[0], policies[0])
	for _, s := range scenarios {
		for _, p := range policies {
			if err := ctx.Err(); err != nil {
				return Report{}, fmt.Errorf("flood %s: %w", s.name, err)
			}
			results := f.simulate(d, s, p)
			r.Rows = append(r.Rows, rows(d, s, p, results, calm)...)
			if p == policies[0] {
				r.Targets = append(r.Targets, checkTargets(d, s, results, calm)...)
			}
		}
	}
	return r, nil
}

// simulate simulates the pools of a deployment. Each pool has its own random numbers, which are the same for all policies.
func (f *Flood) simulate(d deployment, s scenario, p policy) []result {
	results := make([]result, len(d.pools))
	for i := range d.pools {
		results[i] = f.newSimulation(d, i, s, p).run()
	}
	return results
}

func (f *Flood) newSimulation(d deployment, i int, s scenario, p policy) *simulation {
	m := &simulation{
		deployment: d, pool: d.pools[i], scenario: s, policy: p, random: rand.New(rand.NewPCG(uint64(f.Seed), uint64(8*i))),
	}
	for k := range m.pool.services {
		m.arrivals = append(m.arrivals, rand.New(rand.NewPCG(uint64(f.Seed), uint64(8*i+1+k))))
	}
	return m
}

// rows sums up the results of the pools by class.
func rows(d deployment, s scenario, p policy, results, calm []result) []Row {
	var out []Row
	for class := admission.Urgent; class <= admission.Deferrable; class++ {
		var before, calmCounts, during, after counts
		calls := 0
		for i, pool := range d.pools {
			calls += results[i].storeCalls
			for k, v := range pool.services {
				if v.class == class {
					before.add(results[i].services[k][baseline])
					calmCounts.add(calm[i].services[k][overloaded])
					during.add(results[i].services[k][overloaded])
					after.add(results[i].services[k][recovered])
				}
			}
		}
		if during.arrived == 0 {
			continue
		}
		out = append(out, Row{
			Scenario: s.name, Policy: p.name, Class: className(class), Arrived: during.arrived,
			Goodput: during.rate(overloadEnd - overloadStart), Kept: during.rate(overloadEnd-overloadStart) / max(calmCounts.rate(overloadEnd-overloadStart), 1e-9),
			Refused: during.refused, Expired: during.expired, Unknown: during.unknown, Cancelled: during.cancelled,
			Retries:    float64(during.retries) / float64(during.arrived),
			StoreCalls: float64(calls) / runEnd.Seconds(), AddedBefore: before.latency(), AddedAfter: after.latency(),
		})
	}
	return out
}

func (c *counts) add(o counts) {
	c.arrived += o.arrived
	c.completed += o.completed
	c.refused += o.refused
	c.expired += o.expired
	c.unknown += o.unknown
	c.cancelled += o.cancelled
	c.retries += o.retries
	c.serviceTime += o.serviceTime
	c.addedLatency += o.addedLatency
}

func (c *counts) rate(d time.Duration) float64 { return float64(c.completed) / d.Seconds() }

// latency returns the mean latency beyond the service time in milliseconds.
func (c *counts) latency() float64 {
	return c.addedLatency.Seconds() * 1000 / float64(max(c.completed, 1))
}

func (r Report) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d\n", r.Deployment, r.Seed)
	fmt.Fprintln(w, "scenario\tpolicy\tclass\tarrived\tgoodput/s\tkept\trefused\texpired\tunknown\tcancelled\tretries\tstore/s\tadded before ms\tafter ms\t")
	for _, o := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%.3f\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t\n", o.Scenario, o.Policy, o.Class, o.Arrived,
			o.Goodput, o.Kept, o.Refused, o.Expired, o.Unknown, o.Cancelled, o.Retries, o.StoreCalls, o.AddedBefore, o.AddedAfter)
	}
	for _, t := range r.Targets {
		verdict := "met"
		if !t.Met {
			verdict = "missed"
		}
		fmt.Fprintf(w, "target: %s: want %s %.2f, got %.3f: %s\n", t.Name, t.boundText(), t.Limit, t.Got, verdict)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
