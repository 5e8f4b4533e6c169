package wait_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// TestFor checks the result of a wait that passes and of one whose context has
// already ended.
func TestFor(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx  context.Context
		d    time.Duration
		want bool
	}{
		"passes":        {context.Background(), time.Millisecond, true},
		"ended already": {ended, time.Hour, false},
	}
	for name, test := range tests {
		if diff := cmp.Diff(test.want, wait.For(test.ctx, test.d)); diff != "" {
			t.Errorf("%s: passed (-want +got):\n%s", name, diff)
		}
	}
}
