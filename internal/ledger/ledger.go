// Package ledger ensures that a request that is not idempotent is dispatched at
// most once.
//
// Before such a request is sent to an upstream, its idempotency key is claimed
// by a conditional update in the object store. The claim carries a random
// nonce, and only the holder of that nonce may dispatch the request, once.
// Correctness depends on the conditional update alone, as long as clocks differ by
// at most MaxClockSkew when old entries are removed. Membership only makes claims
// faster.
//
// Keys are hashed to a fixed number of shards. A shard's writer commits all
// pending entries in one update, so the number of writes does not grow with
// the number of requests.
//
// # Usage
//
//	grant, err := l.Claim(ctx, now, ledger.Claim{Key: key, Fingerprint: fp, Deadline: deadline})
//	if err != nil {
//		return err // carries the verdict
//	}
//	if !dispatched {
//		l.Release(now, grant)
//		return notRun
//	}
//	l.RecordOutcome(now, grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200, Body: body})
//
// A Ledger is safe for concurrent use.
package ledger

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	defaultShards           = 16
	defaultInterval         = 50 * time.Millisecond
	defaultRetention        = 6 * time.Hour
	defaultClaimTimeout     = time.Second
	defaultMaxResponseBytes = 16 << 10
	nonceBytes              = 16
	busyRetryAfter          = time.Second
	shardCountKey           = "ledger/layout"
)

// Peers sends entries to shard writers on other nodes.
type Peers interface {
	// Commit commits entries through the shard's writer. It returns
	// ErrLocal if this node is the writer.
	Commit(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error)
	// Live reports whether the node is running with the given incarnation.
	Live(name string, incarnation uint64) bool
}

// ErrLocal means that this node is the writer of the shard.
var ErrLocal = errors.New("ledger: this node is the writer")

// Options configures a Ledger. Store, Now and Holder are required.
type Options struct {
	Store objectstore.Store
	// Now returns the current time. Background work uses it.
	Now func() time.Time
	// Holder and Incarnation identify this node in claims.
	Holder      string
	Incarnation uint64
	// Peers reaches the writers of the shards. If it is nil, this node writes
	// all shards itself.
	Peers Peers
	// Shards is the number of shards of a new ledger. The default is 16. For an
	// existing ledger, the number in the object store applies instead.
	Shards int
	// Interval is the minimum time between two writes of a shard. The default
	// is 50 ms.
	Interval time.Duration
	// Retention is the maximum age of a key. Older keys are refused, and their
	// entries are removed some time later. The default is 6 h.
	Retention time.Duration
	// ClaimTimeout limits the duration of a claim. The default is 1 s.
	ClaimTimeout time.Duration
	// MaxResponseBytes is the maximum size of a recorded response body. A
	// larger body is not recorded. The default is 16 KiB.
	MaxResponseBytes int
}

func (o Options) withDefaults() Options {
	if o.Shards <= 0 {
		o.Shards = defaultShards
	}
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.ClaimTimeout <= 0 {
		o.ClaimTimeout = defaultClaimTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}

// Claim is a request for the right to dispatch a caller's request.
type Claim struct {
	Key Key
	// Fingerprint is the digest of the request. It detects a key that is
	// reused for another request.
	Fingerprint []byte
	// Deadline is the time by which the request has ended.
	Deadline time.Time
}

// Grant is the right to dispatch a request once. Ledger.Claim returns it.
type Grant struct {
	key   Key
	nonce []byte
	claim Claim
}

// Outcome is the result of a dispatched request.
type Outcome struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	Body        []byte
}

// Ledger is one node's access to the fleet's ledger.
type Ledger struct {
	opts   Options
	outbox *outbox

	mu sync.Mutex
	// shards is the number of shards, or 0 if it has not been read yet.
	shards     uint32
	committers map[uint32]*committer
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New returns a Ledger and starts its background work. Close stops it.
func New(opts Options) *Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Ledger{
		opts:       opts.withDefaults(),
		committers: make(map[uint32]*committer),
		ctx:        ctx,
		cancel:     cancel,
	}
	l.outbox = newOutbox(l)
	l.wg.Go(func() { l.outbox.run(ctx) })
	return l
}

