package ledger

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// entryIndex holds the entry with the highest sequence for each key of one shard.
type entryIndex struct {
	byKey map[Key]*peerrpc.Entry
}

func newEntryIndex() *entryIndex { return &entryIndex{byKey: make(map[Key]*peerrpc.Entry)} }

func (x *entryIndex) add(entries []*peerrpc.Entry) {
	for _, e := range entries {
		key := keyOf(e)
		if old := x.byKey[key]; old == nil || old.GetSequence() < e.GetSequence() {
			x.byKey[key] = e
		}
	}
}

// removeBefore removes the entries that are older than the given time.
func (x *entryIndex) removeBefore(cutoff time.Time) {
	for key, e := range x.byKey {
		if e.GetAtUnixMs() < cutoff.UnixMilli() {
			delete(x.byKey, key)
		}
	}
}

// decision is the result of checking a proposed entry against the existing one.
type decision struct {
	accepted bool
	// write means that the proposed entry is new and must be stored.
	write bool
	// existing is the key's entry before the proposed one, or nil.
	existing *peerrpc.Entry
}

// decide checks a proposed entry against the key's existing entry:
//
//   - A claim is accepted if the key has no entry or was released with another
//     nonce.
//   - An outcome is accepted if the key is claimed with the same nonce.
//   - A release is accepted if the key is claimed with the same nonce or has no
//     entry.
//   - An entry that is already stored is accepted without a write.
//
// A release for a key without an entry is stored so that a delayed claim with
// its nonce is rejected.
func decide(existing, proposed *peerrpc.Entry) decision {
	sameNonce := existing != nil && bytes.Equal(existing.GetNonce(), proposed.GetNonce())
	if sameNonce && existing.GetState() == proposed.GetState() {
		return decision{accepted: true, existing: existing}
	}
	var accepted bool
	switch proposed.GetState() {
	case peerrpc.EntryState_ENTRY_STATE_CLAIMED:
		released := existing.GetState() == peerrpc.EntryState_ENTRY_STATE_RELEASED
		accepted = existing == nil || released && !sameNonce
	case peerrpc.EntryState_ENTRY_STATE_RELEASED:
		accepted = existing == nil || sameNonce && existing.GetState() == peerrpc.EntryState_ENTRY_STATE_CLAIMED
	case peerrpc.EntryState_ENTRY_STATE_RAN, peerrpc.EntryState_ENTRY_STATE_MAY_HAVE_RUN:
		accepted = sameNonce && existing.GetState() == peerrpc.EntryState_ENTRY_STATE_CLAIMED
	}
	return decision{accepted: accepted, write: accepted, existing: existing}
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
