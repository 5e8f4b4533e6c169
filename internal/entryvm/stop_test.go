package entryvm_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
)

// Guards against streams that a stopping VM takes seconds after SIGTERM and cuts when it must
// end: what is sent more than three seconds after SIGTERM, of eight, must end or be rejected.
func TestStoppingVMTakesNoRequestsLate(t *testing.T) {
	const (
		stop        = 8 * time.Second
		staleLookup = 3 * time.Second
		signalDelay = 100 * time.Millisecond
	)
	tests := map[string]struct {
		since, staleLookup, stop time.Duration
		want                     ingress.Stage
	}{
		"at once":                               {0, staleLookup, stop, ingress.Draining},
		"while most look-ups are stale":         {2500 * time.Millisecond, staleLookup, stop, ingress.Draining},
		"three seconds after SIGTERM":           {3*time.Second - signalDelay, staleLookup, stop, ingress.Closing},
		"while the last look-ups are stale":     {3300 * time.Millisecond, staleLookup, stop, ingress.Closing},
		"short look-ups":                        {1200 * time.Millisecond, 900 * time.Millisecond, stop, ingress.Draining},
		"short look-ups have ended":             {1400 * time.Millisecond, 900 * time.Millisecond, stop, ingress.Closing},
		"much time to stop, look-ups decide":    {3300 * time.Millisecond, staleLookup, time.Minute, ingress.Draining},
		"before requests that wait are refused": {4700 * time.Millisecond, staleLookup, stop, ingress.Closing},
		"requests that wait are refused":        {4900 * time.Millisecond, staleLookup, stop, ingress.Ending},
		"short look-ups, late":                  {7 * time.Second, 900 * time.Millisecond, stop, ingress.Ending},
		"much time to stop, all look-ups end":   {3500 * time.Millisecond, staleLookup, time.Minute, ingress.Closing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, entryvm.StopStage(test.since, test.staleLookup, test.stop)); diff != "" {
				t.Errorf("stage (-want +got):\n%s", diff)
			}
		})
	}
}
