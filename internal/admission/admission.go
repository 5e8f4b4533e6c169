// Package admission decides whether a new request can be answered in time, and when
// the caller of a rejected one should come back.
//
// # Usage
//
//	if delay, late := admission.Late(firstToken, target); late {
//		retryAfter := admission.RetryAfter(delay, timeLeft, rand.Int64N)
//		// Reject the request.
//	}
package admission

import "time"

// retryTimeLeftDivisor limits the advised retry delay, before its jitter, to a
// quarter of the time that the caller has left.
const retryTimeLeftDivisor = 4

// Late reports whether the estimated time to the first token exceeds target, and
// after what delay it should have fallen to half of target. A target of zero means
// no target.
func Late(firstToken, target time.Duration) (delay time.Duration, late bool) {
	if target <= 0 || firstToken <= target {
		return 0, false
	}
	return firstToken - target/2, true
}

// RetryAfter returns the delay that a rejected caller is advised to wait: delay, but
// no more than a part of timeLeft, where zero means an unknown deadline. It has a
// random jitter of about 25 % either way, so that callers rejected together do not
// retry together; draw returns a number in [0, n).
func RetryAfter(delay, timeLeft time.Duration, draw func(n int64) int64) time.Duration {
	if timeLeft > 0 {
		delay = min(delay, timeLeft/retryTimeLeftDivisor)
	}
	return delay*3/4 + time.Duration(draw(int64(delay/2)+1))
}
