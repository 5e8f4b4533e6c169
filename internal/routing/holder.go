package routing

import "sync/atomic"

// Holder holds the current configuration. It never returns to an older one.
// The zero value holds none. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the current configuration, or nil if there is none yet.
func (h *Holder) Current() *Config { return h.current.Load() }

// Revision returns the revision of the current configuration, or 0 if there is none yet.
func (h *Holder) Revision() uint64 {
	if c := h.current.Load(); c != nil {
		return c.revision
	}
	return 0
}

// Offer replaces the current configuration if c is newer, and reports whether it was.
// After the store has come back from a copy, c is newer if its version is not lower:
// the store may not have got the current one back yet.
func (h *Holder) Offer(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && !c.isNewer(old) {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Retain replaces the current configuration if c has a higher version, and reports
// whether it was replaced. c was in force at another VM before the store came back from
// a copy that lacks it.
func (h *Holder) Retain(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Version() >= c.Version() {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

func (c *Config) isNewer(old *Config) bool {
	if c.era == old.era {
		return c.revision > old.revision
	}
	return c.era > old.era && c.Version() >= old.Version()
}
