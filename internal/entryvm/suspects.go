package entryvm

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
)

// mergeSuspect adds what a peer or the store reports of a request, and logs news.
func (v *VM) mergeSuspect(now time.Time, source string, r ingress.SuspectReport) {
	if !v.crashTracker.Merge(now, r) {
		return
	}
	metrics.GetOrRegisterCounter("suspects.learned", v.metrics).Inc(1)
	e := v.crashTracker.Evidence(now, r.Fingerprint)
	v.log.Info().Str("source", source).Str("fingerprint", r.Fingerprint).Int("broken", e.Broken).Int("crashes", e.Crashes).Msg("suspect request learned")
}
