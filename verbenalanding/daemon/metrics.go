package daemon

import (
	"net/http"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

// metricsHandler serves the registry in the Prometheus text format.
func metricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		w.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(w, format)
		registry.Each(func(name string, metric any) {
			if family := metricFamily("verbena_"+sanitize(name), metric); family != nil {
				_ = encoder.Encode(family)
			}
		})
	})
}

func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
}

func metricFamily(name string, metric any) *dto.MetricFamily {
	switch m := metric.(type) {
	case metrics.Counter:
		return counter(name, float64(m.Count()))
	case metrics.Meter:
		return counter(name+"_total", float64(m.Count()))
	case metrics.Gauge:
		return gauge(name, float64(m.Value()))
	case metrics.GaugeFloat64:
		return gauge(name, m.Value())
	case metrics.Timer:
		return summary(name, m.Count(), float64(m.Sum()), m.Percentiles)
	case metrics.Histogram:
		return summary(name, m.Count(), float64(m.Sum()), m.Percentiles)
	default:
		return nil
	}
}

func counter(name string, value float64) *dto.MetricFamily {
	kind := dto.MetricType_COUNTER
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{{Counter: &dto.Counter{Value: &value}}}}
}

func gauge(name string, value float64) *dto.MetricFamily {
	kind := dto.MetricType_GAUGE
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{{Gauge: &dto.Gauge{Value: &value}}}}
}

func summary(name string, count int64, sum float64, percentiles func([]float64) []float64) *dto.MetricFamily {
	kind := dto.MetricType_SUMMARY
	total := uint64(count)
	s := &dto.Summary{SampleCount: &total, SampleSum: &sum}
	ranks := []float64{0.5, 0.9, 0.99}
	values := percentiles(ranks)
	for i := range ranks {
		s.Quantile = append(s.Quantile, &dto.Quantile{Quantile: &ranks[i], Value: &values[i]})
	}
	return &dto.MetricFamily{Name: &name, Type: &kind, Metric: []*dto.Metric{{Summary: s}}}
}
