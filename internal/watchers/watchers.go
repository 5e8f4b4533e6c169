// Package watchers decides which VMs of a large fleet watch the store. A few do; the others
// fetch what changes from peers, so that the number of calls does not grow with the fleet.
//
// In a large fleet a VM hears most others only every few seconds. So beacons carry reports of
// the VMs that watch, each with a stamp by the clock of the VM that it is about, and VMs pass
// on the reports of others with their age. A VM that stops watching reports that as well.
//
// # Usage
//
//	t := watchers.New(watchers.Options{Name: "vm-1", Incarnation: 1, LinkMbps: 200, StartedAt: time.Now()})
//	t.Learn(time.Now(), received.Watchers)
//	watches := t.Decide(time.Now(), fleet)
//	beacon.Watchers = t.Reports(time.Now(), watches && storeHealthy, era)
//
// A Tracker is safe for concurrent use.
package watchers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Target is the number of VMs that watch the store in a large fleet.
	Target = 4
	// JoinPeriod is how long a starting VM collects its peers' beacons before it relies on
	// the size of the fleet.
	JoinPeriod = 1500 * time.Millisecond
	// reportTTL is how long a VM counts as watching after the stamp of its last report. News
	// pass through a fleet of hundreds of VMs within a second.
	reportTTL = 1500 * time.Millisecond
	// forgetAfter is how long reports are kept, so that late copies of them are known.
	forgetAfter = 10 * time.Second
	// takeoverStep is the time by which each group of Target VMs waits longer than the one
	// before it when a place is vacant, and maxTakeoverSteps limits that wait.
	takeoverStep     = 150 * time.Millisecond
	maxTakeoverSteps = 8
	// maxReports limits the reports in a message, and maxKnown those that are kept.
	maxReports = 8
	maxKnown   = 64
)

// Report says whether a VM watches the store. Its CBOR keys are part of the protocol between
// VMs.
type Report struct {
	Name     string `json:"name" cbor:"1,keyasint"`
	LinkMbps int    `json:"link_mbps,omitempty" cbor:"2,keyasint,omitempty"`
	// Stamp orders the reports about a VM, also across its restarts. It is in milliseconds.
	Stamp int64 `json:"stamp" cbor:"3,keyasint"`
	// AgeMS is how long ago the report was made.
	AgeMS int64 `json:"age_ms,omitempty" cbor:"4,keyasint,omitempty"`
	// Stopped is set if the VM no longer watches.
	Stopped bool `json:"stopped,omitempty" cbor:"5,keyasint,omitempty"`
	// Era is the era of the store that the VM follows.
	Era uint64 `json:"era,omitempty" cbor:"6,keyasint,omitempty"`
}

// VM is what Tracker knows of another VM of the fleet.
type VM struct {
	Name     string
	LinkMbps int
}

// Fleet is the fleet as this VM sees it.
type Fleet struct {
	// Large is set if only a few VMs watch. Otherwise all do.
	Large bool
	// Peers are the VMs that have been heard lately and don't leave.
	Peers []VM
	// Era is the era of the store that this VM follows. VMs of an earlier one don't count.
	Era uint64
}

// Options sets up a Tracker. All fields are required.
type Options struct {
	Name        string
	Incarnation int64
	LinkMbps    int
	StartedAt   time.Time
}

// Tracker holds the reports of one VM and decides for it.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// reports holds the newest report about each other VM.
	reports map[string]received
	// vacantSince is when fewer than Target VMs were first known to watch before this one in
	// order, or zero.
	vacantSince time.Time
	// watched is set once this VM has reported that it watches.
	watched bool
}

type received struct {
	Report
	// madeAt is when the report was made, by this VM's clock.
	madeAt time.Time
}

// New returns a Tracker.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, reports: make(map[string]received)}
}

// Learn takes the reports of a peer's message. Older ones than those known are ignored, and
// so are those about this VM and those beyond the limits.
func (t *Tracker) Learn(now time.Time, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.reports {
		if now.Sub(r.madeAt) > forgetAfter {
			delete(t.reports, name)
		}
	}
	for _, r := range reports[:min(maxReports, len(reports))] {
		age := time.Duration(max(0, r.AgeMS)) * time.Millisecond
		known, found := t.reports[r.Name]
		if r.Name == "" || r.Name == t.opts.Name || age > forgetAfter || found && r.Stamp <= known.Stamp || !found && len(t.reports) >= maxKnown {
			continue
		}
		t.reports[r.Name] = received{r, now.Add(-age)}
	}
}

// Decide reports whether this VM should watch. In a large fleet it does if fewer than Target
// of the VMs that precede it do. VMs with larger links precede others, and those with equal
// links are in rendezvous order. The first ones in order take a vacant place first, so that
// not all VMs do at once.
func (t *Tracker) Decide(now time.Time, fleet Fleet) bool {
	if now.Sub(t.opts.StartedAt) < JoinPeriod {
		return false
	}
	if !fleet.Large {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	preceding := 0
	for _, r := range t.reports {
		if r.watches(now, fleet.Era) && t.precedes(VM{r.Name, r.LinkMbps}) {
			preceding++
		}
	}
	if preceding >= Target {
		t.vacantSince = time.Time{}
		return false
	}
	if t.vacantSince.IsZero() {
		t.vacantSince = now
	}
	rank := 0
	for _, vm := range fleet.Peers {
		if t.precedes(vm) {
			rank++
		}
	}
	return now.Sub(t.vacantSince) >= time.Duration(min(rank/Target, maxTakeoverSteps))*takeoverStep
}

// Watched reports whether a VM is known to watch.
func (t *Tracker) Watched(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.reports {
		if r.watches(now, 0) {
			return true
		}
	}
	return false
}

func (r received) watches(now time.Time, era uint64) bool {
	return !r.Stopped && r.Era >= era && now.Sub(r.madeAt) < reportTTL
}

// precedes reports whether another VM precedes this one.
func (t *Tracker) precedes(vm VM) bool {
	if vm.LinkMbps != t.opts.LinkMbps {
		return vm.LinkMbps > t.opts.LinkMbps
	}
	return xxhash.Sum64String("watch/"+vm.Name) < xxhash.Sum64String("watch/"+t.opts.Name)
}

// Reports returns the reports for the next message: this VM's own, if it watches or has
// watched, and the latest ones about others.
func (t *Tracker) Reports(now time.Time, watching bool, era uint64) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, r := range t.reports {
		if age := now.Sub(r.madeAt); age < reportTTL {
			r.AgeMS = age.Milliseconds()
			list = append(list, r.Report)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Name, b.Name)) })
	t.watched = t.watched || watching
	if t.watched {
		list = slices.Insert(list, 0, Report{
			Name: t.opts.Name, LinkMbps: t.opts.LinkMbps, Stamp: t.opts.Incarnation + now.Sub(t.opts.StartedAt).Milliseconds(), Stopped: !watching, Era: era,
		})
	}
	return list[:min(maxReports, len(list))]
}