// Close waits until all outcomes and releases are written or ctx is done, then
// stops the background work.
func (l *Ledger) Close(ctx context.Context) {
	l.outbox.flush(ctx)
	l.cancel()
	l.wg.Wait()
}

// Retention returns the maximum age of a key.
func (l *Ledger) Retention() time.Duration { return l.opts.Retention }

// Claim claims a key. If it succeeds, the caller may dispatch the request once.
// An error carries a verdict: NotRun if this attempt will never be dispatched,
// MayHaveRun if the key has become older than the retention, or the verdict of
// the key's record if the key is already claimed. In the last case the error
// wraps an *AlreadyClaimed with the record.
func (l *Ledger) Claim(ctx context.Context, now time.Time, claim Claim) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout)
	defer cancel()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	grant := Grant{key: claim.Key, nonce: nonce, claim: claim}
	result, err := l.commitEntry(ctx, l.newEntry(now, grant, peerrpc.EntryState_ENTRY_STATE_CLAIMED))
	if err != nil {
		l.Release(now, grant)
		return Grant{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "ledger_unavailable",
			"the request can't be claimed now, so it has not run").
			WithRetryAfter(busyRetryAfter).WithCause(err)
	}
	if result.GetAccepted() {
		return grant, nil
	}
	if result.GetExisting() == nil {
		return Grant{}, expiredKeyError()
	}
	return Grant{}, l.alreadyClaimedError(now, claim, result.GetExisting())
}

func (l *Ledger) newEntry(now time.Time, g Grant, state peerrpc.EntryState) *peerrpc.Entry {
	return &peerrpc.Entry{
		Organisation:      g.key.Organisation,
		Key:               g.key.Key,
		Nonce:             g.nonce,
		Fingerprint:       g.claim.Fingerprint,
		Holder:            l.opts.Holder,
		HolderIncarnation: l.opts.Incarnation,
		AtUnixMs:          now.UnixMilli(),
		DeadlineUnixMs:    g.claim.Deadline.UnixMilli(),
		State:             state,
	}
}

// AlreadyClaimed is the error of a claim whose key already has a record.
type AlreadyClaimed struct {
	Record Record
}

// Error implements error.
func (e *AlreadyClaimed) Error() string { return "ledger: key is taken: " + string(e.Record.State) }

// alreadyClaimedError returns the error of a claim that was rejected because of
// the existing entry.
func (l *Ledger) alreadyClaimedError(now time.Time, claim Claim, existing *peerrpc.Entry) error {
	if !bytes.Equal(existing.GetFingerprint(), claim.Fingerprint) && existing.GetState() != peerrpc.EntryState_ENTRY_STATE_RELEASED {
		return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the key belongs to another request").WithObject("header", "Idempotency-Key")
	}
	record := l.toRecord(now, existing)
	return verdict.New(record.Verdict, http.StatusConflict, "request_"+string(record.State), record.State.reason()).
		WithRetryAfter(record.State.retryAfter()).WithCause(&AlreadyClaimed{Record: record})
}

// RecordOutcome writes the outcome of a dispatched request in the background.
// It never blocks.
func (l *Ledger) RecordOutcome(now time.Time, g Grant, o Outcome) {
	state := peerrpc.EntryState_ENTRY_STATE_MAY_HAVE_RUN
	if o.Verdict == verdict.Ran {
		state = peerrpc.EntryState_ENTRY_STATE_RAN
	}
	e := l.newEntry(now, g, state)
	e.Answer = &peerrpc.Answer{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
	if len(o.Body) > l.opts.MaxResponseBytes {
		e.Answer.Body = nil
		e.Answer.BodyDropped = true
	}
	l.outbox.add(e)
}

// Release gives up a claim in the background, so that the caller can send the
// request again. The holder of the grant must not dispatch the request after
// this call.
func (l *Ledger) Release(now time.Time, g Grant) {
	l.outbox.add(l.newEntry(now, g, peerrpc.EntryState_ENTRY_STATE_RELEASED))
}

// Lookup returns the record of a key, after reading the shard's head from the
// object store. An error carries the verdict MayHaveRun.
func (l *Ledger) Lookup(ctx context.Context, now time.Time, key Key) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout)
	defer cancel()
	c, err := l.committerForKey(ctx, key)
	if err == nil {
		var e *peerrpc.Entry
		e, err = c.shard.lookup(ctx, key)
		if err == nil {
			return l.toRecord(now, e), nil
		}
	}
	return Record{}, verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, "ledger_unavailable",
		"the ledger can't be read now").WithRetryAfter(busyRetryAfter).WithCause(err)
}

