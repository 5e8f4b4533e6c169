// Package wait provides a sleep that ends early when a context ends.
//
// # Usage
//
//	for wait.For(ctx, period) {
//		work()
//	}
//
// All functions are safe for concurrent use.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
