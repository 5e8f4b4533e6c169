package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	// sealBytes is the size of a head whose entries move to a segment.
	sealBytes = 48 << 10
	// mergeCount is the number of segments that sets off a merge.
	mergeCount = 24
	// mergedBytes bounds a merged segment.
	mergedBytes = 768 << 10
	// retryPause is the wait between two attempts of a commit.
	retryPause = 5 * time.Millisecond
	// retentionSlack is kept beyond the retention, so that a key is refused as
	// expired before its record is dropped.
	retentionSlack = 2 * MaxClockSkew
)

// errRetry means that the head has moved and the commit must start anew.
var errRetry = errors.New("ledger: head has moved")

// shard is one shard of the ledger as this node sees it. Any node may commit:
// only the conditional update of the head decides. One node per shard is the
// usual writer, so that its cache of the head is fresh.
type shard struct {
	index uint32
	store objectstore.Store
	opts  Options

	mu      sync.Mutex
	loaded  bool
	version uint64
	head    *peerrpc.ShardHead
	book    *book
	sealed  map[string]bool
}

func newShard(index uint32, store objectstore.Store, opts Options) *shard {
	return &shard{index: index, store: store, opts: opts}
}

func (s *shard) headKey() string { return fmt.Sprintf("ledger/%04d/head", s.index) }

func (s *shard) segmentKey() string {
	return fmt.Sprintf("ledger/%04d/segment/%s", s.index, uuid.NewString())
}

// commit decides on the proposed records and stores those that stand in one
// conditional update. It tries until ctx ends. On an error the records may or
// may not stand.
func (s *shard) commit(ctx context.Context, proposed []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		results, err := s.tryCommit(ctx, proposed)
		if err == nil {
			return results, nil
		}
		s.loaded = false
		if errors.Is(err, objectstore.ErrUnavailable) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("ledger: commit: %w: %w", ctx.Err(), err)
		case <-time.After(retryPause):
		}
	}
}

func (s *shard) tryCommit(ctx context.Context, proposed []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	cached := s.loaded
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	results, fresh := s.decideAll(proposed)
	if len(fresh) == 0 && cached && anyRefused(results) {
		// Without a write nothing has shown that the cache is up to date.
		s.loaded = false
		return s.tryCommit(ctx, proposed)
	}
	if len(fresh) == 0 {
		return results, nil
	}
	return results, s.write(ctx, fresh)
}

func anyRefused(results []*peerrpc.CommitResult) bool {
	return slices.ContainsFunc(results, func(r *peerrpc.CommitResult) bool { return !r.GetAccepted() })
}

// decideAll decides on the records in order, each in view of those before it.
func (s *shard) decideAll(proposed []*peerrpc.Entry) ([]*peerrpc.CommitResult, []*peerrpc.Entry) {
	results := make([]*peerrpc.CommitResult, len(proposed))
	batch := make(map[Key]*peerrpc.Entry)
	var fresh []*peerrpc.Entry
	sequence := s.head.GetNextSequence()
	for i, p := range proposed {
		existing := batch[keyOf(p)]
		if existing == nil {
			existing = s.book.entries[keyOf(p)]
		}
		d := decide(existing, p)
		if d.write && s.tooLate(p) {
			d = decision{}
		}
		results[i] = &peerrpc.CommitResult{Accepted: d.accepted, Existing: d.existing}
		if !d.write {
			continue
		}
		sequence++
		record := proto.Clone(p).(*peerrpc.Entry)
		record.Sequence = sequence
		batch[keyOf(p)] = record
		fresh = append(fresh, record)
	}
	return results, fresh
}

// tooLate reports whether a claim's key has left the retention. Its holder may
// have been paused since it checked.
func (s *shard) tooLate(p *peerrpc.Entry) bool {
	if p.GetState() != peerrpc.EntryState_ENTRY_STATE_CLAIMED {
		return false
	}
	_, err := ParseKey(s.opts.Now(), p.GetOrganisation(), p.GetKey(), s.opts.Retention)
	return err != nil
}

func (s *shard) write(ctx context.Context, fresh []*peerrpc.Entry) error {
	next, err := s.nextHead(ctx, fresh)
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("ledger: encode head: %w", err)
	}
	object, err := s.store.Put(ctx, s.headKey(), raw, s.version)
	if errors.Is(err, objectstore.ErrConflict) {
		return errRetry
	}
	if err != nil {
		return fmt.Errorf("ledger: write head: %w", err)
	}
	s.drop(ctx, next)
	s.head = next
	s.version = object.Version
	s.book.add(fresh)
	return nil
}

// nextHead returns the head with the records appended. A head grown large moves
// its entries to a new segment first.
func (s *shard) nextHead(ctx context.Context, fresh []*peerrpc.Entry) (*peerrpc.ShardHead, error) {
	next := &peerrpc.ShardHead{
		Entries:      append(append([]*peerrpc.Entry(nil), s.head.GetEntries()...), fresh...),
		Segments:     s.retained(),
		NextSequence: fresh[len(fresh)-1].GetSequence(),
	}
	if proto.Size(next) < sealBytes+len(next.Segments)*segmentRefBytes {
		return next, nil
	}
	ref, err := s.seal(ctx, s.head.GetEntries())
	if err != nil {
		return nil, err
	}
	next.Entries = fresh
	next.Segments = append(next.Segments, ref)
	if len(next.Segments) < mergeCount {
		return next, nil
	}
	return s.merged(ctx, next)
}

