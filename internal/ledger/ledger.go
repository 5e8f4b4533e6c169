// Package ledger makes sure that a request that is not idempotent runs at most
// once.
//
// Before such a request goes to an upstream, its key is claimed by a
// conditional update on the platform. The claim carries a nonce, and only the
// holder of that nonce may dispatch the request, once. Correctness rests on
// the conditional update alone; leases, clocks and membership only make it fast.
//
// Keys are spread over a fixed number of shards. A shard's writer commits all
// waiting records in one update, so the number of writes does not grow with
// the number of requests.
//
// # Usage
//
//	grant, err := book.Claim(ctx, now, ledger.Claim{Key: key, Fingerprint: fp, Deadline: deadline})
//	if err != nil {
//		return err // carries the verdict
//	}
//	if !dispatched {
//		book.Release(now, grant)
//		return notRun
//	}
//	book.RecordOutcome(now, grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200, Body: body})
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
	defaultShards         = 16
	defaultInterval       = 50 * time.Millisecond
	defaultRetention      = 6 * time.Hour
	defaultClaimTimeout   = time.Second
	defaultMaxAnswerBytes = 16 << 10
	nonceBytes            = 16
	busyRetryAfter        = time.Second
	layoutKey             = "ledger/layout"
)

// Peers passes records to the writer of a shard on another node.
type Peers interface {
	// Commit commits records at the shard's writer. It returns
	// ErrLocal if this node is the writer.
	Commit(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error)
	// Live reports whether a node runs in the incarnation given.
	Live(name string, incarnation uint64) bool
}

// ErrLocal says that this node is the writer of a shard.
var ErrLocal = errors.New("ledger: this node is the writer")

// Options sets up a Ledger. Store, Now and Holder are required.
type Options struct {
	Store objectstore.Store
	// Now returns the present time, for work in the background.
	Now func() time.Time
	// Holder and Incarnation name this node in claims.
	Holder      string
	Incarnation uint64
	// Peers finds the writers. Without it this node writes all shards.
	Peers Peers
	// Shards is the number of shards of a new ledger. The default is 16. The
	// number that the platform holds goes first.
	Shards int
	// Interval is the least time between two writes of a shard. The default is 50 ms.
	Interval time.Duration
	// Retention is how long a key is known. The default is 6 h.
	Retention time.Duration
	// ClaimTimeout bounds the wait for a claim. The default is 1 s.
	ClaimTimeout time.Duration
	// MaxResponseBytes bounds a recorded answer. The default is 16 KiB.
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
		o.MaxResponseBytes = defaultMaxAnswerBytes
	}
	return o
}

// Claim asks for the right to dispatch a request.
type Claim struct {
	Key Key
	// Fingerprint is the digest of the request, to tell a reused key.
	Fingerprint []byte
	// Deadline is when the request has certainly ended.
	Deadline time.Time
}

// Grant is the right to dispatch a request once.
type Grant struct {
	key   Key
	nonce []byte
	claim Claim
}

// Outcome is what became of a dispatched request.
type Outcome struct {
	Verdict     verdict.Verdict
	Status      int
	ContentType string
	Body        []byte
}

// Ledger is the ledger as one node uses it.
type Ledger struct {
	opts   Options
	outbox *outbox

	mu         sync.Mutex
	shards     uint32
	committers map[uint32]*committer
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New returns a Ledger. Close ends its background work.
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

// Close waits until the outcomes and releases are written, at most until ctx
// ends, and ends the background work.
func (l *Ledger) Close(ctx context.Context) {
	l.outbox.flush(ctx)
	l.cancel()
	l.wg.Wait()
}

// Retention returns how long a key is known.
func (l *Ledger) Retention() time.Duration { return l.opts.Retention }

// Claim claims a key. Without an error the caller holds the right to dispatch
// the request once. Its errors say what is known of the key: NotRun if this
// attempt will never be dispatched, and the recorded state if the key is taken,
// as an *AlreadyClaimed in the chain.
func (l *Ledger) Claim(ctx context.Context, now time.Time, claim Claim) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout)
	defer cancel()
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	grant := Grant{key: claim.Key, nonce: nonce, claim: claim}
	result, err := l.commitOne(ctx, l.entry(now, grant, peerrpc.EntryState_ENTRY_STATE_CLAIMED))
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
		return Grant{}, errExpired()
	}
	return Grant{}, l.taken(now, claim, result.GetExisting())
}

