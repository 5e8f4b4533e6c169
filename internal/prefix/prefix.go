// Package prefix identifies shared prompt prefixes by chained digests.
//
// A Chain is salted with the organisation, the model and the version of the
// weights, so that two organisations or two versions do not share a digest. The
// digest of each level covers all levels before it.
//
// # Usage
//
//	chain := prefix.NewChain(prefix.Salt{Organisation: "acme", Model: "replies", WeightsVersion: "v1"}, levels)
//	first := chain.At(0)
//
// A Chain is immutable and safe for concurrent use.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Salt separates the chains of different organisations, models and weights.
type Salt struct {
	Organisation   string
	Model          string
	WeightsVersion string
}

// Chain holds the digests of nested prefix levels, shortest prefix first.
type Chain struct {
	digests []uint64
}

// NewChain returns the chain of the levels' texts, outermost level first.
func NewChain(salt Salt, levels [][]byte) Chain {
	h := xxhash.New()
	writeField(h, salt.Organisation)
	writeField(h, salt.Model)
	writeField(h, salt.WeightsVersion)
	digests := make([]uint64, 0, len(levels))
	for _, level := range levels {
		_, _ = h.Write(level)
		digests = append(digests, h.Sum64())
	}
	return Chain{digests: digests}
}

// writeField writes the length of a text and the text, so that adjacent fields
// cannot run into each other.
func writeField(h *xxhash.Digest, text string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(text)
}

// Len returns the number of levels.
func (c Chain) Len() int { return len(c.digests) }

// At returns the digest of the prefix that ends with level i.
func (c Chain) At(i int) uint64 { return c.digests[i] }

// Weight returns the rendezvous weight of a digest on a worker. The worker is
// given by the Hash of its name. The mixing is the finalizer of SplitMix64
// (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014).
func Weight(digest, worker uint64) uint64 {
	z := digest ^ (worker * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Hash returns the hash of a worker's name, for use with Weight.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }
