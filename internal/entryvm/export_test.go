package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
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
