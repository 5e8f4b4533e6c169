package entryvm_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Guards against a slow engine that only the VM knows whose requests it has served: another VM,
// told by beacons, estimates longer waits there too and shows the figure in its dump and among
// its metrics. After the engine is replaced, both are gone.
func TestSlowUpstreamIsLearnedFromPeers(t *testing.T) {
	const engines, usualGap = 12, 20 * time.Millisecond
	ports := freePorts(t, "127.0.77.1")
	one, _ := startVM(t, ports, 1)
	two, _ := startVM(t, ports, 2)
	var list []roster.Upstream
	for i := range engines {
		u := roster.Upstream{ID: fmt.Sprintf("i-%02d", i), Service: "lm", Address: "127.0.77.9:9", Slots: 8, Born: 1, Model: "m"}
		list = append(list, u)
		one.PutUpstream(u)
		two.PutUpstream(u)
	}
	figures := func(vm *entryvm.VM) map[string]capacity.Figure {
		byName := make(map[string]capacity.Figure)
		for _, f := range vm.CurrentDump().Capacity.Figures {
			byName[f.Incarnation] = f
		}
		return byName
	}
	waitFor(t, "all engines known at the first VM", func() bool { return len(figures(one)) == engines })
	serve := func() {
		for i, u := range list {
			one.Serve(u, []time.Duration{4, 1}[min(i, 1)]*usualGap)
		}
	}
	serve()
	waitFor(t, "first observations at the second VM", func() bool {
		for _, f := range figures(two) {
			if f.Samples == 0 {
				return false
			}
		}
		return len(figures(two)) == engines
	})
	for range 60 {
		serve()
	}
	slow, metric := list[0], "upstream_speed_percent."+list[0].Incarnation()
	waitFor(t, "slow engine known at the second VM", func() bool { return figures(two)[slow.Incarnation()].Slow && two.Metric(metric) })
	if usual, got := two.Wait(list[1]), two.Wait(slow); got < 2*usual {
		t.Errorf("wait of %.0f ms at the slow engine, %.0f at another one", got, usual)
	}
	if raw, err := json.Marshal(two.CurrentDump()); err != nil {
		t.Errorf("dump of %d bytes: %v", len(raw), err)
	}
	slow.Born = 2
	two.PutUpstream(slow)
	waitFor(t, "metric of the replaced engine removed", func() bool { return !two.Metric(metric) })
	if usual, got := two.Wait(list[1]), two.Wait(slow); got != usual {
		t.Errorf("wait of %.0f ms at the new engine, %.0f at another one", got, usual)
	}
}
