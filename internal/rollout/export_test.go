package rollout

import "time"

// HandoverEnd returns when the first order may be sent to an engine that the
// previous holder was changing.
func (e *Elector) HandoverEnd() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handoverEnd
}