func (l *Ledger) entry(now time.Time, g Grant, state peerrpc.EntryState) *peerrpc.Entry {
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

// AlreadyClaimed is the error of a claim on a key that has a record.
type AlreadyClaimed struct {
	Record Record
}

// Error implements error.
func (t *AlreadyClaimed) Error() string { return "ledger: key is taken: " + string(t.Record.State) }

func (l *Ledger) taken(now time.Time, claim Claim, existing *peerrpc.Entry) error {
	if !bytes.Equal(existing.GetFingerprint(), claim.Fingerprint) && existing.GetState() != peerrpc.EntryState_ENTRY_STATE_RELEASED {
		return verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the key belongs to another request").WithObject("header", "Idempotency-Key")
	}
	record := l.record(now, existing)
	return verdict.New(record.Verdict, http.StatusConflict, "request_"+string(record.State), record.State.reason()).
		WithRetryAfter(record.State.retryAfter()).WithCause(&AlreadyClaimed{Record: record})
}

// RecordOutcome writes the outcome of a dispatched request in the background. It
// never blocks.
func (l *Ledger) RecordOutcome(now time.Time, g Grant, o Outcome) {
	state := peerrpc.EntryState_ENTRY_STATE_MAY_HAVE_RUN
	if o.Verdict == verdict.Ran {
		state = peerrpc.EntryState_ENTRY_STATE_RAN
	}
	e := l.entry(now, g, state)
	e.Answer = &peerrpc.Answer{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
	if len(o.Body) > l.opts.MaxResponseBytes {
		e.Answer.Body = nil
		e.Answer.BodyDropped = true
	}
	l.outbox.add(e)
}

// Release gives a key back in the background, so that a resend may run. Its
// holder must never dispatch the request after this.
func (l *Ledger) Release(now time.Time, g Grant) {
	l.outbox.add(l.entry(now, g, peerrpc.EntryState_ENTRY_STATE_RELEASED))
}

// Lookup returns what became of a key. The platform is read anew.
func (l *Ledger) Lookup(ctx context.Context, now time.Time, key Key) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout)
	defer cancel()
	c, err := l.committer(ctx, key)
	if err == nil {
		var e *peerrpc.Entry
		e, err = c.shard.look(ctx, key)
		if err == nil {
			return l.record(now, e), nil
		}
	}
	return Record{}, verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, "ledger_unavailable",
		"the ledger can't be read now").WithRetryAfter(busyRetryAfter).WithCause(err)
}

// Status is the state of a Ledger, for operators.
type Status struct {
	// Waiting counts the outcomes and releases that are not written yet.
	Waiting int `json:"waiting"`
	// Lost counts those that were dropped because too many waited.
	Lost int `json:"lost"`
	// Shards counts the shards that this node has loaded.
	Shards int `json:"shards"`
}

// Status returns the ledger's state.
func (l *Ledger) Status() Status {
	l.mu.Lock()
	shards := len(l.committers)
	l.mu.Unlock()
	return Status{Waiting: l.outbox.len(), Lost: l.outbox.lostCount(), Shards: shards}
}

// CommitLocal commits records on this node, for other nodes.
func (l *Ledger) CommitLocal(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if err := checkEntries("commit", entries); err != nil {
		return nil, err
	}
	c, err := l.committerAt(ctx, shard)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, entries)
}

func (l *Ledger) commitOne(ctx context.Context, e *peerrpc.Entry) (*peerrpc.CommitResult, error) {
	shards, err := l.layout(ctx)
	if err != nil {
		return nil, err
	}
	results, err := l.commitAt(ctx, keyOf(e).shard(shards), []*peerrpc.Entry{e})
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("ledger: want 1 result, got %d", len(results))
	}
	return results[0], nil
}

// commitAt commits records of one shard at its writer, or here if the writer
// can't be reached: records are idempotent by their nonce.
func (l *Ledger) commitAt(ctx context.Context, index uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if results, err := l.remote(ctx, index, entries); err == nil {
		return results, nil
	}
	c, err := l.committerAt(ctx, index)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, entries)
}

func (l *Ledger) remote(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if l.opts.Peers == nil {
		return nil, ErrLocal
	}
	ctx, cancel := context.WithTimeout(ctx, l.opts.ClaimTimeout/2)
	defer cancel()
	return l.opts.Peers.Commit(ctx, shard, entries)
}

func (l *Ledger) committer(ctx context.Context, key Key) (*committer, error) {
	shards, err := l.layout(ctx)
	if err != nil {
		return nil, err
	}
	return l.committerAt(ctx, key.shard(shards))
}

func (l *Ledger) committerAt(ctx context.Context, index uint32) (*committer, error) {
	shards, err := l.layout(ctx)
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

// layout returns the number of shards, which the first node writes once.
func (l *Ledger) layout(ctx context.Context) (uint32, error) {
	l.mu.Lock()
	shards := l.shards
	l.mu.Unlock()
	if shards > 0 {
		return shards, nil
	}
	object, err := l.opts.Store.Get(ctx, layoutKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		value := strconv.Itoa(l.opts.Shards)
		object, err = l.opts.Store.Put(ctx, layoutKey, []byte(value), 0)
		if err != nil {
			object, err = l.opts.Store.Get(ctx, layoutKey)
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
