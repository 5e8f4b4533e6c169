package routing

import "sync/atomic"

// Holder holds the configuration in force. It never goes back to an older
// revision. The zero value holds none. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, or nil if there is none yet.
func (h *Holder) Current() *Config { return h.current.Load() }

// Revision returns the revision in force, or 0 if there is none yet.
func (h *Holder) Revision() uint64 {
	if c := h.current.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Offer puts c in force if it is newer, and reports whether it was.
func (h *Holder) Offer(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.revision >= c.revision {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
