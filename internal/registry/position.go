package registry

import "cmp"

// Position is a place in the history of the store. The era rises when the store
// comes back from a copy. Revisions then go back and are given out again, so that
// they are comparable within one era only. Stores that have no eras are in era 0.
type Position struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
