package contract

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxDeletionAge is the number of generations after which a deletion is removed
// from a document.
const maxDeletionAge = 1000

// Delta is the difference between two generations.
type Delta struct {
	// Since is the generation from which the delta starts. Zero means that the
	// delta is a whole document.
	Since uint64 `json:"since"`
	// Generation is the generation to which the delta leads.
	Generation uint64 `json:"generation"`
	// Objects are the objects that were added or replaced.
	Objects []Object `json:"objects,omitempty"`
	// Deleted maps the IDs of deleted objects to the generations that deleted them.
	Deleted map[string]uint64 `json:"deleted,omitempty"`
}

// Since returns the changes after a generation. It returns the whole document if
// the generation is newer than the document, or so old that deletions after it
// may have been removed.
func (d Document) Since(generation uint64) Delta {
	delta := Delta{Since: generation, Generation: d.Generation}
	if generation > d.Generation || generation+maxDeletionAge < d.Generation {
		delta.Since = 0
	}
	if delta.Since == 0 {
		delta.Objects = d.Objects
		delta.Deleted = d.Deleted
		return delta
	}
	for _, o := range d.Objects {
		if o.Generation > generation {
			delta.Objects = append(delta.Objects, o)
		}
	}
	delta.Deleted = make(map[string]uint64)
	for name, at := range d.Deleted {
		if at > generation {
			delta.Deleted[name] = at
		}
	}
	return delta
}

// WithDelta returns the document to which the delta leads. It does not validate
// the result. The caller must compare its Digest with the expected one.
func (d Document) WithDelta(delta Delta) Document {
	if delta.Since == 0 {
		return Document{Generation: delta.Generation, Objects: delta.Objects, Deleted: delta.Deleted}
	}
	next := d.clone()
	next.Generation = delta.Generation
	for name, at := range delta.Deleted {
		if id, err := ParseID(name); err == nil {
			if i, found := next.find(id); found {
				next.Objects = slices.Delete(next.Objects, i, i+1)
			}
		}
		next.Deleted[name] = at
	}
	for _, o := range delta.Objects {
		i, found := next.find(o.ID())
		if found {
			next.Objects[i] = o
		} else {
			next.Objects = slices.Insert(next.Objects, i, o)
		}
		delete(next.Deleted, o.ID().String())
	}
	return next
}

// digestMultiplier is 2^64 divided by the golden ratio. It spreads consecutive
// generations over all bits of the digest.
const digestMultiplier = 0x9e3779b97f4a7c15

// Digest returns a digest of the generation and all objects, but not of the
// deletions. It does not depend on the order of the objects.
func (d Document) Digest() uint64 {
	sum := d.Generation * digestMultiplier
	for _, o := range d.Objects {
		h := xxhash.New()
		_, _ = h.WriteString(o.ID().String())
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, o.Generation))
		_, _ = h.Write(o.Spec)
		sum ^= h.Sum64()
	}
	return sum
}

// isSorted reports whether the objects are ordered by their IDs without
// duplicates.
func (d Document) isSorted() bool {
	for i := 1; i < len(d.Objects); i++ {
		if strings.Compare(d.Objects[i-1].ID().String(), d.Objects[i].ID().String()) >= 0 {
			return false
		}
	}
	return true
}

// Sorted returns a copy of the document with the objects ordered by their IDs.
func (d Document) Sorted() Document {
	d.Objects = slices.Clone(d.Objects)
	slices.SortFunc(d.Objects, func(a, b Object) int { return strings.Compare(a.ID().String(), b.ID().String()) })
	return d
}

// Revert returns the change from document d to the content of an older one.
func Revert(d, old Document) Change {
	change := Change{Upserts: old.Objects}
	for _, o := range d.Objects {
		if _, exists := old.find(o.ID()); !exists {
			change.Deletes = append(change.Deletes, o.ID().String())
		}
	}
	return change
}
