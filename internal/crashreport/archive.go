package crashreport

import (
	"context"
	"maps"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// archiveInterval is the interval between two looks for requests to archive.
const archiveInterval = 500 * time.Millisecond

// Load attributes the archived crashes to their requests. Peers that run know them as
// well, but there may be none. It returns an error if the archive can't be read.
func (r *Reporter) Load(ctx context.Context) error {
	archived, _, err := quarantine.NewArchive(r.opts.Store).Load(ctx)
	if err != nil {
		return err
	}
	for fingerprint, crashes := range archived {
		for _, c := range crashes {
			r.opts.Tracker.AttributeCrash(r.opts.Now(), fingerprint, c)
		}
	}
	return nil
}

// Run loads the archived crashes, unless Load has succeeded, and then archives the
// requests that are quarantined after a crash at this node, until ctx ends.
func (r *Reporter) Run(ctx context.Context, loaded bool) {
	archived := make(map[string]bool)
	for wait.For(ctx, archiveInterval) {
		if !loaded {
			loaded = r.Load(ctx) == nil
		}
		now := r.opts.Now()
		add := r.quarantinedHere(now)
		maps.DeleteFunc(add, func(fingerprint string, _ []quarantine.Crash) bool { return archived[fingerprint] })
		if len(add) == 0 {
			continue
		}
		if err := quarantine.NewArchive(r.opts.Store).Add(ctx, now, retention, add); err != nil {
			r.opts.Log.Warn().Err(err).Int("requests", len(add)).Msg("quarantined requests not archived")
			continue
		}
		for fingerprint := range add {
			archived[fingerprint] = true
			r.opts.Log.Info().Str("fingerprint", fingerprint).Msg("quarantined request archived")
		}
	}
}

// quarantinedHere returns the crashes of the quarantined requests to which this node
// has attributed one. It forgets own crashes that no longer count.
func (r *Reporter) quarantinedHere(now time.Time) map[string][]quarantine.Crash {
	r.mu.Lock()
	own := maps.Clone(r.own)
	r.mu.Unlock()
	found := make(map[string][]quarantine.Crash)
	for _, e := range r.opts.Tracker.Entries(now) {
		if own[e.Fingerprint] && e.Quarantined {
			found[e.Fingerprint] = e.Crashes
		}
		delete(own, e.Fingerprint)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for fingerprint := range own {
		delete(r.own, fingerprint)
	}
	return found
}
