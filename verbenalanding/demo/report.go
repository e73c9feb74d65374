package demo

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
)

// result holds the counts of one deployment over the whole demonstration.
type result struct {
	completed, notRun, unknown, wrongAnswers, lostConnections int64
	interrupted, ranTwice, falseNotRun, violations            int
	lateJobs                                                  int
}

func (d *deployment) result() result {
	r := result{
		interrupted: d.site.InterruptedByStops(),
		violations:  d.auditor.violations,
		ranTwice:    d.jobs.ranTwice,
		lateJobs:    d.jobs.startedLate,
	}
	for name, counts := range d.traffic.counts {
		for p := range counts {
			c := &counts[p]
			r.completed += c.completed.Load()
			r.notRun += c.notRun.Load()
			r.unknown += c.unknown.Load()
			r.wrongAnswers += c.wrongAnswers.Load()
			r.lostConnections += c.lostConnections.Load()
		}
		if !d.set.Services[name].Repeatable {
			r.ranTwice += d.keysRunTwice(name)
		}
	}
	r.falseNotRun = d.falseNotRun()
	return r
}

// keysRunTwice counts the idempotency keys of a service whose request ran more than once.
func (d *deployment) keysRunTwice(service string) int {
	twice := 0
	for n := int64(1); n <= d.traffic.requestCount.Load(); n++ {
		if d.site.Executions.KeyRuns(service, fmt.Sprintf("%s-%d", service, n)) > 1 {
			twice++
		}
	}
	return twice
}

// falseNotRun counts the idempotency keys whose request was refused as not run although it ran.
func (d *deployment) falseNotRun() int {
	ran := 0
	for key, request := range d.traffic.notRunKeys {
		service, _, _ := strings.Cut(request, "/")
		if d.site.Executions.KeyRuns(service, key) > 0 {
			ran++
		}
	}
	return ran
}

// violated returns the violated invariants with their counts.
func (r result) violated() []string {
	var names []string
	for name, count := range map[string]int64{
		"wrong or partial answers":                 r.wrongAnswers,
		"connections lost":                         r.lostConnections,
		"requests and tasks interrupted by a stop": int64(r.interrupted),
		"run twice":                                int64(r.ranTwice),
		"ran although refused as not run":          int64(r.falseNotRun),
		"budget violations":                        int64(r.violations),
		"urgent jobs started late":                 int64(r.lateJobs),
	} {
		if count > 0 {
			names = append(names, fmt.Sprintf("%s: %d", name, count))
		}
	}
	slices.Sort(names)
	return names
}

// report prints the table of outcomes and returns ErrInvariantViolated if an invariant was violated.
func (d *Demo) report(deployments []*deployment) error {
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\ndeployment\tcompleted\tnot run\tunknown\tinterrupted\trun twice\tbudget violations\t")
	var violated []string
	for _, s := range deployments {
		r := s.result()
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", s.name, r.completed, r.notRun, r.unknown, r.interrupted, r.ranTwice, r.violations)
		for _, b := range r.violated() {
			violated = append(violated, s.name+" "+b)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, s := range deployments {
		fmt.Fprintf(d.Out, "%s, most unavailable at a time:%s\n", s.name, s.auditor.summary())
	}
	if len(violated) > 0 {
		return fmt.Errorf("%w: %s", ErrInvariantViolated, strings.Join(violated, "; "))
	}
	fmt.Fprintln(d.Out, "every invariant that was checked held")
	return nil
}
