package roster

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/promptstore"
)

// promptStore is the prompt store with the parts that it holds.
type promptStore struct {
	upstream Upstream
	parts    *promptstore.Parts
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
		t.promptStore = &promptStore{upstream: u, parts: promptstore.New()}
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
	if t.promptStore != nil {
		t.promptStore.parts.SetUp(up)
	}
}

// SetStoreParts records what the prompt store reports about its parts.
func (t *Table) SetStoreParts(now time.Time, parts []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.promptStore == nil {
		return
	}
	for _, p := range parts {
		t.promptStore.parts.Set(now, promptcache.Generation{Version: p.Version, Build: p.Build}, Part{ID: p.ID, Tokens: p.Tokens})
	}
}
