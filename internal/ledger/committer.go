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
	committerQueue = 4096
	maxBatch       = 512
	// outagePause and outagePauseMost bound the wait between two tries to reach
	// a platform that failed.
	outagePause     = 250 * time.Millisecond
	outagePauseMost = 500 * time.Millisecond
)

var (
	errBusy   = errors.New("ledger: too many records are waiting")
	errOutage = errors.New("ledger: the platform has just failed")
)

// committer joins the records that wait for one shard into one write at a time.
type committer struct {
	shard *shard
	opts  Options
	queue *ring.Ring[*submission]
	// outage is set while the platform fails; submissions are then refused at once.
	outage atomic.Bool
}

type submission struct {
	ctx     context.Context
	entries []*peerrpc.Entry
	done    chan submitted
}

type submitted struct {
	results []*peerrpc.CommitResult
	err     error
}

func newCommitter(s *shard, opts Options) *committer {
	return &committer{
		shard: s,
		opts:  opts,
		queue: ring.New[*submission](ring.Options{Capacity: committerQueue}),
	}
}

// submit waits until the records are decided on, or ctx ends.
func (c *committer) submit(ctx context.Context, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	if c.outage.Load() {
		return nil, errOutage
	}
	s := &submission{ctx: ctx, entries: entries, done: make(chan submitted, 1)}
	if !c.queue.TryPush(s) {
		return nil, errBusy
	}
	select {
	case r := <-s.done:
		return r.results, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("ledger: commit: %w", ctx.Err())
	}
}

// run commits until ctx ends. Two writes start at least the interval apart.
func (c *committer) run(ctx context.Context) {
	for {
		batch, err := c.queue.PopAll(ctx, maxBatch)
		if err != nil {
			return
		}
		started := c.opts.Now()
		if err := c.commit(ctx, batch); err != nil {
			c.awaitPlatform(ctx)
		}
		pause := c.opts.Interval - c.opts.Now().Sub(started)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(0, pause)):
		}
	}
}

func (c *committer) commit(ctx context.Context, batch []*submission) error {
	batch = stillWanted(batch)
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
			s.done <- submitted{err: err}
			continue
		}
		s.done <- submitted{results: results[:len(s.entries)]}
		results = results[len(s.entries):]
	}
	return err
}

// awaitPlatform refuses all that waits or comes until the head can be read again.
func (c *committer) awaitPlatform(ctx context.Context) {
	c.outage.Store(true)
	defer c.outage.Store(false)
	for pause := outagePause; ctx.Err() == nil; pause = min(2*pause, outagePauseMost) {
		for _, s := range c.queue.TryPopAll(committerQueue) {
			s.done <- submitted{err: errOutage}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if c.shard.reload(ctx, c.opts.ClaimTimeout/2) == nil {
			return
		}
	}
}

// stillWanted leaves out what its submitter has given up.
func stillWanted(batch []*submission) []*submission {
	var wanted []*submission
	for _, s := range batch {
		if s.ctx.Err() == nil {
			wanted = append(wanted, s)
		}
	}
	return wanted
}
