package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/wave"
	"verbenalanding.example/verbenabench/target"
)

// Targets from section 1.7 of the design.
const (
	boundTarget = 1.1
)

// Benchmark runs the wave scenarios of one deployment: cascade, tintaviva or large.
type Benchmark struct {
	Deployment string
	Seed       int64
	JSON       bool
	Out        io.Writer
}

// result holds the outcomes of the policy and the baseline in one scenario.
type result struct {
	Scenario string        `json:"scenario"`
	Bound    time.Duration `json:"bound"`
	Policy   outcome       `json:"policy"`
	Serial   outcome       `json:"oneAtATime"`
}

type report struct {
	Deployment string   `json:"deployment"`
	Seed       int64    `json:"seed"`
	Results    []result `json:"results"`
	target.Measurement
	Verdicts target.Verdicts `json:"verdicts"`
}

func scenarios() []scenario {
	return []scenario{
		{name: "no faults"},
		{name: "no faults, equal reboot times", equalRebootTimes: true},
		{name: "no faults, later round", rebootTimesKnown: true},
		{name: "bad firmware", rebootsFailFrom: 6 * time.Minute, rebootsFailUntil: 26 * time.Minute},
		{name: "rack lost", rackLostAt: 12 * time.Minute},
		{name: "store down 10 min", storeDownAt: 10 * time.Minute},
		{name: "reboots 10 times slower", rebootFactor: 10},
		{name: "night window", from: 22 * time.Hour, until: 5 * time.Hour},
		{name: "night window, reboots 10 times slower", from: 22 * time.Hour, until: 5 * time.Hour, rebootFactor: 10},
	}
}

// Run simulates every scenario and prints the results. It stops early when the context ends.
func (b *Benchmark) Run(ctx context.Context) error {
	pools, dataCentres, err := poolSizes(b.Deployment)
	if err != nil {
		return err
	}
	set := newConfiguration(pools, dataCentres)
	members := placeMembers(pools, dataCentres, rand.New(rand.NewPCG(uint64(b.Seed), 2)))
	r := report{Deployment: b.Deployment, Seed: b.Seed}
	for _, sc := range scenarios() {
		if b.Deployment == "large" && sc.rebootFactor > 0 {
			// Reboots of 40 minutes over 4,300 workers add hours of simulated time and exercise the same rules.
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		policy := newSimulation(set, members, sc, b.Seed)
		serial := newSimulation(set, members, sc, b.Seed)
		serial.serial = true
		r.Results = append(r.Results, result{Scenario: sc.name, Bound: lowerBound(policy), Policy: policy.run(), Serial: serial.run()})
	}
	if r.Measurement, err = target.Measure([]int{8, 50, 500, 4300}, newPlanningStep); err != nil {
		return err
	}
	r.addVerdicts()
	return b.print(r)
}

// lowerBound returns the shortest duration that the budgets allow if stops consist of the reboots alone, without drain and check.
func lowerBound(s *simulation) time.Duration {
	var bound time.Duration
	for _, b := range s.set.Budgets {
		var sum, shortest time.Duration
		racks := map[budget.Domain]int{}
		n := 0
		for k, m := range s.members {
			if !budget.Covers(b.Scope, nil, m.Member) {
				continue
			}
			t := s.rebootTimeOf(k)
			if n == 0 || t < shortest {
				shortest = t
			}
			n++
			sum += t
			racks[budget.RackOf(m.Member)]++
		}
		bound = max(bound, sum/time.Duration(b.MaxUnavailable), minDurationInBatches(n, b, racks, shortest))
	}
	return bound
}

// minDurationInBatches returns the duration of n reboots in as few batches as a budget allows, if each reboot is as fast as the shortest.
func minDurationInBatches(n int, b declaration.Budget, racks map[budget.Domain]int, shortest time.Duration) time.Duration {
	batches := (n + b.MaxUnavailable - 1) / b.MaxUnavailable
	if b.MaxRacks > 0 {
		total := 0
		for _, k := range racks {
			total += (k + b.MaxUnavailable - 1) / b.MaxUnavailable
		}
		batches = max(batches, (total+b.MaxRacks-1)/b.MaxRacks)
	}
	return time.Duration(batches) * shortest
}

// newPlanningStep returns a planning step halfway through a wave over the given number of workers.
func newPlanningStep(workers int) func(int) {
	pools := distribute(max(1, workers*197/4300), workers)
	set := newConfiguration(pools, min(11, max(1, workers/4)))
	s := newSimulation(set, placeMembers(pools, min(11, max(1, workers/4)), rand.New(rand.NewPCG(1, 2))), scenario{}, 1)
	s.record = record.Wave{Name: waveName, State: wave.Running, Round: 1, Started: s.start, Resumed: s.start}
	for k := range s.members {
		if k%2 == 0 {
			s.members[k].Maintained = s.start.Add(time.Hour)
		}
	}
	s.now = s.start.Add(2 * time.Hour)
	return func(int) { s.planner.Plan(s.planInput()) }
}

func (r *report) addVerdicts() {
	violations, cut := 0, 0
	for _, row := range r.Results {
		violations += row.Policy.Violations
		cut += row.Policy.RequestsCut
	}
	for _, row := range r.Results[:3] {
		ratio := float64(row.Policy.Duration) / float64(row.Bound)
		r.Verdicts.Add("roll-out within 1.1 of the lower bound, "+row.Scenario, ratio <= boundTarget, fmt.Sprintf("%.3f", ratio))
	}
	r.Verdicts.Add("0 budget violations in every scenario", violations == 0, fmt.Sprint(violations))
	r.Verdicts.Add("0 requests cut in every scenario", cut == 0, fmt.Sprint(cut))
	r.Verdicts.AddSteps(r.Measurement)
}

func (b *Benchmark) print(r report) error {
	if b.JSON {
		return json.NewEncoder(b.Out).Encode(r)
	}
	w := tabwriter.NewWriter(b.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "rollout %s, seed %d\n", r.Deployment, r.Seed)
	fmt.Fprintln(w, "scenario\tpolicy\tduration\tof bound\tfinished\tviolations\tcut\tnot returned\thalts\tlate predicted\toverdue")
	for _, result := range r.Results {
		for _, row := range []struct {
			name string
			o    outcome
		}{{"wave", result.Policy}, {"one at a time", result.Serial}} {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%t\t%d\t%d\t%d\t%d %s\t%s\t%s\n", result.Scenario, row.name, row.o.Duration, float64(row.o.Duration)/float64(result.Bound),
				row.o.Finished, row.o.Violations, row.o.RequestsCut, row.o.NotReturned, row.o.Halts, row.o.HaltReason, row.o.LatePredicted, row.o.Overdue)
		}
	}
	target.Print(w, r.Steps, r.Verdicts)
	return w.Flush()
}
