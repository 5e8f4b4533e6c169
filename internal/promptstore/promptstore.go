// Package promptstore tracks which prompt parts the prompt store holds: a shared store
// of cached parts, which outlive the engines that computed them and their generations.
//
// # Usage
//
//	parts := promptstore.New()
//	parts.SetUp(true)
//	parts.Set(now, generation, promptcache.Part{ID: "p", Tokens: 800}) // the store reports p
//	tokens := parts.ReadyTokens(now, generation, prompt)
//
// A Parts is not safe for concurrent use.
package promptstore

import (
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Parts holds the parts in the store, by generation.
type Parts struct {
	cached *promptcache.Estimate
	// up reports whether the store has responded lately.
	up bool
}

// New returns the Parts of an empty store that has not responded yet.
func New() *Parts { return &Parts{cached: promptcache.New()} }

// Up reports whether the store has responded lately.
func (p *Parts) Up() bool { return p.up }

// SetUp records whether the store responds. A store that was down is assumed to be
// empty.
func (p *Parts) SetUp(up bool) {
	if p.up != up {
		*p = Parts{cached: promptcache.New(), up: up}
	}
}

// Set records what the store reports about a part of a generation. Zero tokens mean
// that the store does not have it.
func (p *Parts) Set(now time.Time, g promptcache.Generation, part promptcache.Part) {
	p.cached.Set(now, promptcache.Part{ID: storedID(g, part.ID), Tokens: part.Tokens})
}

// ReadyTokens returns how many leading tokens of the parts of a generation can be
// fetched from the store.
func (p *Parts) ReadyTokens(now time.Time, g promptcache.Generation, parts []promptcache.Part) int {
	list := make([]promptcache.Part, len(parts))
	for i, part := range parts {
		list[i] = promptcache.Part{ID: storedID(g, part.ID), Tokens: part.Tokens}
	}
	return p.cached.ReadyTokens(now, list)
}

// storedID returns the ID of a part of a generation, unique among all generations.
func storedID(g promptcache.Generation, id string) string {
	return strconv.FormatInt(g.Version, 10) + ":" + g.Build + ":" + id
}
