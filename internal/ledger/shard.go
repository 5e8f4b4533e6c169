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
	// sealThresholdBytes is the size of a head at which its entries move to a
	// segment. References to segments are not counted.
	sealThresholdBytes = 48 << 10
	// mergeThreshold is the number of segments at which a merge starts.
	mergeThreshold = 24
	// maxMergedBytes is the maximum total size of segments that are merged into
	// one. It must be below objectstore.MaxValueBytes.
	maxMergedBytes = 768 << 10
	// commitRetryInterval is the delay between two attempts to commit.
	commitRetryInterval = 5 * time.Millisecond
	// retentionMargin is added to the retention, so that a key is refused as
	// expired before its entry is removed.
	retentionMargin = 2 * MaxClockSkew
)

// errHeadChanged means that another node has changed the head since it was
// read, so the commit must read it again.
var errHeadChanged = errors.New("ledger: head has moved")

// shard is one shard of the ledger with this node's cache of it. Any node may
// commit, since the conditional update of the head resolves races. Usually one
// node per shard is the writer, which keeps its cached head up to date.
type shard struct {
	index uint32
	store objectstore.Store
	opts  Options

	mu sync.Mutex
	// loaded means that the cache holds the head as last read or written.
	loaded  bool
	version uint64
	head    *peerrpc.ShardHead
	entries *entryIndex
	// loadedSegments holds the keys of the segments whose entries are cached.
	loadedSegments map[string]bool
}

func newShard(index uint32, store objectstore.Store, opts Options) *shard {
	return &shard{index: index, store: store, opts: opts}
}

func (s *shard) headKey() string { return fmt.Sprintf("ledger/%04d/head", s.index) }

func (s *shard) segmentKey() string {
	return fmt.Sprintf("ledger/%04d/segment/%s", s.index, uuid.NewString())
}

// commit checks the proposed entries and stores the accepted ones in one
// conditional update. It retries until ctx is done, but not if the object store
// is unavailable. After an error the entries may or may not be stored.
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
		case <-time.After(commitRetryInterval):
		}
	}
}

func (s *shard) tryCommit(ctx context.Context, proposed []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	cached := s.loaded
	if err := s.load(ctx); err != nil {
		return nil, err
	}
	results, added := s.decideEntries(proposed)
	if len(added) == 0 && cached && anyRejected(results) {
		// Only a write confirms that the cached head is current, so read the
		// head before rejecting an entry.
		s.loaded = false
		return s.tryCommit(ctx, proposed)
	}
	if len(added) == 0 {
		return results, nil
	}
	return results, s.writeHead(ctx, added)
}

func anyRejected(results []*peerrpc.CommitResult) bool {
	return slices.ContainsFunc(results, func(r *peerrpc.CommitResult) bool { return !r.GetAccepted() })
}

// decideEntries checks the proposed entries in order, taking those accepted
// earlier in the batch into account. It returns a result for each entry, and the
// new entries to store.
func (s *shard) decideEntries(proposed []*peerrpc.Entry) ([]*peerrpc.CommitResult, []*peerrpc.Entry) {
	results := make([]*peerrpc.CommitResult, len(proposed))
	batch := make(map[Key]*peerrpc.Entry)
	var added []*peerrpc.Entry
	sequence := s.head.GetNextSequence()
	for i, entry := range proposed {
		existing := batch[keyOf(entry)]
		if existing == nil {
			existing = s.entries.byKey[keyOf(entry)]
		}
		d := decide(existing, entry)
		if d.write && s.isExpiredClaim(entry) {
			d = decision{}
		}
		results[i] = &peerrpc.CommitResult{Accepted: d.accepted, Existing: d.existing}
		if !d.write {
			continue
		}
		sequence++
		stored := proto.Clone(entry).(*peerrpc.Entry)
		stored.Sequence = sequence
		batch[keyOf(entry)] = stored
		added = append(added, stored)
	}
	return results, added
}

// isExpiredClaim reports whether entry is a claim of a key that ParseKey no
// longer accepts, since it is older than the retention. The key was checked
// before, but the claiming node may have been paused since.
func (s *shard) isExpiredClaim(entry *peerrpc.Entry) bool {
	if entry.GetState() != peerrpc.EntryState_ENTRY_STATE_CLAIMED {
		return false
	}
	_, err := ParseKey(s.opts.Now(), entry.GetOrganisation(), entry.GetKey(), s.opts.Retention)
	return isExpiredKey(err)
}

// writeHead stores the new entries in a conditional update of the head and
// updates the cache.
func (s *shard) writeHead(ctx context.Context, added []*peerrpc.Entry) error {
	next, err := s.nextHead(ctx, added)
	if err != nil {
		return err
	}
	raw, err := proto.Marshal(next)
	if err != nil {
		return fmt.Errorf("ledger: encode head: %w", err)
	}
	object, err := s.store.Put(ctx, s.headKey(), raw, s.version)
	if errors.Is(err, objectstore.ErrConflict) {
		return errHeadChanged
	}
	if err != nil {
		return fmt.Errorf("ledger: write head: %w", err)
	}
	s.deleteUnreferenced(ctx, next)
	s.head = next
	s.version = object.Version
	s.entries.add(added)
	return nil
}

