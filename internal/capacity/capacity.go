// Package capacity learns how fast the upstreams of a service are, and how many requests
// at a time a plain upstream takes without slowing down, from the responses that all VMs
// observe.
//
// # Usage
//
//	book := capacity.NewBook()
//	book.Retain(now, upstreams)
//	book.Observe(now, "i-1@7", expected, observed) // of some events of a stream
//	book.ObservePlain(now, "i-9@7", inFlight, elapsed)
//	message.Capacity = book.Reports(now)
//	book.Learn(now, peer, process, message.Capacity)
//	changes := book.Refresh(now)
//	figure := book.Speed("i-1@7")
//
// Each VM counts its own observations in sums that only grow. A peer adds the increase
// since the last sums that it received, so lost and repeated messages do no harm.
//
// The upstreams of a service are compared with one another: a slowdown of all alike is
// load, which costmodel.Slowdown follows. A figure other than 1 takes effect only when it
// is significant.
//
// A Book is safe for concurrent use.
package capacity

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Upstream names an incarnation of an upstream and its service.
type Upstream struct {
	Incarnation, Service string
	// Slots is the number of requests that it takes at a time.
	Slots int
}

// Figure is what is learnt of one incarnation of an upstream.
type Figure struct {
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	// Factor is the speed against the configured figures: 1 is as configured, 2 is twice
	// as fast. It includes what slows all upstreams of the service alike. A plain
	// upstream has no configured figures, and its Factor is that against one request in
	// 100 ms.
	Factor float64 `json:"factor"`
	// Measured is Factor against the median of the service.
	Measured float64 `json:"measured"`
	// Relative is Measured if that is significant, and 1 otherwise. Waits are divided by it.
	Relative float64 `json:"relative"`
	// Weight is the upstream's share of the prompts against that of others. It follows
	// Relative in steps and late.
	Weight float64 `json:"weight"`
	// Concurrent is the number of requests up to which the times of a plain upstream stay
	// constant, or 0 if it is unknown or not below that of the service's other upstreams.
	Concurrent int `json:"concurrent,omitempty"`
	// Samples is the number of observations that count, AgeMS the time since the last one.
	Samples float64 `json:"samples"`
	AgeMS   int64   `json:"age_ms"`
	// Confidence is the part of Factor, from 0 to 1, that the upstream's own observations
	// determine. The rest is the mean of its service.
	Confidence float64 `json:"confidence"`
	// Slow and Fast report a significant difference from the service's median.
	Slow bool `json:"slow,omitempty"`
	Fast bool `json:"fast,omitempty"`
}

// Change is an upstream or a service that has been found to differ, or to do so no more.
type Change struct {
	// Figure is that of the upstream, zero for a change of a service.
	Figure Figure
	// Service is set for a change of Uneven, and Uneven is its new value.
	Service string
	Uneven  bool
}

// Book holds the observations of one VM and its peers, and the figures learnt from them.
type Book struct {
	mu sync.Mutex
	// entries are ordered by incarnation, so that sums do not depend on the order of a map.
	entries []*entry
	byName  map[string]*entry
	// byID holds nil for an ID that two incarnations share: reports of it are ignored.
	byID  map[uint32]*entry
	peers map[string]*peer
	// baselines is the number of sums held of peers.
	baselines int
	expiredAt time.Time
	services  map[string]*service
	// origin is the time of the first observation or refresh, and newest the present bucket.
	origin time.Time
	newest int64
	// cursor is the entry with which the next report begins.
	cursor int
}

// entry is what a Book holds of one incarnation.
type entry struct {
	upstream Upstream
	id       uint32
	// own and ownLevels are the sums of this VM's observations, which only grow. changedAt
	// is when they last did.
	own       waitSums
	ownLevels []LevelSums
	changedAt time.Time
	estimate  estimate
	// ratio is the observed against the expected wait and the service's ratio, and difference the logarithm of the
	// speed against the median of the service.
	ratio, difference float64
	levels            levels
	figure            Figure
}

// service is what a Book holds of a service.
type service struct {
	uneven bool
	means  means
	// spread is the standard deviation of the logarithm of one observation.
	spread float64
	// differsAt is when enough of its upstreams last differed.
	differsAt time.Time
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{byName: make(map[string]*entry), byID: make(map[uint32]*entry), peers: make(map[string]*peer), services: make(map[string]*service)}
}

// hashID returns the ID of an incarnation in reports.
func hashID(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation) >> 32) }

