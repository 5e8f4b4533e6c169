package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Streams returns what the VM passes to its callers' front end.
func (v *VM) Streams() lineage.Streams { return countedStreams{v} }

// PeerCount returns the number of other VMs that run.
func (v *VM) PeerCount() int { return len(v.streamPeers(time.Now())) }

// StreamStatus returns the state of what the VM knows of streams.
func (v *VM) StreamStatus() lineage.Status { return v.streams.Status(time.Now()) }

// ConfigurationVersion returns the version of the configuration in force, or 0.
func (v *VM) ConfigurationVersion() int64 {
	if c := v.configuration.Current(); c != nil {
		return c.Version()
	}
	return 0
}

// The clients of other VMs: for states, streams and permits.
var (
	NewPeerClient    = newPeerClient
	NewStreamsClient = newStreamsClient
	NewPermitClient  = newPermitClient
)

// UpstreamIDs returns the IDs of the upstreams that the VM knows.
func (v *VM) UpstreamIDs() []string {
	var ids []string
	for _, u := range v.upstreams.All() {
		ids = append(ids, u.ID)
	}
	return ids
}

// PutUpstream adds an upstream to the VM's list.
func (v *VM) PutUpstream(u roster.Upstream) { v.upstreams.Put(time.Now(), u) }

// Serve makes a whole stream arrive whose events come at a gap.
func (v *VM) Serve(u roster.Upstream, gap time.Duration) {
	now := time.Now()
	f := v.upstreams.Start(now, u, roster.Load{Requests: 1}, nil, 0)
	for i := range 25 {
		f.Event(now.Add(time.Duration(i) * gap))
	}
	f.CompleteStream(now)
	f.Finish()
}

// Wait returns the estimated wait of a prompt at an upstream, in milliseconds.
func (v *VM) Wait(u roster.Upstream) float64 {
	c, _ := v.upstreams.Pick(time.Now(), roster.Query{
		Service: u.Service, Model: u.Model, UnsharedTokens: 6_000, Allow: func(o roster.Upstream) bool { return o.ID == u.ID },
	})
	return c.WaitMS
}

// Metric reports whether the VM has a metric.
func (v *VM) Metric(name string) bool { return v.metrics.Get(name) != nil }

// CurrentDump returns the VM's state.
func (v *VM) CurrentDump() Dump { return v.dump(time.Now()) }
