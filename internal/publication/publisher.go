package publication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// HeadKey is the key of the head object, which holds the history of
	// generations.
	HeadKey = "configuration/head"

	// segmentCount is the number of segments of a document. Stored heads depend
	// on it.
	segmentCount         = 64
	maxHistoryEntries    = 100
	maxParallelReads     = 16
	publishRetryInterval = 50 * time.Millisecond
	publishTimeout       = 10 * time.Second
)

// HistoryEntry describes one generation in the history.
type HistoryEntry struct {
	Generation uint64    `json:"generation"`
	ChangeID   string    `json:"change_id"`
	Author     string    `json:"author,omitempty"`
	At         time.Time `json:"at"`
	Changed    []string  `json:"changed,omitempty"`
	// Segments are the object store keys of the segments, by segment number. The
	// key of a segment that has always been empty is "".
	Segments []string `json:"segments"`
	Digest   uint64   `json:"digest"`
}

// head is the stored form of the head object. The last entry of its history is
// the newest generation.
type head struct {
	History []HistoryEntry `json:"history"`
}

func (h head) newest() HistoryEntry {
	if len(h.History) == 0 {
		return HistoryEntry{}
	}
	return h.History[len(h.History)-1]
}

// findChange returns the generation that published the change with the given ID.
func (h head) findChange(id string) (HistoryEntry, bool) {
	i := slices.IndexFunc(h.History, func(e HistoryEntry) bool { return e.ChangeID == id })
	if i < 0 {
		return HistoryEntry{}, false
	}
	return h.History[i], true
}

// Result is the result of publishing a change.
type Result struct {
	// Generation is the generation that contains the change.
	Generation uint64 `json:"generation"`
	// AlreadyApplied means that the change was published before or changes nothing.
	AlreadyApplied bool `json:"already,omitempty"`
	contract.Outcome
	// Document is the newest generation at the time of the call.
	Document contract.Document `json:"-"`
}

// Publisher publishes changes to the object store and reads documents from it.
type Publisher struct {
	store objectstore.Store

	mu sync.Mutex
	// cached holds the segments of the last document read, by key. Segments are
	// immutable, so only new ones are read for the next document.
	cached map[string]segment
}

// NewPublisher returns a Publisher that uses the store.
func NewPublisher(store objectstore.Store) *Publisher { return &Publisher{store: store} }

// Publish applies a change to the newest generation and publishes the result as
// a new generation. It may be called again with the same change, which its ID
// identifies. An error has the verdict MayHaveRun if the change may have been
// published.
func (p *Publisher) Publish(ctx context.Context, now time.Time, change contract.Change) (Result, error) {
	return p.publish(ctx, now, change.ID, change.Author, func(d contract.Document) (contract.Document, contract.Outcome) {
		return d.WithChange(change)
	})
}

// Rollback publishes a new generation with the content of an old one. If the old
// one is not in the history, it returns the error generation_unknown.
func (p *Publisher) Rollback(ctx context.Context, now time.Time, id, author string, generation uint64) (Result, error) {
	h, _, err := p.readHead(ctx)
	if err != nil {
		return Result{}, unavailableError(verdict.NotRun, err)
	}
	i := slices.IndexFunc(h.History, func(e HistoryEntry) bool { return e.Generation == generation })
	if i < 0 {
		return Result{}, verdict.New(verdict.NotRun, http.StatusNotFound, "generation_unknown",
			fmt.Sprintf("generation %d is not in the history", generation)).WithObject("configuration", "generation")
	}
	old, err := p.readDocument(ctx, h.History[i])
	if err != nil {
		return Result{}, unavailableError(verdict.NotRun, err)
	}
	return p.publish(ctx, now, id, author, func(d contract.Document) (contract.Document, contract.Outcome) {
		return d.WithChange(contract.Revert(d, old))
	})
}

// publish calls attemptPublish until it succeeds, publishTimeout has passed or
// ctx is done.
func (p *Publisher) publish(ctx context.Context, now time.Time, id, author string, apply func(contract.Document) (contract.Document, contract.Outcome)) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	outcome := verdict.NotRun
	for {
		result, err := p.attemptPublish(ctx, now, id, author, apply)
		if err == nil {
			return result, nil
		}
		if !objectstore.IsNotWritten(err) && !errors.Is(err, errNotWritten) {
			outcome = verdict.MayHaveRun
		}
		select {
		case <-ctx.Done():
			return Result{}, unavailableError(outcome, err)
		case <-time.After(publishRetryInterval):
		}
	}
}