// Retain sets the incarnations of which observations count. What is known of all others is
// forgotten.
func (b *Book) Retain(now time.Time, list []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unchanged(list) {
		b.expirePeers(now)
		return
	}
	entries := make([]*entry, 0, len(list))
	clear(b.byID)
	byName := make(map[string]*entry, len(list))
	for _, u := range list {
		e := b.byName[u.Incarnation]
		if e == nil {
			e = &entry{id: hashID(u.Incarnation), figure: neutralFigure(u)}
		}
		e.upstream = u
		entries = append(entries, e)
		byName[u.Incarnation] = e
		if _, shared := b.byID[e.id]; shared {
			e = nil
		}
		b.byID[hashID(u.Incarnation)] = e
	}
	slices.SortFunc(entries, func(x, y *entry) int { return strings.Compare(x.upstream.Incarnation, y.upstream.Incarnation) })
	b.entries, b.byName = entries, byName
	b.expirePeers(now)
}

// unchanged reports whether the list names exactly the known incarnations.
func (b *Book) unchanged(list []Upstream) bool {
	if len(list) != len(b.entries) {
		return false
	}
	for _, u := range list {
		if e := b.byName[u.Incarnation]; e == nil || e.upstream != u {
			return false
		}
	}
	return true
}

func neutralFigure(u Upstream) Figure {
	return Figure{Incarnation: u.Incarnation, Service: u.Service, Factor: 1, Measured: 1, Relative: 1, Weight: 1}
}

const (
	// minExpectedMS is the shortest expected wait that is an observation. Shorter ones say
	// nothing, since the steps of an engine take as long.
	minExpectedMS = 5
	// maxRatio bounds the influence of one observation: it counts as at most that many times
	// the service's usual wait for what was expected. In covesim, four tells engines apart
	// with fewer observations than eight.
	maxRatio = 4
	// minRatioDivisor bounds it from below, for waits that fetched prompts make short.
	minRatioDivisor = 16
)

// Observe records some events of a sound stream of this VM's: the time that they took, and
// that which they would take at a Factor of 1.
func (b *Book) Observe(now time.Time, incarnation string, expected, observed time.Duration) {
	if expected < minExpectedMS*time.Millisecond {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byName[incarnation]
	if e == nil {
		return
	}
	usual := time.Duration(float64(expected) * b.usualRatio(e.upstream.Service))
	observed = min(max(observed, expected/minRatioDivisor), usual*maxRatio)
	s := waitSums{1, uint64(expected.Milliseconds()), uint64(max(1, observed.Milliseconds()))}
	e.own = e.own.plus(s)
	e.changedAt = now
	e.estimate.add(now, b.bucket(now), s.floats())
}

// usualRatio returns the mean ratio of observed to expected waits in a service, which is 1
// at least.
func (b *Book) usualRatio(name string) float64 {
	if s := b.services[name]; s != nil {
		return max(1, s.means.now)
	}
	return 1
}

// maxPlainTime bounds the time of a plain request that counts.
const maxPlainTime = 5 * time.Second

// ObservePlain records a sound response of a plain upstream that came elapsed after its
// request was sent. inFlight is the number of requests there then, this one included.
func (b *Book) ObservePlain(now time.Time, incarnation string, inFlight int, elapsed time.Duration) {
	elapsed = min(max(elapsed, time.Millisecond), maxPlainTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byName[incarnation]
	if e == nil || inFlight < 1 {
		return
	}
	level := min(inFlight, e.upstream.Slots, maxLevels) - 1
	if level < 0 {
		return // the upstream names no slots
	}
	s := LevelSums{1, uint64(elapsed.Milliseconds())}
	for len(e.ownLevels) <= level {
		e.ownLevels = append(e.ownLevels, LevelSums{})
	}
	e.ownLevels[level] = e.ownLevels[level].plus(s)
	e.changedAt = now
	e.addLevel(now, b.bucket(now), level, s)
}

// addLevel adds responses of a plain upstream to the estimates of its entry.
func (e *entry) addLevel(now time.Time, bucket int64, level int, s LevelSums) {
	e.levels.add(now, level, float64(s[0]), float64(s[1]))
	e.estimate.add(now, bucket, sums{float64(s[0]), float64(s[0]) * plainReferenceMS, float64(s[1])})
}

// Speed returns the figure of an incarnation as of the last Refresh, which is neutral for
// an unknown one.
func (b *Book) Speed(incarnation string) Figure {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byName[incarnation]; e != nil {
		return e.figure
	}
	return neutralFigure(Upstream{Incarnation: incarnation})
}

// Figures returns the figures of all incarnations as of the last Refresh, ordered by
// incarnation.
func (b *Book) Figures() []Figure {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Figure, 0, len(b.entries))
	for _, e := range b.entries {
		list = append(list, e.figure)
	}
	return list
}

// Uneven reports whether the upstreams of a service differ in speed, as of the last
// Refresh.
func (b *Book) Uneven(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	return s != nil && s.uneven
}

// UnevenServices returns the names of the services whose upstreams differ in speed.
func (b *Book) UnevenServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, s := range b.services {
		if s.uneven {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
