package roster

import "time"

// retryTimeLeftDivisor limits the advised retry delay, before its jitter, to a
// quarter of the time that the caller has left.
const retryTimeLeftDivisor = 4

// Late reports whether the estimated time to the first token exceeds target,
// and after what delay the caller should retry. By then the estimate should
// have fallen to half of target. A target of zero means no target; a timeLeft
// of zero means an unknown deadline. The delay has a random jitter of about
// 25 % either way, so that callers rejected together do not retry together;
// draw returns a number in [0, n).
func (c Choice) Late(target, timeLeft time.Duration, draw func(n int64) int64) (retryAfter time.Duration, late bool) {
	firstToken := time.Duration(c.FirstTokenMS * float64(time.Millisecond))
	if target <= 0 || firstToken <= target {
		return 0, false
	}
	retryAfter = firstToken - target/2
	if timeLeft > 0 {
		retryAfter = min(retryAfter, timeLeft/retryTimeLeftDivisor)
	}
	return retryAfter*3/4 + time.Duration(draw(int64(retryAfter/2)+1)), true
}
