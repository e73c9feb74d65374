package node

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/interval"
)

// sampleSize is the number of values that a histogram keeps; the error of its quantiles is then about 4%.
const sampleSize = 514

// observe records the duration of an event in a histogram.
func observe(r metrics.Registry, name string, took time.Duration) {
	h := r.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) })
	h.(metrics.Histogram).Update(took.Microseconds())
}

// count increments a counter.
func count(r metrics.Registry, name string) { metrics.GetOrRegisterCounter(name, r).Inc(1) }

// poolGauges are the names of the gauges of a held pool.
var poolGauges = []string{"poolWorkers", "poolUsedCores", "poolWaitingCores", "poolMissingMachines", "poolReservedWorkers"}

// setGauges sets the gauges of the pool, in the order of poolGauges.
func (p *pool) setGauges(values ...int64) {
	for i, v := range values {
		metrics.GetOrRegisterGauge(poolGauges[i]+"."+p.name, p.node.Registry).Update(v)
	}
}

// dropGauges unregisters the gauges of a pool that this node no longer holds, so that no stale values are scraped.
func (p *pool) dropGauges() {
	for _, name := range poolGauges {
		p.node.Registry.Unregister(name + "." + p.name)
	}
}

// countsInterval is how often the counts of events and calls are logged.
const countsInterval = 10 * time.Second

// reportCounts logs the counts of calls and requests, for later analysis without a metrics scraper.
func (n *Node) reportCounts(ctx context.Context) error {
	for range interval.Each(ctx, countsInterval) {
		line := n.Log.Info()
		n.Registry.Each(func(name string, m any) {
			switch m := m.(type) {
			case metrics.Histogram:
				line = line.Int64(name, m.Count())
			case metrics.Counter:
				line = line.Int64(name, m.Count())
			}
		})
		line.Msg("counts")
	}
	return nil
}

// metrics serves gauges, counters and histograms in the Prometheus text format; durations are in seconds.
func (n *Node) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var names []string
	all := map[string]any{}
	n.Registry.Each(func(name string, m any) {
		names = append(names, name)
		all[name] = m
	})
	slices.Sort(names)
	for _, name := range names {
		family, label, _ := strings.Cut(name, ".")
		switch m := all[name].(type) {
		case metrics.Histogram:
			s := m.Snapshot()
			quantiles := s.Percentiles([]float64{0.5, 0.99})
			fmt.Fprintf(w, "verbena_%s_seconds{kind=%q,quantile=\"0.5\"} %g\n", family, label, quantiles[0]/1e6)
			fmt.Fprintf(w, "verbena_%s_seconds{kind=%q,quantile=\"0.99\"} %g\n", family, label, quantiles[1]/1e6)
			fmt.Fprintf(w, "verbena_%s_seconds_count{kind=%q} %d\n", family, label, s.Count())
		case metrics.Counter:
			fmt.Fprintf(w, "verbena_%s_total{kind=%q} %d\n", family, label, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "verbena_%s{kind=%q} %d\n", family, label, m.Value())
		}
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(w, "verbena_memory_bytes %d\nverbena_goroutines %d\n", memory.Sys, runtime.NumGoroutine())
}
