package registry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// contact is the time after an outage of the store from which on VMs must have every
// change that was confirmed early enough.
const contact = 3 * time.Second

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
					silentAt := started.Add(10*time.Second + time.Duration(phase)*4500*time.Millisecond/phases)
					backAt := silentAt.Add(outage)
					store := &standin.SilentStore{Now: time.Now}
					store.Silence(silentAt, backAt)
					store.Writes = []time.Time{started}
					for i := range 5 { // overdue changes, one after the other
						store.Writes = append(store.Writes, backAt.Add(time.Duration(i)*43*time.Millisecond))
					}
					f := registry.NewFollower(registry.Options[string]{
						Name: "test", Feed: store, Sink: &fakeSink{}, Now: time.Now, ShouldWatch: func(time.Time) bool { return true }, Log: zerolog.Nop(),
						MaxSilence: func() time.Duration { return contact },
					})
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					go f.Run(ctx)
					time.Sleep(time.Until(backAt))
					for f.Revision() < uint64(len(store.Writes)) && time.Since(backAt) < time.Minute {
						time.Sleep(10 * time.Millisecond)
					}
					delay := time.Since(backAt)
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
