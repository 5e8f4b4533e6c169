package entryvm

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Dump is the state of a VM, for operators.
type Dump struct {
	Settings  Settings               `json:"settings"`
	At        time.Time              `json:"at"`
	Ready     bool                   `json:"ready"`
	Active    int64                  `json:"active"`
	Revisions beacon.Revisions       `json:"revisions"`
	Version   int64                  `json:"configuration_version"`
	Upstreams []roster.Upstream      `json:"upstreams"`
	Load      map[string]roster.Load `json:"load"`
	Avoided   []string               `json:"avoided"`
	Loading   []string               `json:"loading"`
	Peers     []*beacon.Peer         `json:"peers"`
	Fence     uint64                 `json:"fence"`
	Leading   bool                   `json:"leading"`
}

func (v *VM) dump(now time.Time) Dump {
	d := Dump{
		Settings: v.settings, At: now, Ready: v.ready(), Active: v.active.Load(), Revisions: v.revisions(),
		Upstreams: v.upstreams.All(), Load: v.upstreams.TotalLoad(now), Avoided: v.upstreams.Avoided(now),
		Loading: v.upstreams.Loading(now), Peers: v.beacon.Alive(now), Fence: v.keeper.Fence(), Leading: v.keeper.Holds(now),
	}
	if c := v.configuration.Current(); c != nil {
		d.Version = c.Version()
	}
	return d
}

// summaryEvery is how often the counters are written to the log.
const summaryEvery = 10 * time.Second

// summarise writes what the counters have grown by, so that logs alone tell
// what the VM did.
func (v *VM) summarise(ctx context.Context) {
	last := make(map[string]int64)
	for wait.For(ctx, summaryEvery) {
		grown := zerolog.Dict()
		v.metrics.Each(func(name string, m any) {
			if c, counts := m.(metrics.Counter); counts && c.Count() > last[name] {
				grown.Int64(name, c.Count()-last[name])
				last[name] = c.Count()
			}
		})
		v.log.Info().Int64("active", v.active.Load()).Int("vms", v.beacon.KnownCount()).Dict("grown", grown).Msg("summary")
	}
}
