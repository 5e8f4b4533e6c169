package ledger

import "github.com/hibiscuscove/hibiscuscove/internal/peerrpc"

// DecodeHead and DecodeSegment are the codecs, for fuzzing.
var (
	DecodeHead    = decodeHead
	DecodeSegment = decodeSegment
)

// Fold returns how many keys the entries hold.
func Fold(entries []*peerrpc.Entry) int {
	b := newBook()
	b.add(entries)
	return len(b.entries)
}
