package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
)

// TestLeavingUpstream announces through each source that an upstream is leaving.
// With the default heartbeat and probe intervals, no node may send it new requests
// after 3 s.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	const timeLimit = 3 * time.Second
	tests := map[string]func(f *fleet){
		"by its own health response": func(f *fleet) { f.Engines[0].SetState(upstream.StateLeaving) },
		"by the list of VMs": func(f *fleet) {
			f.VMs.Set(vm.VM{Name: "e", Role: vm.RoleUpstream, State: vm.StateLeaving, Address: f.EngineAddress(0)})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{
				nodes: 3,
				dep:   standin.DeploymentOptions{Engines: 2},
				adjust: func(_ int, s *settings.Settings) {
					s.HeartbeatMS = settings.Default().HeartbeatMS
					s.ProbeMS = settings.Default().ProbeMS
				},
			})
			leave(f)
			time.Sleep(timeLimit)
			before := f.Engines[0].Runs()
			for i := range 60 {
				body := fmt.Sprintf(`{"model":%q,"prompt":"lot %d","max_tokens":1,"stream":true}`, standin.DeploymentModelRoute, i)
				if c := f.completeBody(f.nodes[i%3], body); !c.done {
					t.Errorf("request %d: %v", i, c.errors)
				}
			}
			if got := f.Engines[0].Runs() - before; got != 0 {
				t.Errorf("the leaving upstream got %d requests after %s", got, timeLimit)
			}
		})
	}
}

// watchlessStore is a store whose watches never return a change.
type watchlessStore struct {
	objectstore.Store
}

func (watchlessStore) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, ctx.Err()
}

// TestOutageRightAfterAccept makes the platform unavailable as soon as a change is
// accepted, before any watch returns it. The change must come into force on every
// node, including one that starts during the outage.
func TestOutageRightAfterAccept(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 4, store: func(f *fleet) objectstore.Store {
		return watchlessStore{objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: f.StoreURL()})}
	}})
	set := f.Configuration()
	set.Priorities[0].Level = 7
	raw, err := json.Marshal(set)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(raw)
	f.Store.SetFault(standin.StoreFault{Down: true})
	f.nodes[1].stop()
	replacement := f.start(4, fleetOptions{})
	f.eventually("the change is in force on all nodes", func() bool {
		for _, n := range []*testNode{f.nodes[0], f.nodes[2], f.nodes[3], replacement} {
			if f.status(n).Generation != 2 {
				return false
			}
		}
		return true
	})
}
