package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Candidate is an upstream that may get requests, with its state for the cost model. The
// state has no cached parts, which change while the Table is not locked.
type Candidate struct {
	Upstream Upstream
	State    costmodel.Candidate
}

// Candidates returns the upstreams of a service that have not left and whose weights may be
// used, in the order of their IDs. Their States are pickable.
func (t *Table) Candidates(now time.Time, service string) []Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Expire(now)
	oldestAllowed := make(map[string]int64)
	var list []Candidate
	for _, m := range t.members {
		u := m.upstream
		if u.Service != service || u.Leaving {
			continue
		}
		oldest, known := oldestAllowed[u.Model]
		if !known {
			oldest = t.desired.OldestAllowed(now, u.Model, t.disruptions, t.opts.VersionLimits)
			oldestAllowed[u.Model] = oldest
		}
		if u.Version < oldest {
			continue
		}
		state := t.candidate(now, m, true)
		state.Cached = nil
		list = append(list, Candidate{u, state})
	}
	slices.SortFunc(list, func(a, b Candidate) int { return strings.Compare(a.Upstream.ID, b.Upstream.ID) })
	return list
}

// Upstream returns the upstream with an ID.
func (t *Table) Upstream(id string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		return m.upstream, true
	}
	return Upstream{}, false
}

// StoredTokens returns how many leading tokens of the parts the prompt store has in a
// generation. It returns false if there is no store or it does not respond.
func (t *Table) StoredTokens(now time.Time, g promptcache.Generation, parts []Part) (tokens int, up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stored := t.storedTokens(now)
	if stored == nil {
		return 0, false
	}
	return stored(g, parts), true
}
