package node

import (
	"context"
	"maps"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// archiveInterval is the interval between two looks for requests to archive.
const archiveInterval = 500 * time.Millisecond

// loadQuarantine attributes the archived crashes to their requests. Peers that run
// know them as well, but there may be none.
func (n *Node) loadQuarantine(ctx context.Context) error {
	archived, _, err := quarantine.NewArchive(n.opts.Store).Load(ctx)
	if err != nil {
		return err
	}
	for fingerprint, crashes := range archived {
		for _, c := range crashes {
			n.quarantine.AttributeCrash(n.opts.Now(), fingerprint, c)
		}
	}
	return nil
}

// archiveQuarantine loads the archived crashes, unless that succeeded when the node
// joined, and then archives the requests that are quarantined after a crash at this
// node.
func (n *Node) archiveQuarantine(ctx context.Context, loaded bool) {
	archived := make(map[string]bool)
	for wait.For(ctx, archiveInterval) {
		if !loaded {
			loaded = n.loadQuarantine(ctx) == nil
		}
		now := n.opts.Now()
		add := n.quarantinedHere(now)
		maps.DeleteFunc(add, func(fingerprint string, _ []quarantine.Crash) bool { return archived[fingerprint] })
		if len(add) == 0 {
			continue
		}
		if err := quarantine.NewArchive(n.opts.Store).Add(ctx, now, quarantineFactTTL, add); err != nil {
			n.log.Warn().Err(err).Int("requests", len(add)).Msg("quarantined requests not archived")
			continue
		}
		for fingerprint := range add {
			archived[fingerprint] = true
			n.log.Info().Str("fingerprint", fingerprint).Msg("quarantined request archived")
		}
	}
}

// quarantinedHere returns the crashes of the quarantined requests to which this node
// has attributed one. It forgets own crashes that no longer count.
func (n *Node) quarantinedHere(now time.Time) map[string][]quarantine.Crash {
	n.mu.Lock()
	own := maps.Clone(n.ownCrashes)
	n.mu.Unlock()
	found := make(map[string][]quarantine.Crash)
	for _, e := range n.quarantine.Entries(now) {
		if own[e.Fingerprint] && e.Quarantined {
			found[e.Fingerprint] = e.Crashes
		}
		delete(own, e.Fingerprint)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for fingerprint := range own {
		delete(n.ownCrashes, fingerprint)
	}
	return found
}
