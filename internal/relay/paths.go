package relay

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// minFailed is the number of upstreams of a service to which connections have failed,
	// with no success in between, after which the cause may be this VM's.
	minFailed = 2
	// forgetAfter is how long an upstream is kept to which nothing is sent.
	forgetAfter = 10 * time.Second
	// probeInterval is the time between two probes of an upstream's own link, and
	// maxProbes the number of upstreams that are probed at once.
	probeInterval = 500 * time.Millisecond
	maxProbes     = 3
)

// Paths holds which upstreams this VM reaches by itself, and which only through other VMs.
type Paths struct {
	mu sync.Mutex
	// links holds those that can't be reached, or could not until lately, by incarnation.
	links map[string]*link
	// reachedAt is when a connection to any upstream of a service was last opened.
	reachedAt map[string]time.Time
}

// link is this VM's own link to one upstream.
type link struct {
	upstream roster.Upstream
	// failures counts the failed connections in a row, the last one at failedAt.
	failures int
	failedAt time.Time
	// relayed is set while other VMs reach the upstream, since relayedSince, and usedAt is
	// when a connection through one was last opened.
	relayed              bool
	relayedSince, usedAt time.Time
	probedAt             time.Time
}

// NewPaths returns Paths for a VM that has opened no connection yet.
func NewPaths() *Paths {
	return &Paths{links: make(map[string]*link), reachedAt: make(map[string]time.Time)}
}

// RecordReached records that a connection of this VM's own has been opened. It reports
// whether the upstream was reached only through other VMs before.
func (p *Paths) RecordReached(now time.Time, u roster.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reachedAt[u.Service] = now
	l := p.links[u.Incarnation()]
	delete(p.links, u.Incarnation())
	return l != nil && l.relayed
}

// RecordFailed records a connection of this VM's own that failed. It reports whether other
// VMs may reach the upstream: its second failure in a row, or that of a second upstream of
// the service, or of all of the known ones if there are fewer.
func (p *Paths) RecordFailed(now time.Time, u roster.Upstream, known int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[u.Incarnation()]
	if l == nil {
		l = &link{upstream: u}
		p.links[u.Incarnation()] = l
	}
	l.failures++
	l.failedAt = now
	failed := 0
	for _, other := range p.links {
		if other.upstream.Service == u.Service && other.failedAt.After(p.reachedAt[u.Service]) {
			failed++
		}
	}
	return l.failures > 1 || failed >= max(1, min(minFailed, known))
}

// RecordRelayed records whether another VM has opened a connection to an upstream in place
// of this one. It reports whether that is new.
func (p *Paths) RecordRelayed(now time.Time, u roster.Upstream, reached bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[u.Incarnation()]
	if l == nil {
		return false // this VM has reached it meanwhile
	}
	changed := reached != l.relayed
	if reached {
		l.usedAt = now
	}
	if changed {
		l.relayed, l.relayedSince, l.probedAt = reached, now, now
	}
	return changed
}

// Relayed reports whether connections to the upstream go through other VMs.
func (p *Paths) Relayed(u roster.Upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[u.Incarnation()]
	return l != nil && l.relayed
}

// CutOff reports whether there is a service of which this VM reaches no upstream by itself,
// while other VMs do.
func (p *Paths) CutOff() bool { return p.CutOffFrom(func(roster.Upstream) bool { return true }) }

// CutOffFrom is CutOff for some upstreams only.
func (p *Paths) CutOffFrom(included func(u roster.Upstream) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if included(l.upstream) && l.relayed && l.relayedSince.After(p.reachedAt[l.upstream.Service]) {
			return true
		}
	}
	return false
}

// Probes returns the upstreams whose own link is to be tried now. It forgets those to which
// nothing has been sent for a while.
func (p *Paths) Probes(now time.Time) []roster.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []*link
	for incarnation, l := range p.links {
		switch {
		case now.Sub(l.failedAt) > forgetAfter && now.Sub(l.usedAt) > forgetAfter:
			delete(p.links, incarnation)
		case l.relayed && now.Sub(l.probedAt) >= probeInterval:
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *link) int {
		if c := a.probedAt.Compare(b.probedAt); c != 0 {
			return c
		}
		return strings.Compare(a.upstream.ID, b.upstream.ID)
	})
	var list []roster.Upstream
	for _, l := range due[:min(maxProbes, len(due))] {
		l.probedAt = now
		list = append(list, l.upstream)
	}
	return list
}

// Ages returns for how many milliseconds upstreams have been reached through other VMs, by
// incarnation.
func (p *Paths) Ages(now time.Time) map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	ages := make(map[string]int64)
	for incarnation, l := range p.links {
		if l.relayed {
			ages[incarnation] = now.Sub(l.relayedSince).Milliseconds()
		}
	}
	return ages
}
