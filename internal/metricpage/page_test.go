package metricpage_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/metricpage"
)

// TestClientReadsPage checks that the Prometheus parser reads the served metrics.
func TestClientReadsPage(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", r).Inc(7)
	metrics.GetOrRegisterCounter("refusals.busy", r).Inc(2)
	metrics.GetOrRegisterCounter("refusals.unknown_key", r).Inc(3)
	metrics.GetOrRegisterGauge("vms", r).Update(9)
	h := metrics.GetOrRegisterHistogram("first_event_us.streaming", r, metrics.NewUniformSample(100))
	for i := range 100 {
		h.Update(int64(i + 1))
	}
	server := httptest.NewServer(metricpage.Handler(r))
	t.Cleanup(server.Close)
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for name, f := range families {
		for _, m := range f.Metric {
			for _, l := range m.Label {
				name += "/" + l.GetValue()
			}
			got[name] = m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetSummary().GetSampleCount())
			name = f.GetName()
		}
	}
	want := map[string]float64{
		"hibiscuscove_requests": 7, "hibiscuscove_refusals/busy": 2, "hibiscuscove_refusals/unknown_key": 3,
		"hibiscuscove_vms": 9, "hibiscuscove_first_event_us/streaming": 100,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
	quantiles := families["hibiscuscove_first_event_us"].Metric[0].GetSummary().Quantile
	if diff := cmp.Diff(3, len(quantiles)); diff != "" {
		t.Fatalf("quantiles (-want +got):\n%s", diff)
	}
	if median := quantiles[0].GetValue(); median < 49 || median > 52 {
		t.Errorf("median %v, want about 50", median)
	}
}
