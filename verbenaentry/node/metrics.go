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

// sampleSize is how many values a histogram keeps; its quantiles have an error of about 4% at that size.
const sampleSize = 514

// observe counts an event with the time that it took.
func observe(r metrics.Registry, name string, took time.Duration) {
	h := r.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) })
	h.(metrics.Histogram).Update(took.Microseconds())
}

// count counts an event.
func count(r metrics.Registry, name string) { metrics.GetOrRegisterCounter(name, r).Inc(1) }

// poolGauges are the gauges of a pool that this node holds.
var poolGauges = []string{"poolWorkers", "poolUsedCores", "poolWaitingCores", "poolMissingMachines"}

// gauge shows the present figures of the pool, in the order of poolGauges.
func (p *pool) setGauges(values ...int64) {
	for i, v := range values {
		metrics.GetOrRegisterGauge(poolGauges[i]+"."+p.name, p.node.Registry).Update(v)
	}
}

// dropGauges removes the figures of a pool that this node holds no more, so that no old ones are read.
func (p *pool) dropGauges() {
	for _, name := range poolGauges {
		p.node.Registry.Unregister(name + "." + p.name)
	}
}

// countsEvery is how often the counts are written to the log.
const countsInterval = 10 * time.Second

// reportCounts writes the counts of calls and requests to the log, for a look back without a scraper.
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

// metrics writes counters and histograms in the text format that Prometheus reads; durations are in seconds.
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
