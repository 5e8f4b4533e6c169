package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/server"
)

// TestServer checks which requests reach the handler and which connections close.
func TestServer(t *testing.T) {
	leaving := false
	s, err := server.Listen("127.0.0.1:0", server.Options{
		Now:     time.Now,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
		Leaving: func() bool { return leaving },
		Name:    "callers", Times: connlimit.Times{Head: time.Second, Idle: time.Second},
		Connections: connlimit.NewTable(connlimit.TableOptions{Max: 10, MaxPerSource: 10}),
		Report:      connlimit.NewReporter(metrics.NewRegistry(), zerolog.Nop()),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Shutdown(context.Background()) }()
	type outcome struct {
		Status     int
		Connection string
	}
	tests := map[string]struct {
		target  string
		leaving bool
		want    outcome
	}{
		"clean":         {"/a/b/", false, outcome{http.StatusNoContent, ""}},
		"leaving":       {"/a", true, outcome{http.StatusNoContent, "close"}},
		"empty element": {"/a//b", false, outcome{http.StatusBadRequest, ""}},
		"dots":          {"/a/../b", false, outcome{http.StatusBadRequest, ""}},
	}
	for name, test := range tests {
		leaving = test.leaving
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, test.target, nil))
		if diff := cmp.Diff(test.want, outcome{w.Code, w.Header().Get("Connection")}); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
