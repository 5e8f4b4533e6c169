// Package weights keeps the versions of models' weights that operators have
// named, for how long, and which of them may no longer be used.
//
// # Usage
//
//	book := weights.NewBook()
//	book.Set(now, "m", 2)
//	floor := book.Floor(now, "m", disturbances, limits) // the oldest version that may serve
//
// A Book is for one goroutine at a time.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Age is a version of a model's weights and how long ago it was named.
type Age struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
	AgeMS   int64  `json:"age_ms" cbor:"3,keyasint"`
}

const (
	// maxEarlier bounds the versions remembered for each model.
	maxEarlier = 32
	// told is how many versions of a model are told to others.
	told = 4
)

// Book holds the versions named of each model.
type Book struct{ models map[string]named }

type named struct {
	version int64
	since   time.Time
	// assumed says that since is a guess, which nobody is told.
	assumed bool
	// earlier are the versions named before, oldest first.
	earlier []named
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{models: make(map[string]named)} }

// Set takes a version that was named at a time, and reports whether it is newer
// than those known. Of two times the earlier holds.
func (b *Book) Set(at time.Time, model string, version int64) bool {
	return b.set(model, named{version: version, since: at})
}

// Assume takes a version that has been named for a time that can only be
// guessed. Another's word on it replaces the guess.
func (b *Book) Assume(at time.Time, model string, version int64) bool {
	return b.set(model, named{version: version, since: at, assumed: true})
}

func (b *Book) set(model string, n named) bool {
	old := b.models[model]
	if n.version > old.version {
		earlier := slices.Clone(old.earlier)
		if old.version > 0 {
			earlier = append(earlier, named{version: old.version, since: old.since, assumed: old.assumed})
		}
		n.earlier = earlier[max(0, len(earlier)-maxEarlier):]
		b.models[model] = n
		return true
	}
	if n.version == old.version {
		b.models[model] = old.corrected(n)
		return false
	}
	i, known := slices.BinarySearchFunc(old.earlier, n.version, func(e named, version int64) int {
		return cmp.Compare(e.version, version)
	})
	switch {
	case known:
		old.earlier[i] = old.earlier[i].corrected(n)
	case n.version > 0 && len(old.earlier) < maxEarlier:
		// A VM that has just started has listed the newest version only.
		old.earlier = slices.Insert(old.earlier, i, n)
		b.models[model] = old
	}
	return false
}

// corrected returns what is known after another word on the same version.
func (n named) corrected(by named) named {
	if !by.assumed && (n.assumed || by.since.Before(n.since)) {
		n.since, n.assumed = by.since, false
	}
	return n
}

// Newest returns the newest version of a model and when it was named, as far as
// known; 0 if there is none.
func (b *Book) Newest(model string) (version int64, since time.Time) {
	n := b.models[model]
	return n.version, n.since
}

// Floor is the newest version that has been named for longer than the limits
// allow, in time that was not disturbed. Older ones may not be used.
func (b *Book) Floor(now time.Time, model string, d Disturbances, limits Limits) int64 {
	if limits.MaxSpan <= 0 {
		return 0
	}
	n := b.models[model]
	if n.version > 0 && d.exceeded(n.since, now, limits) {
		return n.version
	}
	for _, e := range slices.Backward(n.earlier) {
		if d.exceeded(e.since, now, limits) {
			return e.version
		}
	}
	return 0
}

// Ages returns the versions named last, with their ages. Guesses are not among them.
func (b *Book) Ages(now time.Time) []Age {
	var ages []Age
	add := func(model string, n named) {
		if !n.assumed {
			ages = append(ages, Age{model, n.version, now.Sub(n.since).Milliseconds()})
		}
	}
	for model, n := range b.models {
		add(model, n)
		for _, e := range n.earlier[max(0, len(n.earlier)-told+1):] {
			add(model, e)
		}
	}
	return ages
}
