// Package metricpage writes a registry of counters, gauges and histograms in the
// Prometheus text format.
//
// The part of a name before the first dot is the metric and the rest is the label
// "kind": "refusals.busy" becomes hibiscuscove_refusals{kind="busy"}. Histograms
// become summaries with the quantiles 0.5, 0.9 and 0.99.
//
// # Usage
//
//	mux.Handle("GET /metrics", metricpage.Handler(registry))
package metricpage

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/rcrowley/go-metrics"
)

const namePrefix = "hibiscuscove_"

// Handler returns a handler that serves the metrics in registry.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", string(expfmt.NewFormat(expfmt.TypeTextPlain)))
		_ = Write(w, registry) // an error usually means that the client has disconnected
	})
}

// Write writes the metrics in registry to w, ordered by name.
func Write(w io.Writer, registry metrics.Registry) error {
	families := make(map[string]*dto.MetricFamily)
	registry.Each(func(name string, value any) {
		name, kind, _ := strings.Cut(name, ".")
		name = namePrefix + strings.ReplaceAll(name, "-", "_")
		metric, metricType := convert(value)
		if metric == nil {
			return
		}
		if kind != "" {
			metric.Label = []*dto.LabelPair{{Name: new("kind"), Value: &kind}}
		}
		f := families[name]
		if f == nil {
			f = &dto.MetricFamily{Name: &name, Type: &metricType}
			families[name] = f
		}
		f.Metric = append(f.Metric, metric)
	})
	for _, name := range slices.Sorted(maps.Keys(families)) {
		f := families[name]
		slices.SortFunc(f.Metric, func(a, b *dto.Metric) int { return strings.Compare(kindLabel(a), kindLabel(b)) })
		if _, err := expfmt.MetricFamilyToText(w, f); err != nil {
			return fmt.Errorf("metricpage: %w", err)
		}
	}
	return nil
}

func kindLabel(m *dto.Metric) string {
	if len(m.Label) == 0 {
		return ""
	}
	return m.Label[0].GetValue()
}

// convert returns the metric for value, or nil if its type is not supported.
func convert(value any) (*dto.Metric, dto.MetricType) {
	switch value := value.(type) {
	case metrics.Counter:
		return &dto.Metric{Counter: &dto.Counter{Value: new(float64(value.Count()))}}, dto.MetricType_COUNTER
	case metrics.Gauge:
		return &dto.Metric{Gauge: &dto.Gauge{Value: new(float64(value.Value()))}}, dto.MetricType_GAUGE
	case metrics.Histogram:
		snapshot := value.Snapshot()
		summary := &dto.Summary{SampleCount: new(uint64(snapshot.Count())), SampleSum: new(float64(snapshot.Sum()))}
		for _, q := range []float64{0.5, 0.9, 0.99} {
			summary.Quantile = append(summary.Quantile, &dto.Quantile{Quantile: &q, Value: new(snapshot.Percentile(q))})
		}
		return &dto.Metric{Summary: summary}, dto.MetricType_SUMMARY
	default:
		return nil, 0
	}
}
