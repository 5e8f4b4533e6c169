package registry_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// contact is the time after an outage of the store from which on VMs must have every
// change that was confirmed early enough.
const contact = 3 * time.Second

var errNoAnswer = errors.New("no answer")

// silentStore is a store that answers nothing from silentAt to backAt. What is under way
// at silentAt or sent until backAt is lost: its connection never brings an answer.
type silentStore struct {
	silentAt, backAt time.Time
	// writes holds when each revision was written, the first is revision 1.
	writes []time.Time
}

// responseTime is that of a store at rest, callTimeout and watchMargin are how long its
// client waits for a list, and for a watch beyond its wait.
const (
	responseTime = 4 * time.Millisecond
	callTimeout  = 1500 * time.Millisecond
	watchMargin  = 700 * time.Millisecond
)

func (s *silentStore) revision() uint64 {
	n := uint64(0)
	for _, at := range s.writes {
		if !at.After(time.Now()) {
			n++
		}
	}
	return n
}

// wait returns after d, or with an error after timeout if the store falls silent before.
func (s *silentStore) wait(ctx context.Context, d, timeout time.Duration) error {
	sent := time.Now()
	answered := sent.Add(d)
	lost := sent.Before(s.backAt) && !answered.Before(s.silentAt)
	if lost {
		d = timeout
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	if lost {
		return errNoAnswer
	}
	return nil
}

func (s *silentStore) page(since uint64) page {
	n := s.revision()
	p := page{Revision: n, Since: since}
	if n > since {
		p.Items = []item{{Name: "main", Revision: n}}
	}
	return p
}

func (s *silentStore) List(ctx context.Context) (page, error) {
	if err := s.wait(ctx, responseTime, callTimeout); err != nil {
		return page{}, err
	}
	return s.page(0), nil
}

func (s *silentStore) Watch(ctx context.Context, after uint64, wait time.Duration) (page, error) {
	timeout := wait + watchMargin
	if s.revision() <= after {
		next := time.Now().Add(wait)
		for _, at := range s.writes[after:] {
			if at.Before(next) {
				next = at
				break
			}
		}
		wait = time.Until(next)
	} else {
		wait = 0
	}
	if err := s.wait(ctx, wait+responseTime, timeout); err != nil {
		return page{}, err
	}
	return s.page(after), nil
}

// Guards against a change that is confirmed right after an outage of the store and not in
// force in time, because the VM waits for the answer to a call that the outage has lost.
// An outage of no length loses what is under way, as connections that fall silent do.
func TestOutageDelaysNoChange(t *testing.T) {
	const phases = 60
	for _, outage := range []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			late := 0
			longest := time.Duration(0)
			for phase := range phases {
				synctest.Test(t, func(t *testing.T) {
					started := time.Now()
					store := &silentStore{silentAt: started.Add(10*time.Second + time.Duration(phase)*4500*time.Millisecond/phases)}
					store.backAt = store.silentAt.Add(outage)
					store.writes = []time.Time{started}
					for i := range 5 { // overdue changes, one after the other
						store.writes = append(store.writes, store.backAt.Add(time.Duration(i)*43*time.Millisecond))
					}
					f := registry.NewFollower(registry.Options[string]{
						Name: "test", Feed: store, Sink: &fakeSink{}, Now: time.Now, ShouldWatch: func(time.Time) bool { return true }, Log: zerolog.Nop(),
						MaxSilence: func() time.Duration { return contact },
					})
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go f.Run(ctx)
					time.Sleep(time.Until(store.backAt))
					for f.Revision() < uint64(len(store.writes)) && time.Since(store.backAt) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					delay := time.Since(store.backAt)
					longest = max(longest, delay)
					if delay > contact {
						late++
					}
				})
			}
			t.Logf("longest delay after the return %v", longest)
			if diff := cmp.Diff(0, late); diff != "" {
				t.Errorf("of %d plays late, %v at the most (-want +got):\n%s", phases, longest, diff)
			}
		})
	}
}
