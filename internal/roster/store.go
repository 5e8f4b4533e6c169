package roster

import (
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/kept"
)

// store is what is known of the store of kept prompts. Its parts outlive the
// engines that made them, and their weights.
type store struct {
	upstream Upstream
	capacity int
	kept     *kept.Parts
	// up says that the store has answered lately.
	up bool
}

// SetStore names the store of kept prompts. An empty address stands for none.
func (t *Table) SetStore(u Upstream, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.Address == "" {
		t.store = nil
		return
	}
	if t.store == nil || t.store.upstream != u {
		t.store = &store{upstream: u, kept: kept.New()}
	}
	t.store.capacity = tokens
}

// Store returns the store of kept prompts.
func (t *Table) Store() (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.store == nil {
		return Upstream{}, false
	}
	return t.store.upstream, true
}

// SetStoreUp says whether the store answers. One that has been down is empty.
func (t *Table) SetStoreUp(up bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.store == nil || t.store.up == up {
		return
	}
	t.store.up = up
	t.store.kept = kept.New()
}

// SetStoreParts takes what the store says of its parts.
func (t *Table) SetStoreParts(now time.Time, parts []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.store == nil {
		return
	}
	for _, p := range parts {
		t.store.kept.Set(now, Part{ID: storedID(p.Version, p.ID), Tokens: p.Tokens})
	}
}

// storedID names a part in the store, which keeps parts of all versions.
func storedID(version int64, id string) string { return strconv.FormatInt(version, 10) + ":" + id }

func stored(version int64, parts []Part) []Part {
	named := make([]Part, len(parts))
	for i, p := range parts {
		named[i] = Part{ID: storedID(version, p.ID), Tokens: p.Tokens}
	}
	return named
}