// errNotWritten marks a failure before the write of the head, so the change has
// not been published.
var errNotWritten = errors.New("publication: head not written")

func unavailableError(v verdict.Verdict, err error) error {
	const retryAfter = 2 * time.Second
	return verdict.New(v, http.StatusServiceUnavailable, "platform_unavailable",
		"the platform did not confirm the change; send the same change again").
		WithRetryAfter(retryAfter).WithCause(err)
}

// attemptPublish applies a change to the newest generation and publishes the
// result, without retries.
func (p *Publisher) attemptPublish(ctx context.Context, now time.Time, id, author string, apply func(contract.Document) (contract.Document, contract.Outcome)) (Result, error) {
	h, version, err := p.readHead(ctx)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	document, err := p.readDocument(ctx, h.newest())
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if e, found := h.findChange(id); found {
		return Result{Generation: e.Generation, AlreadyApplied: true, Document: document}, nil
	}
	next, outcome := apply(document)
	if !outcome.OK() || len(outcome.Changed) == 0 {
		return Result{Generation: document.Generation, AlreadyApplied: outcome.OK(), Outcome: outcome, Document: document}, nil
	}
	entry := HistoryEntry{Generation: next.Generation, ChangeID: id, Author: author, At: now.UTC(), Changed: outcome.Changed, Digest: next.Digest()}
	entry.Segments, err = p.writeSegments(ctx, h.newest(), document, next)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if err := p.writeHead(ctx, h, version, entry); err != nil {
		return Result{}, err
	}
	return Result{Generation: next.Generation, Outcome: outcome, Document: next}, nil
}

// writeHead appends the entry to the history, without its oldest entries if it
// becomes too long. It deletes the segments that are no longer needed.
func (p *Publisher) writeHead(ctx context.Context, h head, version uint64, entry HistoryEntry) error {
	next := head{History: append(slices.Clone(h.History), entry)}
	var retired []HistoryEntry
	if extra := len(next.History) - maxHistoryEntries; extra > 0 {
		retired = next.History[:extra+1]
		next.History = next.History[extra:]
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("publication: encode head: %w", err)
	}
	if _, err := p.store.Put(ctx, HeadKey, raw, version); err != nil {
		return fmt.Errorf("publication: write head: %w", err)
	}
	p.deleteRetired(ctx, retired)
	return nil
}

// deleteRetired deletes the segments that were used only by entries removed from
// the history. The last entry of retired is the oldest one that stays.
func (p *Publisher) deleteRetired(ctx context.Context, retired []HistoryEntry) {
	for i := 0; i+1 < len(retired); i++ {
		for number, key := range retired[i].Segments {
			if key == "" || retired[i+1].Segments[number] == key {
				continue
			}
			if object, err := p.store.Get(ctx, key); err == nil {
				_ = p.store.Delete(ctx, key, object.Version)
			}
		}
	}
}

func (p *Publisher) readHead(ctx context.Context) (head, uint64, error) {
	object, err := p.store.Get(ctx, HeadKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, fmt.Errorf("publication: read head: %w", err)
	}
	h, err := decodeHead(object.Value)
	return h, object.Version, err
}

func decodeHead(raw []byte) (head, error) {
	var h head
	if err := json.Unmarshal(raw, &h); err != nil {
		return head{}, fmt.Errorf("publication: decode head: %w", err)
	}
	for _, e := range h.History {
		if len(e.Segments) != segmentCount {
			return head{}, fmt.Errorf("publication: decode head: generation %d has %d segments, want %d", e.Generation, len(e.Segments), segmentCount)
		}
	}
	return h, nil
}

// segment is the stored form of the objects of a document that share a segment
// number, and of the deletions of such objects.
type segment struct {
	Objects []contract.Object `json:"objects,omitempty"`
	Deleted map[string]uint64 `json:"deleted,omitempty"`
}

// segmentNumber returns the segment number of an object, given its ID.
func segmentNumber(name string) int { return int(xxhash.Sum64String(name) % segmentCount) }

// splitSegments divides a document into its segments.
func splitSegments(d contract.Document) [segmentCount]segment {
	var parts [segmentCount]segment
	for _, o := range d.Objects {
		part := &parts[segmentNumber(o.ID().String())]
		part.Objects = append(part.Objects, o)
	}
	for name, at := range d.Deleted {
		part := &parts[segmentNumber(name)]
		if part.Deleted == nil {
			part.Deleted = make(map[string]uint64)
		}
		part.Deleted[name] = at
	}
	return parts
}

