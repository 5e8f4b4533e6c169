package standin

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

var errNoAnswer = errors.New("standin: no answer")

const (
	// storeResponseTime is that of a store at rest.
	storeResponseTime = 4 * time.Millisecond
	// storeCallTimeout is how long a client waits for a list, and for a watch beyond its wait.
	storeCallTimeout = 1500 * time.Millisecond
)

// SilentStore is the way of one client to a store with one object, which is written again and
// again, in virtual time. It implements registry.Feed and is safe for concurrent use.
type SilentStore struct {
	// Writes holds when each revision was written, the first is revision 1.
	Writes []time.Time
	Now    func() time.Time
	// Calls is the number of calls made so far.
	Calls atomic.Int64

	mu               sync.Mutex
	silentAt, backAt time.Time
}

// Silence makes the store answer nothing in a period, which must not be over: what is under
// way at its start or sent in it is lost, and its connection never brings an answer.
func (s *SilentStore) Silence(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentAt, s.backAt = from, to
}

// loses reports whether the answer that would come at a time to a call sent at another one
// is lost.
func (s *SilentStore) loses(sent, answered time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sent.Before(s.backAt) && !answered.Before(s.silentAt)
}

// Revision returns the revision that the store has.
func (s *SilentStore) Revision() uint64 {
	n := uint64(0)
	for _, at := range s.Writes {
		if !at.After(s.Now()) {
			n++
		}
	}
	return n
}

// wait returns after d, or with an error after timeout if the store falls silent before.
func (s *SilentStore) wait(ctx context.Context, d, timeout time.Duration) error {
	s.Calls.Add(1)
	sent := s.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	if !s.loses(sent, sent.Add(d)) {
		return nil
	}
	select {
	case <-time.After(timeout - d):
		return errNoAnswer
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *SilentStore) page(since uint64) registry.Page[string] {
	n := s.Revision()
	p := registry.Page[string]{Revision: n, Since: since}
	if n > since {
		p.Items = []registry.Item[string]{{Name: "main", Revision: n}}
	}
	return p
}

// List implements registry.Feed.
func (s *SilentStore) List(ctx context.Context) (registry.Page[string], error) {
	if err := s.wait(ctx, storeResponseTime, storeCallTimeout); err != nil {
		return registry.Page[string]{}, err
	}
	return s.page(0), nil
}

// Watch implements registry.Feed.
func (s *SilentStore) Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Page[string], error) {
	timeout := wait + storeCallTimeout
	now := s.Now()
	if s.Revision() > after {
		wait = 0
	} else if after < uint64(len(s.Writes)) {
		wait = min(wait, s.Writes[after].Sub(now))
	}
	if err := s.wait(ctx, wait+storeResponseTime, timeout); err != nil {
		return registry.Page[string]{}, err
	}
	return s.page(after), nil
}
