// Package promptcache estimates which prompt parts an upstream has cached: the
// most recently used ones, corrected by what the upstream reports.
//
// # Usage
//
//	estimate := promptcache.New()
//	estimate.RecordUse(now, prompt, unsharedTokens, capacity) // a request was sent
//	estimate.Set(now, promptcache.Part{ID: "p", Tokens: 0}) // the upstream evicted p
//	tokens := estimate.CachedTokens(prompt)
//
// An Estimate is not safe for concurrent use.
package promptcache

import (
	"container/list"
	"time"
)

// Part is a run of prompt tokens that several requests share.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Generation is what cached prompt parts depend on: parts of different weights, or
// written by different builds of an engine, do not fit together.
type Generation struct {
	Version int64
	Build   string
}

// readyDelay is how long after it was first sent a part is assumed to be
// prefilled.
const readyDelay = 150 * time.Millisecond

// Estimate holds the parts that an upstream is assumed to have cached. Unshared
// prompt tokens take up cache space as well.
type Estimate struct {
	entries map[string]*entry
	// order lists the parts by their last use, the latest at the end.
	order list.List
	// tokens is the number of tokens in order, unshared ones included.
	tokens int
	// reportsEvictions is true if the upstream reports the parts that it
	// evicts.
	reportsEvictions bool
}

type entry struct {
	id     string
	tokens int
	// sentAt is when the part was first sent.
	sentAt  time.Time
	element *list.Element
}

// blockSlack is how many tokens a part may lack and still count as completely
// cached, since engines cache whole blocks.
const blockSlack = 64

// The share of the upstream's capacity that the estimate may fill. If the
// upstream reports its evictions, the estimate need not guess them.
const (
	maxShareGuessed  = 0.9 // evictions are guessed
	maxShareReported = 2.0 // evictions are reported
)

// New returns the estimate of an empty cache.
func New() *Estimate { return &Estimate{entries: make(map[string]*entry)} }

// ExpectEvictionReports declares that the upstream reports the parts that it
// evicts.
func (est *Estimate) ExpectEvictionReports() { est.reportsEvictions = true }

// RecordUse records that a prompt was sent to the upstream, whose cache has a
// capacity of that many tokens. The least recently used parts that no longer
// fit are assumed to be evicted.
func (est *Estimate) RecordUse(now time.Time, parts []Part, unshared, capacity int) {
	for _, p := range parts {
		part := est.entries[p.ID]
		if part == nil {
			part = &entry{id: p.ID, tokens: p.Tokens, sentAt: now}
			part.element = est.order.PushBack(part)
			est.entries[p.ID] = part
			est.tokens += p.Tokens
		}
		est.order.MoveToBack(part.element)
	}
	if unshared > 0 {
		est.order.PushBack(&entry{tokens: unshared})
		est.tokens += unshared
	}
	share := maxShareGuessed
	if est.reportsEvictions {
		share = maxShareReported
	}
	for float64(est.tokens) > share*float64(capacity) && est.order.Len() > 1 {
		oldest := est.order.Remove(est.order.Front()).(*entry)
		est.tokens -= oldest.tokens
		delete(est.entries, oldest.id)
	}
}

// ReadyTokens returns how many leading tokens of the parts were sent long
// enough ago to be prefilled.
func (est *Estimate) ReadyTokens(now time.Time, parts []Part) int {
	return est.countLeading(parts, func(e *entry) bool { return now.Sub(e.sentAt) >= readyDelay })
}

// CachedTokens returns how many leading tokens of the parts are assumed to be
// cached.
func (est *Estimate) CachedTokens(parts []Part) int {
	return est.countLeading(parts, func(*entry) bool { return true })
}

// countLeading counts the cached tokens of the parts up to the first part that
// is not accepted or not cached completely. The cached tokens of an incomplete
// part still count.
func (est *Estimate) countLeading(parts []Part, accept func(*entry) bool) int {
	tokens := 0
	for _, p := range parts {
		e := est.entries[p.ID]
		if e == nil || !accept(e) {
			break
		}
		tokens += min(p.Tokens, e.tokens)
		if e.tokens+blockSlack < p.Tokens {
			break
		}
	}
	return tokens
}

// Set records what the upstream reports about a part. Zero tokens mean that the
// part is not cached. A part that was unknown before is ready immediately.
func (est *Estimate) Set(now time.Time, p Part) {
	part := est.entries[p.ID]
	switch {
	case part == nil && p.Tokens > 0:
		part = &entry{id: p.ID, tokens: p.Tokens, sentAt: now.Add(-readyDelay)}
		part.element = est.order.PushBack(part)
		est.entries[p.ID] = part
		est.tokens += p.Tokens
	case part != nil && p.Tokens == 0:
		est.order.Remove(part.element)
		est.tokens -= part.tokens
		delete(est.entries, p.ID)
	case part != nil:
		est.tokens += p.Tokens - part.tokens
		part.tokens = p.Tokens
	}
}
