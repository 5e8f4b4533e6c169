package entryvm

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// maxLag is how long a VM that does not watch the store waits for a state that peers have.
// Then it asks the store itself. Peers bring nearly all states within half of it.
const maxLag = 1200 * time.Millisecond

// lag holds since when peers have had a newer state of a collection than this VM. It is
// safe for concurrent use.
type lag struct {
	mu sync.Mutex
	// wanted is the position that a peer had at since, and overdue is set once it has been
	// missing for too long.
	wanted  registry.Position
	since   time.Time
	overdue bool
}

// Observe records the positions of this VM and of a peer.
func (l *lag) Observe(now time.Time, own, theirs registry.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own.Before(theirs) && !own.Before(l.wanted) {
		l.wanted, l.since, l.overdue = theirs, now, false
	}
}

// Overdue reports whether this VM, at the position own, has lacked a state for too long,
// and whether that is new.
func (l *lag) Overdue(now time.Time, own registry.Position) (overdue, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !own.Before(l.wanted) || now.Sub(l.since) < maxLag {
		return false, false
	}
	isNew = !l.overdue
	l.overdue = true
	return true, isNew
}

// shouldWatchFor returns whether this VM should call the store for a collection: it is one
// of those that watch, or no peer has brought it what peers have.
func (v *VM) shouldWatchFor(collection string, l *lag, own func() registry.Position) func(now time.Time) bool {
	return func(now time.Time) bool {
		if v.shouldWatch(now) {
			return true
		}
		overdue, isNew := l.Overdue(now, own())
		if isNew {
			metrics.GetOrRegisterCounter("states_overdue."+collection, v.metrics).Inc(1)
			v.log.Warn().Str("collection", collection).Uint64("own", own().Revision).Msg("state overdue, asking the store")
		}
		return overdue
	}
}