// Status describes a Ledger for operators.
type Status struct {
	// Waiting is the number of outcomes and releases that are not written yet.
	Waiting int `json:"waiting"`
	// Dropped is the number of outcomes and releases that were dropped because
	// too many were waiting.
	Dropped int `json:"lost"`
	// Shards is the number of shards that this node has used.
	Shards int `json:"shards"`
}

// Status returns the ledger's state.
func (l *Ledger) Status() Status {
	l.mu.Lock()
	shards := len(l.committers)
	l.mu.Unlock()
	return Status{Waiting: l.outbox.len(), Dropped: l.outbox.droppedCount(), Shards: shards}
}

// CommitLocal commits entries that another node sent to this one.
func (l *Ledger) CommitLocal(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if err := checkEntries("commit", entries); err != nil {
		return nil, err
	}
	c, err := l.committerForShard(ctx, shard)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, entries)
}

func (l *Ledger) commitEntry(ctx context.Context, e *peerrpc.Entry) (*peerrpc.CommitResult, error) {
	shards, err := l.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	results, err := l.commitEntries(ctx, keyOf(e).shardIndex(shards), []*peerrpc.Entry{e})
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("ledger: want 1 result, got %d", len(results))
	}
	return results[0], nil
}

// commitEntries commits entries of one shard through its writer, or on this node
// if the writer is this node or fails to commit. Committing an entry twice is
// safe, since its nonce identifies it.
func (l *Ledger) commitEntries(ctx context.Context, index uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if results, err := l.commitRemote(ctx, index, entries); err == nil {
		return results, nil
	}
	c, err := l.committerForShard(ctx, index)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, entries)
}

// commitRemote commits entries through the shard's writer. It uses at most half
// of ClaimTimeout, so that a claim still has time to commit on this node.
func (l *Ledger) commitRemote(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if l.opts.Peers == nil {
		return nil, ErrLocal
	}
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout/2)
	defer cancel()
	return l.opts.Peers.Commit(ctx, shard, entries)
}

func (l *Ledger) committerForKey(ctx context.Context, key Key) (*committer, error) {
	shards, err := l.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	return l.committerForShard(ctx, key.shardIndex(shards))
}

func (l *Ledger) committerForShard(ctx context.Context, index uint32) (*committer, error) {
	shards, err := l.shardCount(ctx)
	if err != nil {
		return nil, err
	}
	if index >= shards {
		return nil, fmt.Errorf("ledger: shard %d of %d", index, shards)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.committers[index]
	if c == nil {
		c = newCommitter(newShard(index, l.opts.Store, l.opts), l.opts)
		l.committers[index] = c
		l.wg.Go(func() { c.run(l.ctx) })
	}
	return c, nil
}

// shardCount returns the number of shards. The first node writes it to the
// object store, where it never changes.
func (l *Ledger) shardCount(ctx context.Context) (uint32, error) {
	l.mu.Lock()
	shards := l.shards
	l.mu.Unlock()
	if shards > 0 {
		return shards, nil
	}
	object, err := l.opts.Store.Get(ctx, shardCountKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		value := strconv.Itoa(l.opts.Shards)
		object, err = l.opts.Store.Put(ctx, shardCountKey, []byte(value), 0)
		if err != nil {
			object, err = l.opts.Store.Get(ctx, shardCountKey)
		}
	}
	if err != nil {
		return 0, fmt.Errorf("ledger: layout: %w", err)
	}
	n, err := strconv.ParseUint(string(object.Value), 10, 16)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("ledger: layout: bad number of shards %q", object.Value)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards = uint32(n)
	return l.shards, nil
}
