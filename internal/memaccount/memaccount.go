// Package memaccount accounts for the memory that is held for callers: bodies as they
// arrive and responses that callers have not read. An Account has one limit in total, and
// lower ones for the large bodies of all callers, of one source address and of one
// organisation. Where a limit is reached, bodies that have stopped arriving give way to
// those that arrive, the largest and slowest first. What has been passed on to an upstream
// is never taken away.
//
// # Usage
//
//	account := memaccount.New(16 << 20)
//	h := account.Open(now, memaccount.Owner{Source: source}, expire)
//	defer h.Release()
//	if err := h.Grow(now, n); err != nil {
//		return err // ErrFull: wait or refuse; ErrEvicted: refuse
//	}
//	h.Received(now, n)
//	h.Complete() // the request is passed on
//
// An Account and its Holdings are safe for concurrent use.
package memaccount

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body does not count as large. The bodies of
	// ordinary prompts are smaller.
	SmallBytes = 256 << 10
	// largeShare is the share of the account that large bodies may take together, and
	// ownerShare that of one source or organisation, of which many callers may share one. The
	// rest stays for small bodies.
	largeShare = 0.75
	ownerShare = 0.65

	// rateWindow is the period over which the rate of a body is measured. It spans the
	// retransmissions of a link that loses packets.
	rateWindow = time.Second
	// stalledRate is the rate in bytes per second below which a body has stopped. An
	// honest slow caller sends six times as much.
	stalledRate = 16 << 10
	// minEvictAge is how long a body has arrived at least when it counts as stopped.
	minEvictAge = 500 * time.Millisecond
)

// Kind is what memory is held for.
type Kind string

const (
	// Bodies are the bodies of requests.
	Bodies Kind = "bodies"
	// Responses are parts of responses that callers have not read.
	Responses Kind = "responses"
)

var (
	// ErrFull means that there is no room at the moment.
	ErrFull = errors.New("memaccount: no room")
	// ErrEvicted means that the holding had to give way to others.
	ErrEvicted = errors.New("memaccount: given way to others")
)

// Owner is whom memory is held for. The organisation is empty until it is known.
type Owner struct {
	Source, Organisation string
}

// Account is a limit on the memory that is held for callers. It is created by New.
type Account struct {
	total, large, perOwner int64

	mu        sync.Mutex
	held      map[Kind]int64
	heldLarge int64
	// largeOf holds the bytes and the number of the large bodies of each source and
	// organisation.
	largeOf map[ownerKey]usage
	// receiving holds the bodies that are still arriving.
	receiving map[*Holding]bool
	evicted   int64
	refused   int64
}

// ownerKey names a source or an organisation.
type ownerKey struct {
	organisation bool
	name         string
}

type usage struct {
	bytes int64
	count int
}

// New returns an Account with a limit in bytes.
func New(total int64) *Account {
	return &Account{
		total: total, large: int64(largeShare * float64(total)), perOwner: int64(ownerShare * float64(total)),
		held: make(map[Kind]int64), largeOf: make(map[ownerKey]usage), receiving: make(map[*Holding]bool),
	}
}

// Holding is the memory that is held for one request. It is created by Open.
type Holding struct {
	account *Account
	owner   Owner
	// expire ends the read that the holding waits in.
	expire func()

	// All below is guarded by the account's lock.
	held            int64
	complete, ended bool
	evicted         bool
	// waiting is set while the owner waits for room, so that it can't receive.
	waiting bool
	// The current window began at windowAt with bytes so far; the one before began at
	// previousAt.
	openedAt, previousAt, windowAt time.Time
	previousBytes, windowBytes     int64
}

