// Package wait lets a duty rest until a time has passed or it is told to end.
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

// For waits for d and reports whether it has passed. It returns false at once
// when ctx ends.
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
