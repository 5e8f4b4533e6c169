package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Guards against groups that change with each engine that comes or goes.
func TestNextGroups(t *testing.T) {
	tests := map[string]struct{ before, engines, want int }{
		"first":               {0, 140, 9},
		"few":                 {0, 3, 1},
		"one less":            {9, 139, 9},
		"some more":           {9, 155, 9},
		"many more":           {9, 160, 10},
		"half of them are up": {9, 70, 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, dispatch.NextGroups(test.before, test.engines)); diff != "" {
				t.Errorf("groups (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against dispatchers on VMs with small links, and against groups that move when
// another VM comes: the others keep their dispatchers.
func TestChoose(t *testing.T) {
	const groups = 4_000
	candidates := []dispatch.Dispatcher{{Name: "small", LinkMbps: 10}, {Name: "large", LinkMbps: 90}}
	more := append(candidates[:2:2], dispatch.Dispatcher{Name: "new", LinkMbps: 100})
	large, moved := 0, 0
	for group := range groups {
		before, after := dispatch.Choose(candidates, "lm", group, nil), dispatch.Choose(more, "lm", group, nil)
		if before == "large" {
			large++
		}
		if after != before && after != "new" {
			moved++
		}
	}
	if large < groups*87/100 || large > groups*93/100 {
		t.Errorf("the VM with nine tenths of the bandwidth dispatches %d of %d groups", large, groups)
	}
	if moved > 0 {
		t.Errorf("%d groups moved between VMs that were there before", moved)
	}
	avoided := func(name string) bool { return name == "large" }
	if diff := cmp.Diff("small", dispatch.Choose(candidates, "lm", 1, avoided)); diff != "" {
		t.Errorf("dispatcher while the other is avoided (-want +got):\n%s", diff)
	}
}

// testAgent is an agent of a VM whose calls are recorded.
func testAgent(reply func(peer string) ([]byte, error), dispatchers ...string) (*dispatch.Agent, *[]string) {
	var calls []string
	a := dispatch.NewAgent(dispatch.AgentOptions{
		Name: "self", Process: 1, Now: testClock, Board: dispatch.NewBoard(dispatch.BoardOptions{}),
		Call: func(_ context.Context, peer, _ string, _ []byte) ([]byte, error) {
			calls = append(calls, peer)
			return reply(peer)
		},
		Notify: func(peer, kind string, _ []byte) error {
			calls = append(calls, kind+" "+peer)
			return nil
		},
		On: func(string) bool { return true }, Metrics: metrics.NewRegistry(),
	})
	var list []dispatch.Dispatcher
	for _, name := range dispatchers {
		list = append(list, dispatch.Dispatcher{Name: name, LinkMbps: 10})
	}
	a.Sync(start, []dispatch.Service{plain(4)}, list)
	return a, &calls
}

// A VM's own request for a group that it dispatches itself needs no datagram, and the end of
// the request is known at once.
func TestOwnBoard(t *testing.T) {
	a, calls := testAgent(nil, "self")
	result := a.Place(context.Background(), start, "r", call(0))
	if result.Kind != dispatch.Placement || result.Dispatcher != "self" {
		t.Fatalf("result: %+v", result)
	}
	lease := a.Sent(start, result.Lease, roster.Upstream{ID: result.Upstream, Born: result.Born}, 0, call(0))
	if diff := cmp.Diff(1, a.Status(start).Board.Leases); diff != "" {
		t.Errorf("leases while the request runs (-want +got):\n%s", diff)
	}
	lease.End()
	if diff := cmp.Diff(0, a.Status(start).Board.Leases); diff != "" {
		t.Errorf("leases after its end (-want +got):\n%s", diff)
	}
	if len(*calls) > 0 {
		t.Errorf("datagrams: %v", *calls)
	}
}

// A dispatcher that did not reply twice is avoided for a second, and the next one is asked.
func TestSilentDispatcherIsAvoided(t *testing.T) {
	a, calls := testAgent(func(string) ([]byte, error) { return nil, context.DeadlineExceeded }, "one", "two")
	for i := range 3 {
		if result := a.Place(context.Background(), start, "r", call(0)); result.Fallback != "timeout" {
			t.Errorf("request %d: %+v", i, result)
		}
	}
	got := *calls
	if got[0] != got[1] || got[2] == got[0] {
		t.Errorf("VMs that were asked: %v", got)
	}
	a.Place(context.Background(), after(1_100), "r", call(0))
	if (*calls)[3] != got[0] {
		t.Errorf("VM that was asked after a second: %v", *calls)
	}
}

// A request that was sent before dispatchers were known must be told to the first one, with
// the group of its upstream.
func TestLeasesOfBeforeAreTold(t *testing.T) {
	a, calls := testAgent(nil)
	a.Sent(start, 0, plain(4).Members[2].Upstream, 0, call(0))
	a.Sync(after(100), []dispatch.Service{plain(4)}, []dispatch.Dispatcher{{Name: "one", LinkMbps: 10}})
	if diff := cmp.Diff([]string{"placed one"}, *calls); diff != "" {
		t.Errorf("datagrams (-want +got):\n%s", diff)
	}
	// Its time is over: nothing is told to another one.
	a.Sync(after(5_000), []dispatch.Service{plain(4)}, []dispatch.Dispatcher{{Name: "two", LinkMbps: 10}})
	if diff := cmp.Diff([]string{"placed one"}, *calls); diff != "" {
		t.Errorf("datagrams (-want +got):\n%s", diff)
	}
}

// A request that does not fit in a datagram is decided by the VM itself.
func TestRequestTooLarge(t *testing.T) {
	a, calls := testAgent(nil, "one")
	q := call(0)
	q.Organisation = strings.Repeat("x", 1_300)
	if result := a.Place(context.Background(), start, "r", q); result.Fallback != "error" || len(*calls) > 0 {
		t.Errorf("result %+v, calls %v", result, *calls)
	}
}

// The handler of a dispatcher runs on the goroutine that receives all datagrams: it must
// take far less than 100 us in a group of 16 engines with 150 leases.
func BenchmarkHandlePlace(b *testing.B) {
	a, _ := testAgent(nil, "self")
	a.Sync(start, []dispatch.Service{engines(16, 92_000)}, nil)
	var bodies [][]byte
	for i := range 150 {
		q := long(uint64(i+1), fmt.Sprint("p", i%40))
		q.New = false
		bodies = append(bodies, packed(b, q))
	}
	b.ResetTimer()
	for i := range b.N {
		id := uint64(i%150 + 1)
		a.HandlePlace(start, "vm", bodies[i%150])
		if i >= 100 {
			a.HandleProgress(start, "vm", packed(b, dispatch.Progress{ID: (id+49)%150 + 1, Ended: true}))
		}
	}
}
