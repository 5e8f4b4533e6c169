package entryvm

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/clientlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Dump is a snapshot of a VM's state, served as JSON at GET /v1/dump.
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
	// Suspects holds what is known against requests, by fingerprint.
	Suspects map[string]suspect.Evidence `json:"suspects"`
	Limits   permit.Status               `json:"limits"`
	Quotas   permit.QuotaStatus          `json:"quotas"`
	Streams  lineage.Status              `json:"streams"`
	// UpstreamsLeaving holds for how many milliseconds it is known that upstreams leave,
	// by incarnation.
	UpstreamsLeaving map[string]int64 `json:"upstreams_leaving"`
	// Backoffs holds the milliseconds until upstreams that want nothing get requests
	// again, by incarnation.
	Backoffs map[string]int64 `json:"backoffs"`
	// Ejections holds for how many milliseconds upstreams whose responses break have been
	// ejected, by incarnation.
	Ejections map[string]int64 `json:"ejections"`
	// Brittle holds the requests that upstreams can turn away in a second, by incarnation.
	Brittle map[string]float64 `json:"brittle"`
	// Capacity holds what is learnt of the speed of upstreams.
	Capacity CapacityStatus `json:"capacity"`
	// Relayed holds for how many milliseconds upstreams have been reached only through
	// other VMs, by incarnation, and RelayedForOthers is the number of connections that
	// this VM has open for others.
	Relayed          map[string]int64 `json:"relayed"`
	RelayedForOthers int64            `json:"relayed_for_others"`
	// Dispatch is what the VM knows as one that asks dispatchers and as one that dispatches.
	Dispatch dispatch.AgentStatus `json:"dispatch"`
	// Clients is what is held for callers and other clients.
	Clients clientlimit.Status `json:"clients"`
}

func (v *VM) dump(now time.Time) Dump {
	d := Dump{
		Settings: v.settings, At: now, Ready: v.ready(), Active: v.activeRequests.Load(), Revisions: v.revisions(),
		Upstreams: v.upstreams.All(), Load: v.upstreams.TotalLoad(now), Avoided: v.upstreams.Avoided(now),
		Loading: v.upstreams.Loading(now), Peers: v.beacon.Alive(now), Fence: v.elector.Fence(), Leading: v.elector.Holds(now),
		Suspects: v.crashTracker.Entries(now), Limits: v.limits.Status(now), Quotas: v.quotas.Status(now), Streams: v.streams.Status(now),
		UpstreamsLeaving: v.drains.Ages(now), Backoffs: v.backoffs.Remaining(now), Ejections: v.ejections.Ages(now),
		Dispatch: v.dispatch.agent.Status(now), Brittle: v.brittle.Numbers(), Capacity: v.capacityStatus(), Relayed: v.paths.Ages(now), RelayedForOthers: v.relayServer.Tunnels(),
		Clients: v.clients.Status(),
	}
	if c := v.configuration.Current(); c != nil {
		d.Version = c.Version()
	}
	return d
}

// summaryInterval is the interval between two summary log lines.
const summaryInterval = 10 * time.Second

// logSummaries logs the increase of every counter since the last summary until ctx
// ends, so that the logs alone show what the VM did.
func (v *VM) logSummaries(ctx context.Context) {
	last := make(map[string]int64)
	for wait.For(ctx, summaryInterval) {
		increases := zerolog.Dict()
		v.metrics.Each(func(name string, m any) {
			if c, isCounter := m.(metrics.Counter); isCounter && c.Count() > last[name] {
				increases.Int64(name, c.Count()-last[name])
				last[name] = c.Count()
			}
		})
		v.log.Info().Int64("active", v.activeRequests.Load()).Int("vms", v.beacon.KnownCount()).Dict("grown", increases).Msg("summary")
	}
}
