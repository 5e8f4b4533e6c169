// Package publication publishes configurations to the object store and holds
// the active configuration of a node.
//
// A configuration is stored in segments. A new generation is published by
// writing the changed segments and then updating a head object conditionally.
// Generations only increase. A Holder never returns to a lower one.
//
// # Usage
//
//	publisher := publication.NewPublisher(store)
//	result, err := publisher.Publish(ctx, now, change)
//
//	holder := publication.NewHolder()
//	holder.OnChange(func(s publication.State) { table.SetCatalogue(s.Catalogue) })
//	accepted, err := holder.Offer(document)
//
// Holders and publishers are safe for concurrent use.
package publication

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
)

// State is an active configuration. It is immutable.
type State struct {
	Document  contract.Document
	Catalogue *contract.Catalogue
	Digest    uint64
}

// Holder holds the active configuration of this node.
type Holder struct {
	current atomic.Pointer[State]

	mu        sync.Mutex
	listeners []func(State)
}

// NewHolder returns a Holder with an empty configuration of generation 0.
func NewHolder() *Holder {
	h := new(Holder)
	catalogue, _ := contract.NewCatalogue(contract.Document{})
	h.current.Store(&State{Catalogue: catalogue})
	return h
}

// OnChange registers f, which Offer calls for each new state, in order of
// generation. f must not call Offer, whose lock is held. OnChange must be called
// before the holder is shared with other goroutines.
func (h *Holder) OnChange(f func(State)) { h.listeners = append(h.listeners, f) }

// Current returns the active state.
func (h *Holder) Current() State { return *h.current.Load() }

// Generation returns the active generation.
func (h *Holder) Generation() uint64 { return h.current.Load().Document.Generation }

// Offer activates a document if its generation is higher than the active one,
// and reports whether it did. It returns an error if the document is invalid.
func (h *Holder) Offer(d contract.Document) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Generation <= h.Generation() {
		return false, nil
	}
	catalogue, problems := contract.NewCatalogue(d)
	if len(problems) > 0 {
		return false, fmt.Errorf("publication: generation %d: %s", d.Generation, problems[0])
	}
	state := State{Document: d, Catalogue: catalogue, Digest: d.Digest()}
	h.current.Store(&state)
	for _, listener := range h.listeners {
		listener(state)
	}
	return true, nil
}

// OfferDelta applies a delta to the active document and offers the result. It
// returns an error if the delta starts after the active generation or the digest
// of the result is not the given one. The caller then needs the whole document.
func (h *Holder) OfferDelta(delta contract.Delta, digest uint64) (bool, error) {
	base := h.Current().Document
	if delta.Generation <= base.Generation {
		return false, nil
	}
	if delta.Since > base.Generation {
		return false, fmt.Errorf("publication: delta starts at generation %d, but the active generation is %d", delta.Since, base.Generation)
	}
	next := base.WithDelta(delta)
	if next.Digest() != digest {
		return false, fmt.Errorf("publication: generation %d: digest mismatch after applying delta", delta.Generation)
	}
	return h.Offer(next)
}