// Open returns an empty Holding for a body that begins to arrive now. expire is called, at
// most once, when it has to give way: it must end the pending read and must not block or
// call the account.
func (a *Account) Open(now time.Time, owner Owner, expire func()) *Holding {
	h := &Holding{account: a, owner: owner, expire: expire, openedAt: now, previousAt: now, windowAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiving[h] = true
	return h
}

// Grow adds n bytes to what is held, if need be in place of bodies that have stopped
// arriving.
func (h *Holding) Grow(now time.Time, n int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	for {
		within := a.blockedFor(h, n)
		if within == nil {
			h.waiting = false
			a.add(h, n)
			return nil
		}
		victim := a.victim(now, h, within)
		if victim == nil {
			h.waiting = true
			return ErrFull
		}
		a.evict(victim)
	}
}

// blockedFor returns nil if a holding may grow by n bytes. Otherwise it reports of other
// holdings whether their end makes room. The caller holds the lock.
func (a *Account) blockedFor(h *Holding, n int64) func(*Holding) bool {
	if a.sum()+n > a.total {
		return func(*Holding) bool { return true }
	}
	if h.held+n <= SmallBytes {
		return nil
	}
	added := n
	if !h.isLarge() {
		added = h.held + n
	}
	if a.heldLarge+added > a.large {
		return (*Holding).isLarge
	}
	for _, key := range h.keys() {
		// A body that is alone is within the limit on bodies.
		others := a.largeOf[key]
		if h.isLarge() {
			others.count--
		}
		if others.count > 0 && a.largeOf[key].bytes+added > a.perOwner {
			return func(o *Holding) bool {
				return o.isLarge() && slices.Contains(o.keys(), key)
			}
		}
	}
	return nil
}

// victim returns the holding that gives way to another one, nil if there is none: of the
// bodies that have stopped the one with the most bytes for its rate, or for a small body a
// large one that waits for room itself. The caller holds the lock.
func (a *Account) victim(now time.Time, requester *Holding, within func(*Holding) bool) *Holding {
	var worst *Holding
	worstScore := 0.0
	small := !requester.isLarge()
	for h := range a.receiving {
		if h == requester || h.held == 0 || !within(h) {
			continue
		}
		rate := h.rate(now)
		stopped := !h.waiting && rate < stalledRate && now.Sub(h.openedAt) >= minEvictAge
		if !stopped && (!small || !h.waiting || h.held <= requester.held) {
			continue
		}
		if score := float64(h.held) / (rate + 1); score > worstScore {
			worst, worstScore = h, score
		}
	}
	return worst
}

func (a *Account) evict(h *Holding) {
	h.evicted = true
	a.evicted++
	delete(a.receiving, h)
	a.add(h, -h.held)
	h.expire()
}

// add changes what a holding has by n bytes. The caller holds the lock.
func (a *Account) add(h *Holding, n int64) {
	a.held[Bodies] += n
	a.addLarge(h, -1)
	h.held += n
	a.addLarge(h, 1)
}

// addLarge counts a holding among the large bodies, or takes it out again if sign is -1.
func (a *Account) addLarge(h *Holding, sign int) {
	if !h.isLarge() {
		return
	}
	a.heldLarge += int64(sign) * h.held
	for _, key := range h.keys() {
		u := a.largeOf[key]
		u.bytes += int64(sign) * h.held
		u.count += sign
		if u.count == 0 {
			delete(a.largeOf, key)
			continue
		}
		a.largeOf[key] = u
	}
}

func (a *Account) sum() int64 {
	sum := int64(0)
	for _, n := range a.held {
		sum += n
	}
	return sum
}

func (h *Holding) isLarge() bool { return h.held > SmallBytes }

// keys returns the source and the organisation of a holding.
func (h *Holding) keys() []ownerKey {
	keys := []ownerKey{{name: h.owner.Source}}
	if h.owner.Organisation != "" {
		keys = append(keys, ownerKey{organisation: true, name: h.owner.Organisation})
	}
	return keys
}

// rate returns the bytes per second that have arrived lately.
func (h *Holding) rate(now time.Time) float64 {
	elapsed := now.Sub(h.previousAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	return float64(h.previousBytes+h.windowBytes) / elapsed
}

// Received records that n bytes have arrived.
func (h *Holding) Received(now time.Time, n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if now.Sub(h.windowAt) >= rateWindow {
		h.previousAt, h.previousBytes = h.windowAt, h.windowBytes
		h.windowAt, h.windowBytes = now, 0
	}
	h.windowBytes += n
}

// Shrink gives n bytes back.
func (h *Holding) Shrink(n int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.evicted && !h.ended {
		h.account.add(h, -n)
	}
}

// Complete records that the body has arrived whole. From now on it does not give way. It
// returns ErrEvicted if it has done so before.
func (h *Holding) Complete() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.complete = true
	delete(h.account.receiving, h)
	return nil
}

// Evicted reports whether the holding had to give way.
func (h *Holding) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Release gives everything back. Calling it again has no effect.
func (h *Holding) Release() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	delete(h.account.receiving, h)
	if !h.evicted {
		h.account.add(h, -h.held)
	}
}

// TryAdd adds n bytes of a response that a caller has not read. It reports whether there
// was room.
func (a *Account) TryAdd(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sum()+n > a.total {
		return false
	}
	a.held[Responses] += n
	return true
}

// Remove gives back n bytes that TryAdd has added.
func (a *Account) Remove(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held[Responses] -= n
}

// RecordRefused counts a request that got no room.
func (a *Account) RecordRefused() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refused++
}

// Status is the state of an Account.
type Status struct {
	Limit int64 `json:"limit"`
	// Held is the number of bytes by what they are held for, and Large that of large
	// bodies.
	Held  map[Kind]int64 `json:"held"`
	Large int64          `json:"large"`
	// Arriving is the number of bodies that are arriving, Evicted that of those that had
	// to give way so far, and Refused that of requests that got no room.
	Arriving int   `json:"arriving"`
	Evicted  int64 `json:"evicted"`
	Refused  int64 `json:"refused"`
}

// Status returns the state of the account.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{Limit: a.total, Held: maps.Clone(a.held), Large: a.heldLarge, Arriving: len(a.receiving), Evicted: a.evicted, Refused: a.refused}
}