// writeSegments writes the segments that differ between document and next, and
// returns the keys of all segments of next. current is the history entry of
// document.
func (p *Publisher) writeSegments(ctx context.Context, current HistoryEntry, document, next contract.Document) ([]string, error) {
	keys := make([]string, segmentCount)
	copy(keys, current.Segments)
	old, parts := splitSegments(document), splitSegments(next)
	for i := range parts {
		oldRaw, err := json.Marshal(old[i])
		if err != nil {
			return nil, fmt.Errorf("publication: encode segment: %w", err)
		}
		raw, err := json.Marshal(parts[i])
		if err != nil {
			return nil, fmt.Errorf("publication: encode segment: %w", err)
		}
		if string(raw) == string(oldRaw) {
			continue
		}
		keys[i] = fmt.Sprintf("configuration/segment/%d-%d-%s", next.Generation, i, uuid.NewString())
		if _, err := p.store.Put(ctx, keys[i], raw, 0); err != nil {
			return nil, fmt.Errorf("publication: write segment: %w", err)
		}
	}
	return keys, nil
}

// readDocument reads the document of a generation. Segments of the last document
// read are not read again.
func (p *Publisher) readDocument(ctx context.Context, e HistoryEntry) (contract.Document, error) {
	parts := make([]segment, segmentCount)
	p.mu.Lock()
	cached := p.cached
	p.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, key := range e.Segments {
		if key == "" {
			continue
		}
		if part, found := cached[key]; found {
			parts[i] = part
			continue
		}
		group.Go(func() error {
			object, err := p.store.Get(ctx, key)
			if err != nil {
				return fmt.Errorf("publication: read segment: %w", err)
			}
			if err := json.Unmarshal(object.Value, &parts[i]); err != nil {
				return fmt.Errorf("publication: decode segment %s: %w", key, err)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return contract.Document{}, err
	}
	p.cacheSegments(e, parts)
	return joinSegments(e, parts)
}

// cacheSegments replaces the cached segments by those of a document.
func (p *Publisher) cacheSegments(e HistoryEntry, parts []segment) {
	cached := make(map[string]segment, segmentCount)
	for i, key := range e.Segments {
		cached[key] = parts[i]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cached = cached
}

// joinSegments assembles a document from its segments and checks its digest.
func joinSegments(e HistoryEntry, parts []segment) (contract.Document, error) {
	d := contract.Document{Generation: e.Generation, Deleted: make(map[string]uint64)}
	for _, part := range parts {
		d.Objects = append(d.Objects, part.Objects...)
		for name, at := range part.Deleted {
			d.Deleted[name] = at
		}
	}
	d = d.Sorted()
	if e.Generation > 0 && d.Digest() != e.Digest {
		return contract.Document{}, fmt.Errorf("publication: generation %d: digest mismatch", e.Generation)
	}
	return d, nil
}

// Load returns the newest document in the object store.
func (p *Publisher) Load(ctx context.Context) (contract.Document, error) {
	h, _, err := p.readHead(ctx)
	if err != nil {
		return contract.Document{}, err
	}
	return p.readDocument(ctx, h.newest())
}

// Await waits until the head's object version is greater than after, and returns
// the newest document and the new version. Without a change, or with an
// error, the version returned is after.
func (p *Publisher) Await(ctx context.Context, after uint64) (contract.Document, uint64, error) {
	object, err := p.store.Watch(ctx, HeadKey, after)
	if err != nil {
		return contract.Document{}, after, fmt.Errorf("publication: watch: %w", err)
	}
	if object.Version <= after {
		return contract.Document{}, after, nil
	}
	h, err := decodeHead(object.Value)
	if err != nil {
		return contract.Document{}, after, err
	}
	d, err := p.readDocument(ctx, h.newest())
	if err != nil {
		return contract.Document{}, after, err
	}
	return d, object.Version, nil
}

// History returns the generations in the history, the newest last. Older ones
// have been removed.
func (p *Publisher) History(ctx context.Context) ([]HistoryEntry, error) {
	h, _, err := p.readHead(ctx)
	if err != nil {
		return nil, unavailableError(verdict.NotRun, err)
	}
	return h.History, nil
}
