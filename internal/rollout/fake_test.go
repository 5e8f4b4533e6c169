package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

const turn = 3 * time.Second

var errLost = errors.New("the answer was lost")

// fakeBook is the store's lease object.
type fakeBook struct {
	mu    sync.Mutex
	lease rollout.Lease
	// down refuses calls, lost writes and gives no answer.
	down, lost bool
}

func (b *fakeBook) Read(context.Context) (rollout.Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return rollout.Lease{}, registry.ErrRefused
	}
	if b.lease.Revision == 0 {
		return rollout.Lease{}, registry.ErrNotFound
	}
	return b.lease, nil
}

func (b *fakeBook) Write(_ context.Context, l rollout.Lease) (rollout.Lease, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return rollout.Lease{}, registry.ErrRefused
	}
	if l.Revision != b.lease.Revision {
		return rollout.Lease{}, registry.ErrConflict
	}
	l.Revision++
	b.lease = l
	if b.lost {
		return rollout.Lease{}, errLost
	}
	return l, nil
}

// fakeClock is one VM's clocks. The steady one can stand still.
type fakeClock struct {
	mu   sync.Mutex
	now  time.Time
	boot time.Duration
}

func newClock() *fakeClock { return &fakeClock{now: start} }

func (c *fakeClock) clock() rollout.Clock {
	return rollout.Clock{
		Now: func() time.Time {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.now
		},
		Boot: func() time.Duration {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.boot
		},
	}
}

func (c *fakeClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	c.boot += d
}

// sleep lets the VM sleep: only the boot clock goes on.
func (c *fakeClock) sleep(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boot += d
}

func newKeeper(b rollout.LeaseStore, c *fakeClock, holder string, resigned map[string]bool) *rollout.Elector {
	return rollout.NewElector(rollout.ElectorOptions{
		Store: b, Clock: c.clock(), Holder: holder, Incarnation: 1, HandoverDelay: turn,
		SteppedDown:      func(holder string, _ int64, _ uint64) bool { return resigned[holder] },
		DesiredAges:      func(time.Time) []roster.DesiredAge { return nil },
		MergeDesiredAges: func(time.Time, []roster.DesiredAge) {},
	})
}

// given is one order as an engine saw it.
type given struct {
	at       time.Time
	engine   string
	version  int64
	expected int64
	fence    uint64
}

// fakeEngines takes orders in real time.
type fakeEngines struct {
	mu      sync.Mutex
	version map[string]int64
	orders  map[string]int64
	busy    map[string]time.Time
	target  map[string]int64
	given   []given
	// unanswered loses the answers of the first orders, late holds them back.
	unanswered int
	late       time.Duration
}

const loadTime = 60 * time.Millisecond

func newEngines(list []roster.Upstream) *fakeEngines {
	e := &fakeEngines{version: map[string]int64{}, orders: map[string]int64{}, busy: map[string]time.Time{}, target: map[string]int64{}}
	for _, u := range list {
		e.version[u.ID] = u.Version
	}
	return e
}

func (e *fakeEngines) settle(id string) {
	if at, found := e.busy[id]; found && time.Now().After(at) {
		e.version[id] = e.target[id]
		delete(e.busy, id)
	}
}

func (e *fakeEngines) Report(_ context.Context, u roster.Upstream) (rollout.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle(u.ID)
	_, busy := e.busy[u.ID]
	return rollout.Report{Version: e.version[u.ID], Busy: busy, Orders: e.orders[u.ID]}, nil
}

func (e *fakeEngines) Load(_ context.Context, o rollout.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := o.Upstream.ID
	e.settle(id)
	e.given = append(e.given, given{time.Now(), id, o.Version, o.Expected, o.Fence})
	if e.unanswered > 0 {
		e.unanswered--
		if e.late > 0 {
			time.AfterFunc(e.late, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				_ = e.take(id, o)
			})
		} else {
			_ = e.take(id, o)
		}
		return errLost
	}
	return e.take(id, o)
}

func (e *fakeEngines) take(id string, o rollout.Order) error {
	e.settle(id)
	if _, busy := e.busy[id]; busy || e.orders[id] != o.Expected {
		return fmt.Errorf("%w: busy or other orders came first", rollout.ErrDeclined)
	}
	e.orders[id]++
	e.target[id] = o.Version
	e.busy[id] = time.Now().Add(loadTime)
	return nil
}

func (e *fakeEngines) all(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.version {
		e.settle(id)
		if e.version[id] != version {
			return false
		}
	}
	return true
}

func (e *fakeEngines) seen() []given {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]given(nil), e.given...)
}
