package render

import (
	"fmt"
	"strings"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/verbenactl/client"
)

// Placement returns the answer where a job would go as text.
func Placement(p client.Placement) string {
	var b strings.Builder
	fmt.Fprintf(&b, "a job of queue %s in pool %s", sanitize(p.Queue), sanitize(p.Pool))
	if p.Workspace != "" {
		owed := "beyond what it is owed"
		if p.Owed {
			owed = "owed"
		}
		fmt.Fprintf(&b, ", workspace %s, %s", sanitize(p.Workspace), owed)
	}
	fmt.Fprintf(&b, "\nas of %s, by %s with configuration %d\n", p.Time.Format(time.RFC3339Nano), sanitize(p.Holder), p.Configuration)
	if r := p.Refusal; r != nil {
		fmt.Fprintf(&b, "the call would be refused: %s; what goes before takes %.1f s, a start is of use for %.1f s; Retry-After %d s\nif it were taken:\n",
			r.Cause, r.WaitSeconds, r.UsefulSeconds, r.RetryAfterSeconds)
	} else {
		b.WriteString("the call would be taken\n")
	}
	fmt.Fprintf(&b, "placed before it: %d jobs, %.1f core-seconds; %.1f of %.1f cores are free\n", p.JobsBefore, p.WorkBefore, p.FreeCores, p.Cores)
	for _, step := range p.Steps {
		writeStep(&b, &step)
	}
	if len(p.Steps) == 0 {
		fmt.Fprintf(&b, "reason: %s\n", p.Reason)
	}
	if !p.EstimatedStart.IsZero() {
		fmt.Fprintf(&b, "estimated start: %s\n", p.EstimatedStart.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(&b, "basis: %s\n", sanitize(p.Basis))
	return b.String()
}

func writeStep(b *strings.Builder, s *dispatch.StepPlacement) {
	fmt.Fprintf(b, "step %d", s.Step)
	if s.Occurrence > 0 {
		fmt.Fprintf(b, " of occurrence %d", s.Occurrence)
	}
	fmt.Fprintf(b, ": %d of %d tasks start now", len(s.Starts), s.Tasks)
	if s.Waiting > 0 {
		fmt.Fprintf(b, ", %d wait: %s", s.Waiting, s.Reason)
		if s.Basis != "" {
			fmt.Fprintf(b, " (%s)", sanitize(s.Basis))
		}
	}
	b.WriteByte('\n')
	for _, t := range s.Starts {
		fmt.Fprintf(b, "  task %d on %s, data centre %s, rack %s, score %.3f\n", t.Task, sanitize(t.Worker), sanitize(t.DataCentre), sanitize(t.Rack), t.Score)
	}
}
