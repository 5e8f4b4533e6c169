// Package leader tracks which VM leads the rollout of weights, and whether it has let go of
// the lease, so that another one can take over without waiting for the end of a term.
//
// A VM that no longer holds the lease with some fence never sends orders under that fence
// again. So whoever hears that may pass it on, however old it is. In a large fleet a VM hears
// most others only every few seconds, too late to learn it from the leader itself.
//
// # Usage
//
//	t := leader.NewTracker("vm-1")
//	t.RecordLeading(time.Now(), leader.Leading{Name: "vm-2", Fence: 7})
//	t.RecordLetGo(time.Now(), leader.LetGo{Holder: "vm-2", Incarnation: 1, Fence: 7, Lost: true})
//	rank := t.Rank(0, servingVMs)
//
// A Tracker is safe for concurrent use.
package leader

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tellFor is how long a VM passes on that a lease was let go.
const tellFor = 20 * time.Second

// LetGo says that a VM no longer holds the lease with this fence or an earlier one. Its CBOR
// keys are part of the protocol between VMs.
type LetGo struct {
	Holder      string `json:"holder" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	Fence       uint64 `json:"fence" cbor:"3,keyasint"`
	// Lost is set if the VM could not renew the lease, and did not release it.
	Lost bool `json:"lost,omitempty" cbor:"4,keyasint,omitempty"`
	// AgeMS is for how long this has been known.
	AgeMS int64 `json:"age_ms,omitempty" cbor:"5,keyasint,omitempty"`
}

// Leading says that a VM has led under a fence. Its CBOR keys are part of the protocol between
// VMs.
type Leading struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Fence uint64 `json:"fence" cbor:"2,keyasint"`
	// Renewal is the last renewal of the lease that the store confirmed, or 0 if the
	// sender does not know it.
	Renewal uint64 `json:"renewal,omitempty" cbor:"3,keyasint,omitempty"`
}

// Tracker holds what one VM knows of the leaders.
type Tracker struct {
	name string

	mu sync.Mutex
	// leading is the one with the highest fence and, of those, the last renewal, learnt
	// at leadingAt.
	leading   Leading
	leadingAt time.Time
	// letGo is the one with the highest fence, learnt at letGoAt.
	letGo   LetGo
	letGoAt time.Time
}

// NewTracker returns a Tracker of the VM with this name.
func NewTracker(name string) *Tracker { return &Tracker{name: name} }

// RecordLeading records that a VM leads.
func (t *Tracker) RecordLeading(now time.Time, l Leading) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Name != "" && (l.Fence > t.leading.Fence || l.Fence == t.leading.Fence && l.Renewal > t.leading.Renewal) {
		t.leading, t.leadingAt = l, now
	}
}

// LastRenewal returns the last known renewal of the lease with a fence, and when this VM
// first heard of it. It returns a zero time if none is known.
func (t *Tracker) LastRenewal(fence uint64) (renewal uint64, heardAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fence != t.leading.Fence || t.leading.Renewal == 0 {
		return 0, time.Time{}
	}
	return t.leading.Renewal, t.leadingAt
}

// Leading returns the last leader for this VM's peers, or nil if it has been known for long.
func (t *Tracker) Leading(now time.Time) *Leading {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leading.Fence == 0 || now.Sub(t.leadingAt) > tellFor {
		return nil
	}
	l := t.leading
	return &l
}

// RecordLetGo records that a VM, maybe this one, has let go of the lease.
func (t *Tracker) RecordLetGo(now time.Time, l LetGo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.Holder == "" || l.Fence <= t.letGo.Fence {
		return
	}
	t.letGo, t.letGoAt = l, now.Add(-time.Duration(max(0, l.AgeMS))*time.Millisecond)
}

// LetGo returns what this VM tells its peers, or nil.
func (t *Tracker) LetGo(now time.Time) *LetGo {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now.Sub(t.letGoAt)
	if t.letGo.Fence == 0 || age > tellFor {
		return nil
	}
	l := t.letGo
	l.AgeMS = age.Milliseconds()
	return &l
}

// SteppedDown reports whether a VM is known to have let go of the lease with this fence.
func (t *Tracker) SteppedDown(holder string, incarnation int64, fence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.letGo.Fence >= fence && t.letGo.Holder == holder && t.letGo.Incarnation == incarnation
}

// Lost reports whether the last known leader has lost the lease, and since when that is known.
func (t *Tracker) Lost() (since time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.letGoAt, t.lost()
}

func (t *Tracker) lost() bool { return t.letGo.Lost && t.letGo.Fence >= t.leading.Fence }

// Rank returns this VM's rank in the order in which VMs try to take the lease, 0 for the
// first: the last leader comes first, or last if it has lost the lease, the others are
// ordered by rendezvous hashing. ownFence is the fence of the last lease that this VM held, or 0, and
// serving holds the names of the other VMs that serve.
func (t *Tracker) Rank(ownFence uint64, serving []string) int {
	t.mu.Lock()
	first := t.leading.Name
	if ownFence > 0 && ownFence >= t.leading.Fence {
		first = t.name
	}
	last := ""
	if t.lost() {
		first, last = "", t.letGo.Holder
	}
	t.mu.Unlock()
	position := func(name string) int { return boolToInt(name == last) - boolToInt(name == first) }
	names := append([]string{t.name}, serving...)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), cmp.Compare(xxhash.Sum64String("rollout/"+a), xxhash.Sum64String("rollout/"+b)))
	})
	return slices.Index(names, t.name)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
