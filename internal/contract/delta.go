package contract

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// deletionMemory is for how many generations a deletion is remembered.
const deletionMemory = 1000

// Delta is what has changed between two generations. Since 0 marks a whole document.
type Delta struct {
	Since      uint64            `json:"since"`
	Generation uint64            `json:"generation"`
	Objects    []Object          `json:"objects,omitempty"`
	Deleted    map[string]uint64 `json:"deleted,omitempty"`
}

// Since returns what has changed after a generation, or the whole document if
// the generation is too old to tell.
func (d Document) Since(generation uint64) Delta {
	delta := Delta{Since: generation, Generation: d.Generation}
	if generation > d.Generation || generation+deletionMemory < d.Generation {
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

// WithDelta returns the document that the delta leads to. The caller compares
// its Digest.
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

// Digest returns a digest of the generation and all objects.
func (d Document) Digest() uint64 {
	sum := d.Generation * 0x9e3779b97f4a7c15
	for _, o := range d.Objects {
		h := xxhash.New()
		_, _ = h.WriteString(o.ID().String())
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, o.Generation))
		_, _ = h.Write(o.Spec)
		sum ^= h.Sum64()
	}
	return sum
}

// ordered reports whether the objects stand in the order of their IDs, each once.
func (d Document) ordered() bool {
	for i := 1; i < len(d.Objects); i++ {
		if strings.Compare(d.Objects[i-1].ID().String(), d.Objects[i].ID().String()) >= 0 {
			return false
		}
	}
	return true
}

// Sorted returns the document with its objects in the order of their IDs.
func (d Document) Sorted() Document {
	d.Objects = slices.Clone(d.Objects)
	slices.SortFunc(d.Objects, func(a, b Object) int { return strings.Compare(a.ID().String(), b.ID().String()) })
	return d
}

// Revert returns the change that leads from a document to the content of an old one.
func Revert(d, old Document) Change {
	change := Change{Upserts: old.Objects}
	for _, o := range d.Objects {
		if _, stays := old.find(o.ID()); !stays {
			change.Deletes = append(change.Deletes, o.ID().String())
		}
	}
	return change
}
