package ledger

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// book is the folded records of one shard: for each key the one with the
// highest sequence.
type book struct {
	entries map[Key]*peerrpc.Entry
}

func newBook() *book { return &book{entries: make(map[Key]*peerrpc.Entry)} }

func (b *book) add(entries []*peerrpc.Entry) {
	for _, e := range entries {
		key := keyOf(e)
		if old := b.entries[key]; old == nil || old.GetSequence() < e.GetSequence() {
			b.entries[key] = e
		}
	}
}

// forget removes entries that are older than the time given.
func (b *book) forget(before time.Time) {
	for key, e := range b.entries {
		if e.GetAtUnixMs() < before.UnixMilli() {
			delete(b.entries, key)
		}
	}
}

// decision is what becomes of one proposed record.
type decision struct {
	accepted bool
	// write says that the record is new and must be stored.
	write    bool
	existing *peerrpc.Entry
}

// decide applies the rules of the ledger to a proposed record:
//
//   - a claim stands if its key has no record or a released one of another nonce;
//   - a release and an outcome stand only on the claim with their own nonce;
//   - a record that stands already is accepted again without a write.
//
// A release without any claim is stored, so that its claim can't come in late.
func decide(existing, proposed *peerrpc.Entry) decision {
	same := existing != nil && bytes.Equal(existing.GetNonce(), proposed.GetNonce())
	if same && existing.GetState() == proposed.GetState() {
		return decision{accepted: true, existing: existing}
	}
	var stands bool
	switch proposed.GetState() {
	case peerrpc.EntryState_ENTRY_STATE_CLAIMED:
		released := existing.GetState() == peerrpc.EntryState_ENTRY_STATE_RELEASED
		stands = existing == nil || released && !same
	case peerrpc.EntryState_ENTRY_STATE_RELEASED:
		stands = existing == nil || same && existing.GetState() == peerrpc.EntryState_ENTRY_STATE_CLAIMED
	case peerrpc.EntryState_ENTRY_STATE_RAN, peerrpc.EntryState_ENTRY_STATE_MAY_HAVE_RUN:
		stands = same && existing.GetState() == peerrpc.EntryState_ENTRY_STATE_CLAIMED
	}
	return decision{accepted: stands, write: stands, existing: existing}
}

// decodeHead decodes and checks a shard's head.
func decodeHead(raw []byte) (*peerrpc.ShardHead, error) {
	head := new(peerrpc.ShardHead)
	if err := proto.Unmarshal(raw, head); err != nil {
		return nil, fmt.Errorf("ledger: head: %w", err)
	}
	for _, ref := range head.GetSegments() {
		if ref.GetKey() == "" {
			return nil, fmt.Errorf("ledger: head: segment without a key")
		}
	}
	return head, checkEntries("head", head.GetEntries())
}

// decodeSegment decodes and checks a sealed segment.
func decodeSegment(raw []byte) (*peerrpc.Segment, error) {
	segment := new(peerrpc.Segment)
	if err := proto.Unmarshal(raw, segment); err != nil {
		return nil, fmt.Errorf("ledger: segment: %w", err)
	}
	return segment, checkEntries("segment", segment.GetEntries())
}

func checkEntries(where string, entries []*peerrpc.Entry) error {
	for i, e := range entries {
		if err := checkEntry(e); err != nil {
			return fmt.Errorf("ledger: %s: entry %d: %w", where, i, err)
		}
	}
	return nil
}

func checkEntry(e *peerrpc.Entry) error {
	switch {
	case e.GetOrganisation() == "":
		return fmt.Errorf("organisation is empty")
	case e.GetKey() == "":
		return fmt.Errorf("key is empty")
	case len(e.GetNonce()) == 0:
		return fmt.Errorf("nonce is empty")
	case e.GetState() == peerrpc.EntryState_ENTRY_STATE_UNSPECIFIED:
		return fmt.Errorf("state is unspecified")
	case e.GetState() > peerrpc.EntryState_ENTRY_STATE_MAY_HAVE_RUN:
		return fmt.Errorf("state %d is unknown", e.GetState())
	}
	return nil
}
