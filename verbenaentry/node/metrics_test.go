package node

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/verbenaentry/logs"
)

// Guards against metrics that are missing for some kinds of events, and against gauges of a pool that remain after the node has lost it.
func TestMetricsShowAPoolWhileItIsHeld(t *testing.T) {
	n := &Node{Registry: metrics.NewRegistry()}
	p := &pool{node: n, name: "cutting", budget: logs.Budget{PerSecond: decisionLines}}
	p.setGauges(9, 120, 40, 2)
	count(n.Registry, "moves.accepted")
	p.logEvent(dispatch.Event{Kind: "job completed", Job: "j", Age: 2 * time.Second})
	p.logEvent(dispatch.Event{Kind: "run lost", Job: "j"})
	held := []string{
		`verbena_poolWorkers{kind="cutting"} 9`, `verbena_poolUsedCores{kind="cutting"} 120`, `verbena_poolWaitingCores{kind="cutting"} 40`,
		`verbena_poolMissingMachines{kind="cutting"} 2`,
	}
	always := []string{
		`verbena_moves_total{kind="accepted"} 1`, `verbena_jobs_seconds{kind="completed",quantile="0.5"} 2`, `verbena_events_total{kind="run-lost"} 1`,
	}
	wantMetrics(t, n, append(held, always...), nil)
	p.dropGauges()
	wantMetrics(t, n, always, held)
}

// Guards against late starts whose cause is in no metric.
func TestMetricsShowFirstStartsByCause(t *testing.T) {
	n := &Node{Registry: metrics.NewRegistry()}
	p := &pool{node: n, name: "cutting", budget: logs.Budget{PerSecond: decisionLines}}
	p.observeFirstStart(dispatch.FirstStart{Job: "j", Wait: 3 * time.Second, Causes: map[dispatch.WaitCause]time.Duration{
		dispatch.CauseNoHolder: 2 * time.Second, dispatch.CauseNoRoom: time.Second,
	}})
	p.observeFirstStart(dispatch.FirstStart{Job: "k", Wait: time.Second, Causes: map[dispatch.WaitCause]time.Duration{dispatch.CauseNoRoom: time.Second}})
	wantMetrics(t, n, []string{
		`verbena_firstStarts_seconds_count{kind="all"} 2`, `verbena_firstStarts_seconds{kind="noHolder",quantile="0.99"} 2`,
		`verbena_firstStarts_seconds_count{kind="noRoom"} 2`, `verbena_firstStarts_seconds{kind="noRoom",quantile="0.5"} 1`,
	}, []string{`kind="orders"`})
}

func wantMetrics(t *testing.T, n *Node, present, absent []string) {
	t.Helper()
	w := httptest.NewRecorder()
	n.metrics(w, nil)
	got := w.Body.String()
	for _, line := range present {
		if !strings.Contains(got, line+"\n") {
			t.Errorf("metrics: got\n%s\nwant the line %s", got, line)
		}
	}
	for _, line := range absent {
		if strings.Contains(got, line) {
			t.Errorf("metrics: got the line %s, want it absent", line)
		}
	}
}
