package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	maxOutbox        = 100_000
	outboxBatch      = 256
	outboxPauseLeast = 20 * time.Millisecond
	outboxPauseMost  = 2 * time.Second
)

// outbox writes outcomes and releases in the background and tries until each
// is written. When it is full the oldest record is lost: its key then stays
// claimed and its callers are told that it may have run.
type outbox struct {
	ledger *Ledger
	wake   chan struct{}

	mu      sync.Mutex
	waiting []*peerrpc.Entry
	sending int
	lost    int
}

func newOutbox(l *Ledger) *outbox {
	return &outbox{ledger: l, wake: make(chan struct{}, 1)}
}

func (o *outbox) add(e *peerrpc.Entry) {
	o.mu.Lock()
	if len(o.waiting) >= maxOutbox {
		o.waiting = o.waiting[1:]
		o.lost++
	}
	o.waiting = append(o.waiting, e)
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() []*peerrpc.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(outboxBatch, len(o.waiting))
	batch := o.waiting[:n:n]
	o.waiting = o.waiting[n:]
	o.sending = n
	return batch
}

func (o *outbox) putBack(failed []*peerrpc.Entry) {
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

func (o *outbox) lostCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lost
}

func (o *outbox) run(ctx context.Context) {
	pause := outboxPauseLeast
	for {
		batch := o.take()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-o.wake:
			}
			continue
		}
		failed := o.send(ctx, batch)
		o.putBack(failed)
		if len(failed) == 0 {
			pause = outboxPauseLeast
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, outboxPauseMost)
	}
}

// send writes the records, each shard's in one go, and returns those that could
// not be written.
func (o *outbox) send(ctx context.Context, batch []*peerrpc.Entry) []*peerrpc.Entry {
	ctx, cancel := context.WithTimeout(ctx, 2*o.ledger.opts.ClaimTimeout)
	defer cancel()
	shards, err := o.ledger.layout(ctx)
	if err != nil {
		return batch
	}
	groups := make(map[uint32][]*peerrpc.Entry)
	for _, e := range batch {
		index := keyOf(e).shard(shards)
		groups[index] = append(groups[index], e)
	}
	var mu sync.Mutex
	var failed []*peerrpc.Entry
	var wg sync.WaitGroup
	for index, entries := range groups {
		wg.Go(func() {
			if _, err := o.ledger.commitAt(ctx, index, entries); err != nil {
				mu.Lock()
				failed = append(failed, entries...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed
}

// flush waits until everything is written or ctx ends.
func (o *outbox) flush(ctx context.Context) {
	for o.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(outboxPauseLeast):
		}
	}
}
