package roster

import "time"

const (
	// endedTTL is how long ended incarnations are remembered. The store comes back
	// from copies that are seconds old.
	endedTTL = time.Minute
	// copiedEntryHold is longer than the time after which the store removes the
	// entry of an upstream that no longer writes there.
	copiedEntryHold = 4 * time.Second
)

// heldEntry is an entry that is not used before the time until.
type heldEntry struct {
	upstream Upstream
	until    time.Time
}

// recordEnd records that an incarnation has ended. The caller holds the lock.
func (t *Table) recordEnd(now time.Time, u Upstream) {
	for incarnation, at := range t.ended {
		if now.Sub(at) > endedTTL {
			delete(t.ended, incarnation)
		}
	}
	t.ended[u.Incarnation()] = now
}

// ReplaceFromCopy sets the complete list of upstreams after the store has come back
// from a copy, which is older than what is known. Until an upstream writes its entry
// again,
//   - a missing one stays a last resort, as after an outage,
//   - one that is leaving does not become ready again,
//   - one that has ended, or an earlier incarnation, does not come back. If the
//     store still lists it after copiedEntryHold, it is alive.
func (t *Table) ReplaceFromCopy(now time.Time, list []Upstream) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.heldBack)
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		m := t.members[u.ID]
		_, ended := t.ended[u.Incarnation()]
		switch {
		case ended, m != nil && u.Born < m.upstream.Born:
			t.heldBack[u.ID] = heldEntry{u, now.Add(copiedEntryHold)}
			continue
		case m != nil && u.Incarnation() == m.upstream.Incarnation():
			u.Leaving = u.Leaving || m.upstream.Leaving
		}
		listed[u.ID] = true
		changes = t.putEntry(changes, now, u)
	}
	return t.removeUnlisted(changes, now, listed, true)
}

// admitHeldBack adds the entries that were held back for long enough. The caller
// holds the lock.
func (t *Table) admitHeldBack(now time.Time) []Change {
	var changes []Change
	for id, h := range t.heldBack {
		if now.After(h.until) {
			delete(t.heldBack, id)
			changes = t.putEntry(changes, now, h.upstream)
		}
	}
	return changes
}
