package roster

import (
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// promptStore is the state of the prompt store, a shared store of cached prompt
// parts. Its parts outlive the engines that computed them and their generations.
type promptStore struct {
	upstream Upstream
	cached   *promptcache.Estimate
	// up reports whether the store has responded lately.
	up bool
}

// SetStore sets the prompt store. An empty address means that there is none.
func (t *Table) SetStore(u Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Address == "" {
		t.promptStore = nil
		return
	}
	if t.promptStore == nil || t.promptStore.upstream != u {
		t.promptStore = &promptStore{upstream: u, cached: promptcache.New()}
	}
}

// Store returns the prompt store, if there is one.
func (t *Table) Store() (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promptStore == nil {
		return Upstream{}, false
	}
	return t.promptStore.upstream, true
}

// SetStoreUp records whether the prompt store responds. A store that was down
// is assumed to be empty.
func (t *Table) SetStoreUp(up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promptStore == nil || t.promptStore.up == up {
		return
	}
	t.promptStore.up = up
	t.promptStore.cached = promptcache.New()
}

// SetStoreParts records what the prompt store reports about its parts.
func (t *Table) SetStoreParts(now time.Time, parts []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promptStore == nil {
		return
	}
	for _, p := range parts {
		t.promptStore.cached.Set(now, Part{ID: storedID(promptcache.Generation{Version: p.Version, Build: p.Build}, p.ID), Tokens: p.Tokens})
	}
}

// storedID returns the ID of a part in the prompt store, which holds parts of
// all generations.
func storedID(g promptcache.Generation, id string) string {
	return strconv.FormatInt(g.Version, 10) + ":" + g.Build + ":" + id
}

// storedParts returns the parts of a generation under their IDs in the prompt store.
func storedParts(g promptcache.Generation, parts []Part) []Part {
	list := make([]Part, len(parts))
	for i, p := range parts {
		list[i] = Part{ID: storedID(g, p.ID), Tokens: p.Tokens}
	}
	return list
}
