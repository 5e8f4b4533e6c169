// Package publication publishes configurations and keeps the one in force.
//
// A generation is published by one conditional update of a head object, after
// its segments have been written. Generations only grow. A Holder never goes
// back to a lower one.
//
// # Usage
//
//	publisher := publication.NewPublisher(store)
//	result, err := publisher.Publish(ctx, now, change)
//
//	holder := publication.NewHolder()
//	holder.OnChange(func(s publication.State) { table.SetCatalogue(s.Catalogue) })
//	taken, err := holder.Offer(document)
//
// Holders and publishers are safe for concurrent use.
package publication

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
)

// State is a configuration in force. It is immutable.
type State struct {
	Document  contract.Document
	Catalogue *contract.Catalogue
	Digest    uint64
}

// Holder keeps the configuration that this node has in force.
type Holder struct {
	current atomic.Pointer[State]

	mu        sync.Mutex
	listeners []func(State)
}

// NewHolder returns a Holder of the empty generation 0.
func NewHolder() *Holder {
	h := new(Holder)
	catalogue, _ := contract.NewCatalogue(contract.Document{})
	h.current.Store(&State{Catalogue: catalogue})
	return h
}

// OnChange has f called for each new state, in order. It must be called before
// the holder is shared.
func (h *Holder) OnChange(f func(State)) { h.listeners = append(h.listeners, f) }

// Current returns the state in force.
func (h *Holder) Current() State { return *h.current.Load() }

// Generation returns the generation in force.
func (h *Holder) Generation() uint64 { return h.current.Load().Document.Generation }

// Offer puts a document in force if its generation is higher than the present
// one, and reports whether it did. A document with a problem is refused.
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

// OfferDelta puts in force what a delta leads to. It returns an error if the
// result has not the digest given, and the whole document must be had instead.
func (h *Holder) OfferDelta(delta contract.Delta, digest uint64) (bool, error) {
	base := h.Current().Document
	if delta.Generation <= base.Generation {
		return false, nil
	}
	if delta.Since > base.Generation {
		return false, fmt.Errorf("publication: delta starts at generation %d, after %d", delta.Since, base.Generation)
	}
	next := base.WithDelta(delta)
	if next.Digest() != digest {
		return false, fmt.Errorf("publication: generation %d: digest does not match", delta.Generation)
	}
	return h.Offer(next)
}
