// Package route picks the upstream of a request.
//
// Where a prefix lives is computed, not looked up: each level of the prefix
// narrows the set of workers by rendezvous hashing, so that requests that
// share more text share fewer workers. Every node with the same view computes
// the same pick. A worker that is far busier than the others is passed over.
//
// # Usage
//
//	picker := route.NewPicker(route.PickerOptions{})
//	candidate, found := picker.Pick(chain, candidates, excluded)
//
// A Picker is immutable and safe for concurrent use.
package route

import (
	"cmp"
	"slices"

	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

const (
	defaultFirstShare  = 0.5
	defaultNarrowing   = 0.5
	defaultLoadBound   = 1.25
	defaultLeastWorker = 2
)

// PickerOptions sets up a Picker. The zero value works.
type PickerOptions struct {
	// FirstShare is the share of a pool's workers that keep a first-level
	// prefix. The default is 0.5.
	FirstShare float64
	// Narrowing is the share of those kept by each further level. The default is 0.5.
	Narrowing float64
	// LoadBound is how far a worker's load may exceed the mean of its set. The default is 1.25.
	LoadBound float64
	// LeastWorkers is the least number of workers a level keeps. The default is 2.
	LeastWorkers int
}

// Picker picks upstreams by prefix.
type Picker struct {
	opts PickerOptions
}

// NewPicker returns a Picker.
func NewPicker(opts PickerOptions) *Picker {
	if opts.FirstShare <= 0 {
		opts.FirstShare = defaultFirstShare
	}
	if opts.Narrowing <= 0 {
		opts.Narrowing = defaultNarrowing
	}
	if opts.LoadBound <= 0 {
		opts.LoadBound = defaultLoadBound
	}
	if opts.LeastWorkers <= 0 {
		opts.LeastWorkers = defaultLeastWorker
	}
	return &Picker{opts: opts}
}

type ranked struct {
	weight uint64
	at     int
}

// Pick returns the candidate for a prefix chain. Candidates for which excluded
// returns true are passed over while there is another. It returns false only
// if there is no candidate at all.
func (p *Picker) Pick(chain prefix.Chain, candidates []upstream.Candidate, excluded func(upstream.Candidate) bool) (upstream.Candidate, bool) {
	usable := usableOnly(candidates, excluded)
	if len(usable) == 0 {
		return upstream.Candidate{}, false
	}
	if chain.Len() == 0 {
		return leastLoaded(usable), true
	}
	order := make([]ranked, len(usable))
	for i := range order {
		order[i].at = i
	}
	width := float64(len(usable)) * p.opts.FirstShare
	for level := range chain.Len() {
		order = rank(order, usable, chain.At(level))
		keep := min(len(order), max(p.opts.LeastWorkers, int(width+0.5)))
		order = order[:keep]
		width *= p.opts.Narrowing
	}
	return p.bounded(order, usable), true
}

func usableOnly(candidates []upstream.Candidate, excluded func(upstream.Candidate) bool) []upstream.Candidate {
	if excluded == nil {
		return candidates
	}
	usable := make([]upstream.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if !excluded(c) {
			usable = append(usable, c)
		}
	}
	return usable
}

func rank(order []ranked, candidates []upstream.Candidate, digest uint64) []ranked {
	for i := range order {
		order[i].weight = prefix.Weight(digest, prefix.Hash(candidates[order[i].at].Name))
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.at, b.at))
	})
	return order
}

// bounded returns the first worker in order whose load is within the bound of
// the pool's mean (Mirrokni, Thorup, Zadimoghaddam: Consistent hashing with
// bounded loads, 2018), or else the least loaded one of the whole pool.
func (p *Picker) bounded(order []ranked, candidates []upstream.Candidate) upstream.Candidate {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	bound := int(float64(total+1)/float64(len(candidates))*p.opts.LoadBound) + 1
	for _, r := range order {
		c := candidates[r.at]
		if c.Load < max(bound, c.Slots/2) {
			return c
		}
	}
	return leastLoaded(candidates)
}

func leastLoaded(candidates []upstream.Candidate) upstream.Candidate {
	return slices.MinFunc(candidates, func(a, b upstream.Candidate) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Name, b.Name))
	})
}
