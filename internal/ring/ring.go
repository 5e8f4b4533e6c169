// Package ring provides a bounded queue between goroutines.
//
// # Usage
//
//	r := ring.New[Job](ring.Options{Capacity: 256})
//	if !r.TryPush(job) {
//		// The queue is full: reject the job.
//	}
//	jobs, err := r.PopBatch(ctx, 64)
//
// A Ring is safe for concurrent use by any number of producers and consumers.
package ring

import (
	"context"
	"sync"
)

const defaultCapacity = 1024

// Options configures a Ring. The zero value selects the defaults.
type Options struct {
	// Capacity is the maximum number of items in the queue. The default is 1024.
	Capacity int
}

// Ring is a bounded FIFO queue of T.
type Ring[T any] struct {
	mu    sync.Mutex
	items []T
	head  int
	n     int
	ready chan struct{}
}

// New returns an empty Ring.
func New[T any](opts Options) *Ring[T] {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultCapacity
	}
	return &Ring[T]{
		items: make([]T, opts.Capacity),
		ready: make(chan struct{}, 1),
	}
}

// TryPush appends item and returns true, or returns false if the queue is full. It
// never blocks.
func (r *Ring[T]) TryPush(item T) bool {
	r.mu.Lock()
	if r.n == len(r.items) {
		r.mu.Unlock()
		return false
	}
	r.items[(r.head+r.n)%len(r.items)] = item
	r.n++
	r.mu.Unlock()
	r.signal()
	return true
}

// Len returns the number of items in the queue.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// PopBatch removes and returns up to limit items, in order. If the queue is empty,
// it waits for an item, or for the end of ctx, whose error it then returns.
func (r *Ring[T]) PopBatch(ctx context.Context, limit int) ([]T, error) {
	for {
		if items := r.pop(limit); len(items) > 0 {
			return items, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.ready:
		}
	}
}

// TryPopBatch removes and returns up to limit items, in order, without waiting.
func (r *Ring[T]) TryPopBatch(limit int) []T { return r.pop(limit) }

func (r *Ring[T]) pop(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(limit, r.n)
	if count == 0 {
		return nil
	}
	popped := make([]T, count)
	var zero T
	for i := range popped {
		index := (r.head + i) % len(r.items)
		popped[i] = r.items[index]
		r.items[index] = zero
	}
	r.head = (r.head + count) % len(r.items)
	r.n -= count
	if r.n > 0 {
		r.signal()
	}
	return popped
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
