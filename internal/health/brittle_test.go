package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/health"
)

// Guards against VMs that together send a brittle upstream more requests at once than it
// has slots, or that don't use them.
func TestSharesOfBrittleUpstreamsAddUp(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, test := range []struct{ vms, slots, want int }{{1, 6, 6}, {8, 6, 6}, {8, 48, 48}, {9, 48, 48}, {65, 16, 16}, {65, 128, 128}} {
		t.Run(fmt.Sprintf("%d VMs, %d slots", test.vms, test.slots), func(t *testing.T) {
			sent := 0
			for i := range test.vms {
				vm := health.NewBrittle(fmt.Sprint("vm", i), func() []string {
					var names []string
					for j := range test.vms {
						if j != i {
							names = append(names, fmt.Sprint("vm", j))
						}
					}
					return names
				})
				p := health.Place{Service: "desk", Incarnation: "u@1", Slots: test.slots}
				vm.Observe(now, p, 4)
				for {
					if _, acquired := vm.Acquire(now, p); !acquired {
						break
					}
					sent++
				}
			}
			if diff := cmp.Diff(test.want, sent); diff != "" {
				t.Errorf("requests at once (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against one brittle upstream that all VMs press at once when it is back, and
// against bounds that outlast what the upstream says.
func TestBrittle(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	b := health.NewBrittle("vm0", func() []string { return []string{"vm1"} })
	p := health.Place{Service: "desk", Incarnation: "u@1", Slots: 4}
	acquire := func(p health.Place, at time.Time) bool {
		_, acquired := b.Acquire(at, p)
		return acquired
	}
	release, _ := b.Acquire(now, p)
	release()
	again := health.Place{Service: "desk", Incarnation: "u@2", Slots: 4}
	steps := []struct {
		what      string
		got, want bool
	}{
		{"nobody is brittle", b.Any(), false},
		{"first notice", b.Observe(now, p, 4), true},
		{"second notice", b.Observe(now, p, 4), false},
		{"first of the share", acquire(p, now), true},
		{"second of the share", acquire(p, now), true},
		{"beyond the share", acquire(p, now), false},
		{"the next incarnation, first", acquire(again, now), true},
		{"the next incarnation, second", acquire(again, now), true},
		{"the next incarnation, beyond the share", acquire(again, now), false},
		{"another service", acquire(health.Place{Service: "lm", Incarnation: "e@1", Slots: 1}, now), true},
		{"says it no longer", b.Observe(now, p, 0), true},
		{"no bound any more", acquire(p, now) && acquire(p, now.Add(1)) && acquire(p, now.Add(2)), true},
		{"brittle again", b.Observe(now, p, 4), true},
	}
	for _, step := range steps {
		if step.got != step.want {
			t.Errorf("%s: %v, want %v", step.what, step.got, step.want)
		}
	}
	b.RecordRejected(now, p)
	// Two VMs may each be turned away once in this time, half of what the upstream bears.
	if acquire(p, now.Add(900*time.Millisecond)) || !acquire(p, now.Add(1100*time.Millisecond)) {
		t.Error("want a pause of one second after a rejection")
	}
}
