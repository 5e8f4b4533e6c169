package ledger

import "github.com/hibiscuscove/hibiscuscove/internal/peerrpc"

// DecodeHead and DecodeSegment are the decoders of stored objects, for fuzzing.
var (
	DecodeHead    = decodeHead
	DecodeSegment = decodeSegment
)

// CountKeys returns the number of distinct keys of the entries.
func CountKeys(entries []*peerrpc.Entry) int {
	x := newEntryIndex()
	x.add(entries)
	return len(x.byKey)
}
