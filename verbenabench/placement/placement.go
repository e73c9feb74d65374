package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// urgentStartTarget is the target of section 1.7 of the design for the p99 of the time until an urgent job starts.
const urgentStartTarget = 8700 * time.Millisecond

// stepTarget is the target of section 1.7 of the design for one planning step at 4,300 workers.
const stepTarget = 50 * time.Millisecond

// Benchmark compares the policy with first fit. Set the exported fields before Run.
type Benchmark struct {
	// Deployment is cascade, tintaviva or large.
	Deployment string
	Seed       int64
	JSON       bool
	// Out receives the report. The default is standard output.
	Out io.Writer
	// Seeds is the number of consecutive seeds, starting with Seed, over which the policy's results are summed up. With 0 or 1 the report
	// has no such sums.
	Seeds int
	// Length is the simulated time of a scenario. The default is 6 min, or 3 min for large.
	Length time.Duration
}

// result holds the figures of one scenario with one placement, which is the policy or the baseline.
type result struct {
	Scenario        string        `json:"scenario"`
	Placement       string        `json:"placement"`
	Jobs            int           `json:"jobs"`
	UrgentP50       time.Duration `json:"urgentP50"`
	UrgentP99       time.Duration `json:"urgentP99"`
	UrgentMax       time.Duration `json:"urgentMax"`
	DeadlinesDue    int           `json:"deadlinesDue"`
	DeadlinesKept   float64       `json:"deadlinesKept"`
	Utilization     float64       `json:"utilization"`
	Finished        int           `json:"finished"`
	BadWorkerLosses int           `json:"lossesToBadWorkers"`
	BadWorkers      int           `json:"badWorkers"`
	Failures        int           `json:"failedAttempts"`
	Lost            int           `json:"jobsLost"`
	Refused         int           `json:"refused"`
	LongestWait     time.Duration `json:"longestDeferrableWait"`
	GoodQuarantined int           `json:"goodWorkersQuarantined"`
	LongestTick     time.Duration `json:"longestTick"`
}

// target is a target with the measured value.
type target struct {
	Name     string `json:"name"`
	Scenario string `json:"scenario"`
	Want     string `json:"want"`
	Got      string `json:"got"`
	Met      bool   `json:"met"`
}

// output is the JSON form of a run.
type output struct {
	Deployment string        `json:"deployment"`
	Seed       int64         `json:"seed"`
	Results    []result      `json:"results"`
	Steps      []stepResult  `json:"steps"`
	Sweep      []sweepResult `json:"sweep,omitempty"`
	Targets    []target      `json:"targets"`
}

// Run runs every scenario with both placements, measures planning steps and writes the report.
func (b *Benchmark) Run(ctx context.Context) error {
	out := b.Out
	if out == nil {
		out = os.Stdout
	}
	o := output{Deployment: b.Deployment, Seed: b.Seed}
	for i, sc := range scenarios {
		for _, name := range []string{"firstFit", "policy"} {
			if err := ctx.Err(); err != nil {
				return err
			}
			r, err := b.runScenario(sc, i, name)
			if err != nil {
				return err
			}
			o.Results = append(o.Results, r)
		}
	}
	for _, n := range stepSizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		o.Steps = append(o.Steps, timeSteps(n, uint64(b.Seed)))
	}
	if b.Seeds > 1 {
		list, err := b.sweep(ctx)
		if err != nil {
			return err
		}
		o.Sweep = list
	}
	o.Targets = checkTargets(o)
	if b.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(o)
	}
	return o.writeText(out)
}

// runScenario runs a scenario with one placement. Both placements get the same fleet and arrivals.
func (b *Benchmark) runScenario(sc scenario, index int, name string) (result, error) {
	r := rand.New(rand.NewPCG(uint64(b.Seed), uint64(index)))
	f, err := newFleet(b.Deployment, r)
	if err != nil {
		return result{}, err
	}
	if sc.wrongSizes {
		f.misdeclare(r)
	}
	length := b.Length
	if length == 0 {
		length = 6 * time.Minute
		if b.Deployment == "large" {
			length = 3 * time.Minute
		}
	}
	begin := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	jobs := sc.arrivals(f, r, begin, length)
	for range sc.impossibleJobs {
		j := f.drawJob(r, f.kindsOf(declaration.Standard), begin.Add(time.Second))
		j.Declared.MilliCores, j.Kind = f.total.MilliCores, "impossible"
		jobs = append(jobs, j)
	}
	slices.SortStableFunc(jobs, func(a, b *jobModel) int { return a.Submitted.Compare(b.Submitted) })
	for i, j := range jobs {
		j.ID = fmt.Sprintf("j%07d", i)
	}
	var d driver = newFirstFit(f)
	var ownPolicy *policyDriver
	if name == "policy" {
		ownPolicy = newPolicyDriver(f, begin)
		d = ownPolicy
	}
	s := newSimulation(f, d, begin, sc.badShare, r)
	s.run(sc, jobs, length)
	return s.summary(sc, name, jobs, ownPolicy), nil
}

