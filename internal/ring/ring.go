// Package ring provides the bounded queue that joins two goroutines with one
// duty each.
//
// # Usage
//
//	r := ring.New[Job](ring.Options{Capacity: 256})
//	if !r.TryPush(job) {
//		// The consumer is behind: refuse at once.
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

// Options sets up a Ring. The zero value works.
type Options struct {
	// Capacity is the largest number of items held. The default is 1024.
	Capacity int
}

// Ring is a bounded first-in first-out queue of T.
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

// TryPush appends item and reports whether there was room for it. It never blocks.
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

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

// PopBatch removes and returns up to limit items, in order. It waits until there
// is at least one, or returns the context's error.
func (r *Ring[T]) PopBatch(ctx context.Context, limit int) ([]T, error) {
	for {
		if items := r.take(limit); len(items) > 0 {
			return items, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.ready:
		}
	}
}

// TryPopBatch removes and returns up to limit items without waiting.
func (r *Ring[T]) TryPopBatch(limit int) []T { return r.take(limit) }

func (r *Ring[T]) take(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(limit, r.n)
	if count == 0 {
		return nil
	}
	taken := make([]T, count)
	var zero T
	for i := range taken {
		at := (r.head + i) % len(r.items)
		taken[i] = r.items[at]
		r.items[at] = zero
	}
	r.head = (r.head + count) % len(r.items)
	r.n -= count
	if r.n > 0 {
		r.signal()
	}
	return taken
}

func (r *Ring[T]) signal() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}
