package roster

import "time"

// returnShare is the part of their patience that callers wait at most before
// they come back.
const returnShare = 4

// Late reports whether the first token would come after target, by estimate,
// and after what time the caller may come back. Zero stands for no target and
// for unknown patience. draw returns a number from 0 to below n: those refused
// together should not come back together.
func (c Choice) Late(target, patience time.Duration, draw func(n int64) int64) (back time.Duration, late bool) {
	first := time.Duration(c.FirstTokenMS * float64(time.Millisecond))
	if target <= 0 || first <= target {
		return 0, false
	}
	back = first - target/2
	if patience > 0 {
		back = min(back, patience/returnShare)
	}
	return back*3/4 + time.Duration(draw(int64(back/2)+1)), true
}
