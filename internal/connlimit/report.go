package connlimit

import (
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// reportInterval is the least time between two log lines for the same reason, source
	// and listener.
	reportInterval = 5 * time.Second
	// maxReported limits the log lines in a reportInterval.
	maxReported = 32
)

// Reporter counts and logs what clients were refused or cut off for. Its counters are named
// "clients.LISTENER.REASON".
type Reporter struct {
	metrics metrics.Registry
	log     zerolog.Logger

	mu sync.Mutex
	// recent holds what was reported since periodAt.
	recent   map[reportKey]int
	periodAt time.Time
}

type reportKey struct {
	listener, reason string
	source           netip.Addr
}

// NewReporter returns a Reporter.
func NewReporter(registry metrics.Registry, log zerolog.Logger) *Reporter {
	return &Reporter{metrics: registry, log: log, recent: make(map[reportKey]int)}
}

// Report counts what happened to a client of a listener, and logs it for the first time
// in a while. The line has the number of earlier ones that were not logged.
func (r *Reporter) Report(now time.Time, listener, reason string, source netip.Addr) {
	metrics.GetOrRegisterCounter("clients."+listener+"."+reason, r.metrics).Inc(1)
	key := reportKey{listener, reason, source}
	r.mu.Lock()
	if now.Sub(r.periodAt) >= reportInterval {
		// Only keys with something unlogged are kept for the next line.
		for k, n := range r.recent {
			if n <= 1 {
				delete(r.recent, k)
			} else {
				r.recent[k] = -n + 1
			}
		}
		r.periodAt = now
	}
	n, known := r.recent[key]
	if !known && len(r.recent) >= maxReported {
		r.mu.Unlock()
		return
	}
	unlogged := 0
	if n < 0 {
		unlogged, n = -n, 0
	}
	r.recent[key] = n + 1
	r.mu.Unlock()
	if n == 0 {
		r.log.Warn().Str("listener", listener).Str("reason", reason).Stringer("source", source).Int("unlogged", unlogged).Msg("client refused or cut off")
	}
}

// Count counts what happens to ordinary clients too, without a log line.
func (r *Reporter) Count(listener, reason string) {
	metrics.GetOrRegisterCounter("clients."+listener+"."+reason, r.metrics).Inc(1)
}