// summary returns the figures of the run. The wait of a job that has not started counts until the end of the run.
func (s *simulation) summary(sc scenario, name string, jobs []*jobModel, d *policyDriver) result {
	r := result{Scenario: sc.name, Placement: name, Jobs: len(jobs), Utilization: s.usefulWork / s.offeredWork, LongestTick: s.longestTick}
	var waits []time.Duration
	keptDeadlines := 0
	for _, j := range jobs {
		wait := s.now.Sub(j.Submitted)
		if !j.started.IsZero() {
			wait = j.started.Sub(j.Submitted)
		}
		r.BadWorkerLosses += j.badWorkerFailures
		r.Failures += j.failures
		r.count(j)
		switch {
		case j.refused || j.cancelled:
		case j.Class == declaration.Urgent:
			waits = append(waits, wait)
		case j.Class == declaration.Deferrable:
			r.LongestWait = max(r.LongestWait, wait)
		case !j.Deadline.IsZero() && !j.Deadline.After(s.now):
			r.DeadlinesDue++
			if !j.ended.IsZero() && !j.ended.After(j.Deadline) {
				keptDeadlines++
			}
		}
	}
	if r.DeadlinesDue > 0 {
		r.DeadlinesKept = float64(keptDeadlines) / float64(r.DeadlinesDue)
	}
	slices.Sort(waits)
	if n := len(waits); n > 0 {
		r.UrgentP50, r.UrgentP99, r.UrgentMax = waits[n/2], waits[n*99/100], waits[n-1]
	}
	for _, w := range s.orderedWorkers {
		if w.bad {
			r.BadWorkers++
		}
		if d != nil && d.quarantined[w.ID] && !w.bad {
			r.GoodQuarantined++
		}
	}
	return r
}

// deadlinesText returns the share of the deadlines within the run that were kept.
func (r result) deadlinesText() string {
	if r.DeadlinesDue == 0 {
		return "none due"
	}
	return fmt.Sprintf("%.1f%%", 100*r.DeadlinesKept)
}

func (r *result) count(j *jobModel) {
	if !j.ended.IsZero() {
		r.Finished++
	}
	if j.lost {
		r.Lost++
	}
	if j.refused {
		r.Refused++
	}
}

func checkTargets(o output) []target {
	var targets []target
	for _, r := range o.Results {
		if r.Placement == "policy" {
			targets = append(targets, target{
				Name: "p99 of urgent starts", Scenario: r.Scenario, Want: "at most " + urgentStartTarget.String(), Got: r.UrgentP99.String(),
				Met: r.UrgentP99 <= urgentStartTarget,
			})
		}
	}
	last := o.Steps[len(o.Steps)-1]
	got, bound := slope(o.Steps)
	return append(targets,
		target{
			Name: "planning step", Scenario: fmt.Sprintf("%d workers", last.Workers), Want: "under " + stepTarget.String(),
			Got: last.Worst.Round(10*time.Microsecond).String() + " at worst", Met: last.Worst < stepTarget,
		},
		target{
			Name: "growth of a planning step", Scenario: "500 to 4300 workers", Want: fmt.Sprintf("exponent at most %.2f (n log n)", bound),
			Got: fmt.Sprintf("%.2f", got), Met: got <= bound,
		})
}

func (o output) writeText(out io.Writer) error {
	fmt.Fprintf(out, "placement benchmark: deployment %s, seed %d\n\n", o.Deployment, o.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tplacement\tjobs\turgent p50\turgent p99\turgent max\tdeadlines\tutilization\tfinished\tbad losses\tfailed\tlost\trefused\tlongest wait\tgood quarantined\tlongest tick")
	for _, r := range o.Results {
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%v\t%v\t%s\t%.1f%%\t%d\t%d (%d)\t%d\t%d\t%d\t%v\t%d\t%v\n",
			r.Scenario, r.Placement, r.Jobs, round(r.UrgentP50), round(r.UrgentP99), round(r.UrgentMax), r.deadlinesText(), 100*r.Utilization, r.Finished,
			r.BadWorkerLosses, r.BadWorkers, r.Failures, r.Lost, r.Refused, r.LongestWait.Round(time.Second), r.GoodQuarantined, r.LongestTick.Round(10*time.Microsecond))
	}
	fmt.Fprintln(w, "\nworkers\tmedian step\tworst step\tlongest step that fills the fleet")
	for _, s := range o.Steps {
		fmt.Fprintf(w, "%d\t%v\t%v\t%v\n", s.Workers, s.Median.Round(time.Microsecond), s.Worst.Round(time.Microsecond), s.Fill.Round(time.Microsecond))
	}
	fmt.Fprintln(w, "\ntarget\tscenario\twant\tgot\tresult")
	for _, t := range o.Targets {
		verdict := "missed"
		if t.Met {
			verdict = "met"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, t.Scenario, t.Want, t.Got, verdict)
	}
	if err := w.Flush(); err != nil || len(o.Sweep) == 0 {
		return err
	}
	return writeSweep(out, o.Sweep)
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
