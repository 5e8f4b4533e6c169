package request_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/request"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Guards against LOST: a panic under a request closed its connection without an answer.
func TestPanicsAreAnswered(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"model": "/v1/completions", "service": "/services/filing/x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			registry := metrics.NewRegistry()
			mux := http.NewServeMux()
			// Without a configuration the handler panics.
			request.NewHandler(request.Options{Now: time.Now, Metrics: registry}).Register(mux)
			s := httptest.NewServer(mux)
			t.Cleanup(s.Close)
			resp, err := http.Post(s.URL+path, "application/json", strings.NewReader("{}"))
			if err != nil {
				t.Fatal(err)
			}
			if _ = resp.Body.Close(); resp.StatusCode != http.StatusInternalServerError || resp.Header.Get(verdict.Header) != verdict.NotRun.String() {
				t.Errorf("status %d, verdict %q", resp.StatusCode, resp.Header.Get(verdict.Header))
			}
			if n := metrics.GetOrRegisterCounter("panics.handler", registry).Count(); n != 1 {
				t.Errorf("%d panics counted, want 1", n)
			}
		})
	}
}
