package health

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBrittlePause limits the time without requests after a rejection.
	maxBrittlePause = 10 * time.Second
	// brittleMargin is by how much VMs stay below the rejections that an upstream bears.
	brittleMargin = 2
)

// Brittle holds the upstreams that say that they fall over if they turn away more than a
// number of requests in a second, from all VMs together. Each VM sends such an upstream no
// more requests at a time than its share of the slots: the shares of all VMs that know of
// one another add up to the slots. A VM without a share sends one at a time, and whoever
// is turned away pauses for so long that all VMs together stay below the number. A
// Brittle is safe for concurrent use.
type Brittle struct {
	vm    string
	peers func() []string

	mu      sync.Mutex
	entries map[string]*brittle
	// services holds the number that upstreams of a service have named last. It counts for
	// those that have not responded yet: one that is back would fall over again.
	services map[string]float64
}

// Place is an incarnation of an upstream with its number of slots.
type Place struct {
	Service, Incarnation string
	Slots                int
}

// brittle is what a Brittle holds about one incarnation.
type brittle struct {
	perSecond float64
	// running is the number of this VM's requests there since it is known.
	running int
	// pausedUntil is when this VM may send requests again.
	pausedUntil time.Time
}

// NewBrittle returns the empty Brittle of a VM. peers returns the names of the other VMs.
func NewBrittle(vm string, peers func() []string) *Brittle {
	return &Brittle{vm: vm, peers: peers, entries: make(map[string]*brittle), services: make(map[string]float64)}
}

// Observe records what a response says: the requests that the upstream can turn away in a
// second, or 0 if it doesn't say that it is brittle. It reports whether that is new.
func (b *Brittle) Observe(now time.Time, p Place, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if perSecond <= 0 {
		e := b.entries[p.Incarnation]
		delete(b.entries, p.Incarnation)
		delete(b.services, p.Service)
		return e != nil
	}
	b.services[p.Service] = perSecond
	if e := b.entries[p.Incarnation]; e != nil {
		changed := e.perSecond != perSecond
		e.perSecond = perSecond
		return changed
	}
	b.entry(now, p)
	return true
}

// RecordRejected records that an upstream has turned a request of this VM away.
func (b *Brittle) RecordRejected(now time.Time, p Place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entry(now, p); e != nil {
		_, vms := b.share(p)
		e.pausedUntil = now.Add(e.pause(vms))
	}
}

// entry returns what is held about an incarnation, or nil if it is not brittle. A VM
// without a share begins at a time of its own. The caller holds the lock.
func (b *Brittle) entry(now time.Time, p Place) *brittle {
	e := b.entries[p.Incarnation]
	perSecond := b.services[p.Service]
	if e != nil || perSecond == 0 {
		return e
	}
	e = &brittle{perSecond: perSecond}
	b.entries[p.Incarnation] = e
	if share, vms := b.share(p); share == 0 {
		const parts = 1 << 16
		part := xxhash.Sum64String("begin/"+p.Incarnation+"/"+b.vm) % parts
		e.pausedUntil = now.Add(e.pause(vms) * time.Duration(part) / parts)
	}
	return e
}

// pause returns the time after a rejection: with one each, all VMs stay below the number
// that the upstream bears.
func (e *brittle) pause(vms int) time.Duration {
	return min(maxBrittlePause, time.Duration(brittleMargin*float64(vms)/e.perSecond*float64(time.Second)))
}

// Any reports whether an upstream is brittle.
func (b *Brittle) Any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.entries)+len(b.services) > 0
}

// InService reports whether an upstream of a service is brittle.
func (b *Brittle) InService(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services[service] > 0
}

// HasRoom reports whether this VM may send one more request.
func (b *Brittle) HasRoom(now time.Time, p Place) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(now, p)
	return e == nil || b.hasRoom(now, e, p)
}

func (b *Brittle) hasRoom(now time.Time, e *brittle, p Place) bool {
	if now.Before(e.pausedUntil) {
		return false
	}
	share, _ := b.share(p)
	return e.running < max(1, share)
}

// Acquire takes room for one request, if there is some. The returned function gives it back
// and may be called more than once.
func (b *Brittle) Acquire(now time.Time, p Place) (release func(), acquired bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(now, p)
	if e == nil {
		return func() {}, true
	}
	if !b.hasRoom(now, e, p) {
		return nil, false
	}
	e.running++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		e.running--
	}), true
}

// share returns this VM's share of the slots, and the number of VMs. What
// can't be divided goes to the first VMs by rendezvous hashing. The caller holds the lock.
func (b *Brittle) share(p Place) (share, vms int) {
	names := append(b.peers(), b.vm)
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Compare(xxhash.Sum64String("brittle/"+p.Incarnation+"/"+x), xxhash.Sum64String("brittle/"+p.Incarnation+"/"+y))
	})
	share = p.Slots / len(names)
	if slices.Index(names, b.vm) < p.Slots%len(names) {
		share++
	}
	return share, len(names)
}

// Retain forgets the incarnations that are not listed.
func (b *Brittle) Retain(listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation := range b.entries {
		if !listed[incarnation] {
			delete(b.entries, incarnation)
		}
	}
}

// Numbers returns the requests that each brittle incarnation can turn away in a second.
func (b *Brittle) Numbers() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	numbers := make(map[string]float64, len(b.entries))
	for incarnation, e := range b.entries {
		numbers[incarnation] = e.perSecond
	}
	return numbers
}
