package render

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/dispatch"
)

// Job returns the explanation of a job as text.
func Job(e dispatch.Explanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s of queue %s in pool %s is %s\n", sanitize(e.Job), sanitize(e.Queue), sanitize(e.Pool), e.State)
	fmt.Fprintf(&b, "reason: %s; %d tasks wait, %d are running", e.Reason, e.Waiting, e.Running)
	if e.Unconfirmed > 0 {
		fmt.Fprintf(&b, ", %d are not confirmed", e.Unconfirmed)
	}
	b.WriteByte('\n')
	if !e.Since.IsZero() {
		fmt.Fprintf(&b, "waiting since %s\n", e.Since.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(&b, "placed before it: %d jobs, %.1f core-seconds; %.1f of %.1f cores are free\n", e.JobsBefore, e.WorkBefore, e.FreeCores, e.Cores)
	if !e.EstimatedStart.IsZero() {
		fmt.Fprintf(&b, "estimated start: %s\n", e.EstimatedStart.Format(time.RFC3339Nano))
	}
	fmt.Fprintf(&b, "basis: %s\n", sanitize(e.Basis))
	return b.String()
}

// Queue returns the explanation of a queue as text.
func Queue(q dispatch.QueueExplanation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "queue %s in pool %s: %d jobs\n", sanitize(q.Queue), sanitize(q.Pool), q.Jobs)
	for _, reason := range slices.Sorted(maps.Keys(q.Reasons)) {
		fmt.Fprintf(&b, "%d wait: %s\n", q.Reasons[reason], reason)
	}
	if q.Longest != nil {
		b.WriteString("longest:\n" + Job(*q.Longest))
	}
	return b.String()
}
