// Package kept estimates which parts of prompts an upstream's memory holds: those
// used last, corrected by what the upstream itself says.
//
// # Usage
//
//	parts := kept.New()
//	parts.Use(now, prompt, ownTokens, capacity) // a request was sent there
//	parts.Set(now, kept.Part{ID: "p", Tokens: 0}) // it says that it dropped p
//	tokens := parts.Have(prompt)
//
// Parts are for one goroutine at a time.
package kept

import (
	"container/list"
	"time"
)

// Part is a run of a prompt's tokens that requests share.
type Part struct {
	ID     string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// readyAfter is how long after they were sent parts are counted on as read.
const readyAfter = 150 * time.Millisecond

// Parts are those that an upstream is thought to keep. What requests have for
// themselves alone takes room as well.
type Parts struct {
	used map[string]*entry
	// order has the parts by their last use, the latest at the end.
	order  list.List
	tokens int
	// followed says that the engine's events tell what it drops.
	followed bool
}

type entry struct {
	id     string
	tokens int
	// since is when the part was first sent.
	since time.Time
	place *list.Element
}

// blockSlack is more than the tokens by which a whole part may fall short, since
// engines keep whole blocks.
const blockSlack = 64

// The parts of an engine's memory that are counted on for parts: where the
// engine's own events tell what it drops, there is no need to guess.
const (
	guessedShare  = 0.9
	followedShare = 2.0
)

// New returns the parts of an empty memory.
func New() *Parts { return &Parts{used: make(map[string]*entry)} }

// Follow says that the upstream tells what it drops.
func (k *Parts) Follow() { k.followed = true }

// Use notes that a prompt was sent to the upstream, whose memory has room for
// capacity tokens.
func (k *Parts) Use(now time.Time, parts []Part, own, capacity int) {
	for _, p := range parts {
		part := k.used[p.ID]
		if part == nil {
			part = &entry{id: p.ID, tokens: p.Tokens, since: now}
			part.place = k.order.PushBack(part)
			k.used[p.ID] = part
			k.tokens += p.Tokens
		}
		k.order.MoveToBack(part.place)
	}
	if own > 0 {
		k.order.PushBack(&entry{tokens: own})
		k.tokens += own
	}
	share := guessedShare
	if k.followed {
		share = followedShare
	}
	for float64(k.tokens) > share*float64(capacity) && k.order.Len() > 1 {
		oldest := k.order.Remove(k.order.Front()).(*entry)
		k.tokens -= oldest.tokens
		delete(k.used, oldest.id)
	}
}

// Ready returns how many tokens of the parts, from the first on, have been
// there long enough to be read.
func (k *Parts) Ready(now time.Time, parts []Part) int {
	return k.count(parts, func(e *entry) bool { return now.Sub(e.since) >= readyAfter })
}

// Have returns how many tokens of the parts, from the first on, are kept.
func (k *Parts) Have(parts []Part) int {
	return k.count(parts, func(*entry) bool { return true })
}

func (k *Parts) count(parts []Part, counts func(*entry) bool) int {
	tokens := 0
	for _, p := range parts {
		e := k.used[p.ID]
		if e == nil || !counts(e) {
			break
		}
		tokens += min(p.Tokens, e.tokens)
		if e.tokens+blockSlack < p.Tokens {
			break
		}
	}
	return tokens
}

// Set takes the upstream's word on a part; 0 tokens stand for none.
func (k *Parts) Set(now time.Time, p Part) {
	part := k.used[p.ID]
	switch {
	case part == nil && p.Tokens > 0:
		part = &entry{id: p.ID, tokens: p.Tokens, since: now.Add(-readyAfter)}
		part.place = k.order.PushBack(part)
		k.used[p.ID] = part
		k.tokens += p.Tokens
	case part != nil && p.Tokens == 0:
		k.order.Remove(part.place)
		k.tokens -= part.tokens
		delete(k.used, p.ID)
	case part != nil:
		k.tokens += p.Tokens - part.tokens
		part.tokens = p.Tokens
	}
}
