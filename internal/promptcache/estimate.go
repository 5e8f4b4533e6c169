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

// blockSlack is more than the number of tokens by which a completely cached
// part may fall short, since engines cache whole blocks.
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
func (k *Estimate) ExpectEvictionReports() { k.reportsEvictions = true }

// RecordUse records that a prompt was sent to the upstream, whose cache has a
// capacity of that many tokens. The least recently used parts that no longer
// fit are assumed to be evicted.
func (k *Estimate) RecordUse(now time.Time, parts []Part, unshared, capacity int) {
	for _, p := range parts {
		part := k.entries[p.ID]
		if part == nil {
			part = &entry{id: p.ID, tokens: p.Tokens, sentAt: now}
			part.element = k.order.PushBack(part)
			k.entries[p.ID] = part
			k.tokens += p.Tokens
		}
		k.order.MoveToBack(part.element)
	}
	if unshared > 0 {
		k.order.PushBack(&entry{tokens: unshared})
		k.tokens += unshared
	}
	share := maxShareGuessed
	if k.reportsEvictions {
		share = maxShareReported
	}
	for float64(k.tokens) > share*float64(capacity) && k.order.Len() > 1 {
		oldest := k.order.Remove(k.order.Front()).(*entry)
		k.tokens -= oldest.tokens
		delete(k.entries, oldest.id)
	}
}

// ReadyTokens returns how many leading tokens of the parts were sent long
// enough ago to be prefilled.
func (k *Estimate) ReadyTokens(now time.Time, parts []Part) int {
	return k.countLeading(parts, func(e *entry) bool { return now.Sub(e.sentAt) >= readyDelay })
}

// CachedTokens returns how many leading tokens of the parts are assumed to be
// cached.
func (k *Estimate) CachedTokens(parts []Part) int {
	return k.countLeading(parts, func(*entry) bool { return true })
}

// countLeading counts the cached tokens of the parts up to the first part that
// is not accepted or not cached completely. Of the latter its cached tokens
// still count.
func (k *Estimate) countLeading(parts []Part, accept func(*entry) bool) int {
	tokens := 0
	for _, p := range parts {
		e := k.entries[p.ID]
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
func (k *Estimate) Set(now time.Time, p Part) {
	part := k.entries[p.ID]
	switch {
	case part == nil && p.Tokens > 0:
		part = &entry{id: p.ID, tokens: p.Tokens, sentAt: now.Add(-readyDelay)}
		part.element = k.order.PushBack(part)
		k.entries[p.ID] = part
		k.tokens += p.Tokens
	case part != nil && p.Tokens == 0:
		k.order.Remove(part.element)
		k.tokens -= part.tokens
		delete(k.entries, p.ID)
	case part != nil:
		k.tokens += p.Tokens - part.tokens
		part.tokens = p.Tokens
	}
}
