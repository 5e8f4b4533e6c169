package costmodel

import "github.com/hibiscuscove/hibiscuscove/internal/promptcache"

// PromptKey returns the key that determines the home of a prompt with these shared parts,
// of which there must be one at least.
func PromptKey(parts []promptcache.Part) uint64 { return Prompt{Parts: parts}.key() }

// Weight returns the rendezvous weight of an upstream, given by the Hash of its ID, for a
// key. The upstream with the highest weight is the home.
func Weight(key, idHash uint64) uint64 {
	c := Candidate{IDHash: idHash}
	return c.rendezvousWeight(key)
}