// nextHead returns the head with the new entries appended. If it becomes too
// large, it first moves the old entries to a new segment.
func (s *shard) nextHead(ctx context.Context, added []*peerrpc.Entry) (*peerrpc.ShardHead, error) {
	next := &peerrpc.ShardHead{
		Entries:      append(append([]*peerrpc.Entry(nil), s.head.GetEntries()...), added...),
		Segments:     s.retainedSegments(),
		NextSequence: added[len(added)-1].GetSequence(),
	}
	if proto.Size(next) < sealThresholdBytes+len(next.Segments)*segmentRefBytes {
		return next, nil
	}
	ref, err := s.seal(ctx, s.head.GetEntries())
	if err != nil {
		return nil, err
	}
	next.Entries = added
	next.Segments = append(next.Segments, ref)
	if len(next.Segments) < mergeThreshold {
		return next, nil
	}
	return s.mergeSegments(ctx, next)
}

// segmentRefBytes is the approximate encoded size of a reference to a segment.
const segmentRefBytes = 80

// seal writes the entries as a new segment and returns a reference to it. It
// does not change the head.
func (s *shard) seal(ctx context.Context, entries []*peerrpc.Entry) (*peerrpc.SegmentRef, error) {
	raw, err := proto.Marshal(&peerrpc.Segment{Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("ledger: encode segment: %w", err)
	}
	key := s.segmentKey()
	if _, err := s.store.Put(ctx, key, raw, 0); err != nil {
		return nil, fmt.Errorf("ledger: write segment: %w", err)
	}
	s.loadedSegments[key] = true
	return &peerrpc.SegmentRef{Key: key, NewestUnixMs: newestUnixMS(entries), Bytes: uint32(len(raw))}, nil
}

// newestUnixMS returns the time of the newest entry, in Unix milliseconds.
func newestUnixMS(entries []*peerrpc.Entry) int64 {
	var at int64
	for _, e := range entries {
		at = max(at, e.GetAtUnixMs())
	}
	return at
}

// retainedSegments returns the segments that have entries within the retention
// and its margin.
func (s *shard) retainedSegments() []*peerrpc.SegmentRef {
	oldest := s.oldestRetained().UnixMilli()
	var retained []*peerrpc.SegmentRef
	for _, ref := range s.head.GetSegments() {
		if ref.GetNewestUnixMs() >= oldest {
			retained = append(retained, ref)
		}
	}
	return retained
}

// oldestRetained returns the time before which entries are removed.
func (s *shard) oldestRetained() time.Time {
	return s.opts.Now().Add(-s.opts.Retention - retentionMargin)
}

// mergeSegments replaces the longest run of neighbouring segments that fits
// into one segment by that segment. It modifies head and returns it.
func (s *shard) mergeSegments(ctx context.Context, head *peerrpc.ShardHead) (*peerrpc.ShardHead, error) {
	from, to := longestMergeableRun(head.GetSegments())
	if to-from < 2 {
		return head, nil
	}
	merged := newEntryIndex()
	for _, ref := range head.GetSegments()[from:to] {
		segment, err := s.readSegment(ctx, ref.GetKey())
		if err != nil {
			return nil, err
		}
		merged.add(segment.GetEntries())
	}
	entries := make([]*peerrpc.Entry, 0, len(merged.byKey))
	for _, e := range merged.byKey {
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

// longestMergeableRun returns the longest run of neighbouring segments whose
// total size is at most maxMergedBytes, as the half-open range from, to. Of
// several such runs it returns the first.
func longestMergeableRun(refs []*peerrpc.SegmentRef) (from, to int) {
	start, size := 0, 0
	for end, ref := range refs {
		size += int(ref.GetBytes())
		for size > maxMergedBytes {
			size -= int(refs[start].GetBytes())
			start++
		}
		if end+1-start > to-from {
			from, to = start, end+1
		}
	}
	return from, to
}

// deleteUnreferenced deletes the segments that next no longer refers to, and
// removes expired entries from the cache. A segment that can't be deleted only
// takes up space in the object store.
func (s *shard) deleteUnreferenced(ctx context.Context, next *peerrpc.ShardHead) {
	referenced := make(map[string]bool, len(next.GetSegments()))
	for _, ref := range next.GetSegments() {
		referenced[ref.GetKey()] = true
	}
	anyDeleted := false
	for _, ref := range s.head.GetSegments() {
		if referenced[ref.GetKey()] {
			continue
		}
		anyDeleted = true
		delete(s.loadedSegments, ref.GetKey())
		if object, err := s.store.Get(ctx, ref.GetKey()); err == nil {
			_ = s.store.Delete(ctx, ref.GetKey(), object.Version)
		}
	}
	if anyDeleted {
		s.entries.removeBefore(s.oldestRetained())
	}
}

// load reads the head and the segments that are not in the cache yet, unless the
// cache is current.
func (s *shard) load(ctx context.Context) error {
	if s.loaded {
		return nil
	}
	head, version, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	if s.entries == nil {
		s.entries = newEntryIndex()
		s.loadedSegments = make(map[string]bool)
	}
	for _, ref := range head.GetSegments() {
		if s.loadedSegments[ref.GetKey()] {
			continue
		}
		segment, err := s.readSegment(ctx, ref.GetKey())
		if errors.Is(err, objectstore.ErrNotFound) {
			return errHeadChanged
		}
		if err != nil {
			return err
		}
		s.entries.add(segment.GetEntries())
		s.loadedSegments[ref.GetKey()] = true
	}
	s.entries.add(head.GetEntries())
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

// lookup returns the newest entry of a key, after reading the head. It returns
// nil if the key has none.
func (s *shard) lookup(ctx context.Context, key Key) (*peerrpc.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.loaded = false
		err := s.load(ctx)
		if errors.Is(err, errHeadChanged) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return nil, err
		}
		return s.entries.byKey[key], nil
	}
}

// reload reads the head even if the cache is current.
func (s *shard) reload(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded = false
	return s.load(ctx)
}
