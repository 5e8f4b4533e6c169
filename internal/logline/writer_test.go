package logline_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/logline"
)

// TestWriterNeverBlocks checks that lines beyond the capacity are dropped, counted
// and reported in a log line.
func TestWriterNeverBlocks(t *testing.T) {
	var out bytes.Buffer
	w := logline.NewWriter(&out, logline.Options{Capacity: 4})
	for i := range 10 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	if diff := cmp.Diff(int64(6), w.Dropped()); diff != "" {
		t.Errorf("dropped (-want +got):\n%s", diff)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	w.Run(ctx)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{"line 0", "line 1", "line 2", "line 3", `{"level":"warn","dropped":6,"message":"log lines dropped"}`}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// TestLastLinesAreWritten checks that Run writes the queued lines after its context
// has ended.
func TestLastLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := logline.NewWriter(&out, logline.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, _ = fmt.Fprint(w, "last words\n")
	w.Run(ctx)
	if diff := cmp.Diff("last words\n", out.String()); diff != "" {
		t.Errorf("written (-want +got):\n%s", diff)
	}
}
