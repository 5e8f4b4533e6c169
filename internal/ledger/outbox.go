package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	maxOutboxEntries = 100_000
	// maxOutboxBatch is the maximum number of entries committed at a time.
	maxOutboxBatch   = 256
	minOutboxBackoff = 20 * time.Millisecond
	maxOutboxBackoff = 2 * time.Second
)

// outbox writes outcomes and releases in the background and retries until each
// is written. When it is full, it drops the oldest entry. The key of a dropped
// entry stays claimed, so its callers get the verdict MayHaveRun.
type outbox struct {
	ledger *Ledger
	wake   chan struct{}

	mu      sync.Mutex
	waiting []*peerrpc.Entry
	// sending is the number of entries of the batch that is being committed.
	sending int
	dropped int
}

func newOutbox(l *Ledger) *outbox {
	return &outbox{ledger: l, wake: make(chan struct{}, 1)}
}

func (o *outbox) add(e *peerrpc.Entry) {
	o.mu.Lock()
	if len(o.waiting) >= maxOutboxEntries {
		o.waiting = o.waiting[1:]
		o.dropped++
	}
	o.waiting = append(o.waiting, e)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) takeBatch() []*peerrpc.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(maxOutboxBatch, len(o.waiting))
	batch := o.waiting[:n:n]
	o.waiting = o.waiting[n:]
	o.sending = n
	return batch
}

func (o *outbox) requeue(failed []*peerrpc.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting = append(failed, o.waiting...)
	o.sending = 0
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.waiting) + o.sending
}

func (o *outbox) droppedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

func (o *outbox) run(ctx context.Context) {
	backoff := minOutboxBackoff
	for {
		batch := o.takeBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.wake:
			}
			continue
		}
		failed := o.commitBatch(ctx, batch)
		o.requeue(failed)
		if len(failed) == 0 {
			backoff = minOutboxBackoff
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxOutboxBackoff)
	}
}

// commitBatch commits the entries with one call per shard, all shards in
// parallel, and returns those that were not committed.
func (o *outbox) commitBatch(ctx context.Context, batch []*peerrpc.Entry) []*peerrpc.Entry {
	ctx, cancel := context.WithTimeout(ctx, 2*o.ledger.opts.ClaimTimeout)
	defer cancel()
	shards, err := o.ledger.shardCount(ctx)
	if err != nil {
		return batch
	}
	groups := make(map[uint32][]*peerrpc.Entry)
	for _, e := range batch {
		index := keyOf(e).shardIndex(shards)
		groups[index] = append(groups[index], e)
	}
	var mu sync.Mutex
	var failed []*peerrpc.Entry
	var wg sync.WaitGroup
	for index, entries := range groups {
		wg.Go(func() {
			if _, err := o.ledger.commitEntries(ctx, index, entries); err != nil {
				mu.Lock()
				failed = append(failed, entries...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// flush waits until all entries are written or ctx is done.
func (o *outbox) flush(ctx context.Context) {
	for o.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(minOutboxBackoff):
		}
	}
}