// segmentRefBytes is about the encoded size of a reference to a segment.
const segmentRefBytes = 80

func (s *shard) seal(ctx context.Context, entries []*peerrpc.Entry) (*peerrpc.SegmentRef, error) {
	raw, err := proto.Marshal(&peerrpc.Segment{Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("ledger: encode segment: %w", err)
	}
	key := s.segmentKey()
	if _, err := s.store.Put(ctx, key, raw, 0); err != nil {
		return nil, fmt.Errorf("ledger: write segment: %w", err)
	}
	s.sealed[key] = true
	return &peerrpc.SegmentRef{Key: key, NewestUnixMs: newest(entries), Bytes: uint32(len(raw))}, nil
}

func newest(entries []*peerrpc.Entry) int64 {
	var at int64
	for _, e := range entries {
		at = max(at, e.GetAtUnixMs())
	}
	return at
}

// retained returns the segments that are still needed.
func (s *shard) retained() []*peerrpc.SegmentRef {
	oldest := s.oldest().UnixMilli()
	var kept []*peerrpc.SegmentRef
	for _, ref := range s.head.GetSegments() {
		if ref.GetNewestUnixMs() >= oldest {
			kept = append(kept, ref)
		}
	}
	return kept
}

func (s *shard) oldest() time.Time {
	return s.opts.Now().Add(-s.opts.Retention - retentionSlack)
}

// merged joins the first run of small segments that fits into one object.
func (s *shard) merged(ctx context.Context, head *peerrpc.ShardHead) (*peerrpc.ShardHead, error) {
	from, to := mergeRun(head.GetSegments())
	if to-from < 2 {
		return head, nil
	}
	joined := newBook()
	for _, ref := range head.GetSegments()[from:to] {
		segment, err := s.readSegment(ctx, ref.GetKey())
		if err != nil {
			return nil, err
		}
		joined.add(segment.GetEntries())
	}
	entries := make([]*peerrpc.Entry, 0, len(joined.entries))
	for _, e := range joined.entries {
		entries = append(entries, e)
	}
	ref, err := s.seal(ctx, entries)
	if err != nil {
		return nil, err
	}
	segments := append([]*peerrpc.SegmentRef(nil), head.GetSegments()[:from]...)
	segments = append(segments, ref)
	head.Segments = append(segments, head.GetSegments()[to:]...)
	return head, nil
}

// mergeRun returns the longest run of neighbouring segments that fit into one.
func mergeRun(refs []*peerrpc.SegmentRef) (from, to int) {
	start, size := 0, 0
	for end, ref := range refs {
		size += int(ref.GetBytes())
		for size > mergedBytes {
			size -= int(refs[start].GetBytes())
			start++
		}
		if end+1-start > to-from {
			from, to = start, end+1
		}
	}
	return from, to
}

// drop deletes the segments that next does not name any more. A segment that
// can't be deleted costs room and nothing else.
func (s *shard) drop(ctx context.Context, next *peerrpc.ShardHead) {
	kept := make(map[string]bool, len(next.GetSegments()))
	for _, ref := range next.GetSegments() {
		kept[ref.GetKey()] = true
	}
	dropped := false
	for _, ref := range s.head.GetSegments() {
		if kept[ref.GetKey()] {
			continue
		}
		dropped = true
		delete(s.sealed, ref.GetKey())
		if object, err := s.store.Get(ctx, ref.GetKey()); err == nil {
			_ = s.store.Delete(ctx, ref.GetKey(), object.Version)
		}
	}
	if dropped {
		s.book.forget(s.oldest())
	}
}

// load brings the head and the index up to date, if they are not.
func (s *shard) load(ctx context.Context) error {
	if s.loaded {
		return nil
	}
	head, version, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if s.book == nil {
		s.book = newBook()
		s.sealed = make(map[string]bool)
	}
	for _, ref := range head.GetSegments() {
		if s.sealed[ref.GetKey()] {
			continue
		}
		segment, err := s.readSegment(ctx, ref.GetKey())
		if errors.Is(err, objectstore.ErrNotFound) {
			return errRetry
		}
		if err != nil {
			return err
		}
		s.book.add(segment.GetEntries())
		s.sealed[ref.GetKey()] = true
	}
	s.book.add(head.GetEntries())
	s.head = head
	s.version = version
	s.loaded = true
	return nil
}

func (s *shard) readHead(ctx context.Context) (*peerrpc.ShardHead, uint64, error) {
	object, err := s.store.Get(ctx, s.headKey())
	if errors.Is(err, objectstore.ErrNotFound) {
		return new(peerrpc.ShardHead), 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("ledger: read head: %w", err)
	}
	head, err := decodeHead(object.Value)
	return head, object.Version, err
}

func (s *shard) readSegment(ctx context.Context, key string) (*peerrpc.Segment, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("ledger: read segment: %w", err)
	}
	return decodeSegment(object.Value)
}

// look returns the newest record of a key, after reading the head again.
func (s *shard) look(ctx context.Context, key Key) (*peerrpc.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.loaded = false
		err := s.load(ctx)
		if errors.Is(err, errRetry) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return nil, err
		}
		return s.book.entries[key], nil
	}
}

// reload reads the head anew.
func (s *shard) reload(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
	return s.load(ctx)
}
