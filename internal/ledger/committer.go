package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/ring"
)

const (
	// committerQueueCapacity and maxCommitBatch are numbers of submissions.
	committerQueueCapacity = 4096
	maxCommitBatch         = 512
	// minOutageBackoff and maxOutageBackoff limit the exponential backoff
	// between two attempts to reach the object store after a failure.
	minOutageBackoff = 250 * time.Millisecond
	maxOutageBackoff = 500 * time.Millisecond
)

var (
	errQueueFull = errors.New("ledger: too many records are waiting")
	errOutage    = errors.New("ledger: the platform has just failed")
)

// committer batches the entries submitted for one shard. It writes one batch at
// a time.
type committer struct {
	shard *shard
	opts  Options
	queue *ring.Ring[*submission]
	// outage is set while the object store fails. Submissions then fail at once.
	outage atomic.Bool
}

type submission struct {
	ctx     context.Context
	entries []*peerrpc.Entry
	done    chan submissionResult
}

type submissionResult struct {
	results []*peerrpc.CommitResult
	err     error
}

func newCommitter(s *shard, opts Options) *committer {
	return &committer{
		shard: s,
		opts:  opts,
		queue: ring.New[*submission](ring.Options{Capacity: committerQueueCapacity}),
	}
}

// submit queues entries and waits until they are committed or rejected, or ctx
// is done.
func (c *committer) submit(ctx context.Context, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if c.outage.Load() {
		return nil, errOutage
	}
	s := &submission{ctx: ctx, entries: entries, done: make(chan submissionResult, 1)}
	if !c.queue.TryPush(s) {
		return nil, errQueueFull
	}
	select {
	case r := <-s.done:
		return r.results, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("ledger: commit: %w", ctx.Err())
	}
}

// run commits submissions until ctx is done. Commits start at least
// Options.Interval apart.
func (c *committer) run(ctx context.Context) {
	for {
		batch, err := c.queue.PopBatch(ctx, maxCommitBatch)
		if err != nil {
			return
		}
		started := c.opts.Now()
		if err := c.commitBatch(ctx, batch); err != nil {
			c.awaitRecovery(ctx)
		}
		wait := c.opts.Interval - c.opts.Now().Sub(started)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, wait)):
		}
	}
}

// commitBatch commits the entries of the active submissions in one update and
// sends each submission its results.
func (c *committer) commitBatch(ctx context.Context, batch []*submission) error {
	batch = activeSubmissions(batch)
	if len(batch) == 0 {
		return nil
	}
	var entries []*peerrpc.Entry
	for _, s := range batch {
		entries = append(entries, s.entries...)
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ClaimTimeout)
	defer cancel()
	results, err := c.shard.commit(ctx, entries)
	for _, s := range batch {
		if err != nil {
			s.done <- submissionResult{err: err}
			continue
		}
		s.done <- submissionResult{results: results[:len(s.entries)]}
		results = results[len(s.entries):]
	}
	return err
}

// awaitRecovery fails all queued and new submissions until the shard's head can
// be read again.
func (c *committer) awaitRecovery(ctx context.Context) {
	c.outage.Store(true)
	defer c.outage.Store(false)
	for backoff := minOutageBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxOutageBackoff) {
		for _, s := range c.queue.TryPopBatch(committerQueueCapacity) {
			s.done <- submissionResult{err: errOutage}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		if c.shard.reload(ctx, c.opts.ClaimTimeout/2) == nil {
			return
		}
	}
}

// activeSubmissions returns the submissions whose context is not done.
func activeSubmissions(batch []*submission) []*submission {
	var active []*submission
	for _, s := range batch {
		if s.ctx.Err() == nil {
			active = append(active, s)
		}
	}
	return active
}
