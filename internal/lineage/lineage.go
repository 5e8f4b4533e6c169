// Package lineage knows which build of a service's upstreams began a stream. What two
// builds write does not fit together, so a stream may go on only at the build that
// began it, also if its caller takes it up at another VM.
//
// The VM that gets the first event of a stream tells the VMs that come first by
// rendezvous hashing before it passes the event on. A VM that does not know a stream
// asks the VMs that come first. If nobody knows it, it may go on only if no other
// build has served within a stream's longest life, which the History of some VM shows.
//
// # Usage
//
//	agent := lineage.NewAgent(lineage.AgentOptions{Name: name, Now: time.Now, Peers: peers, Ask: ask, Send: send})
//	go agent.Run(ctx)
//	resolution := agent.Resolve(ctx, now, lineage.Query{Stream: id, Services: []string{"lm"}, Begun: true, Life: timeout})
//	stream := lineage.Stream{ID: id, Organisation: organisation, Service: resolution.Service}
//	agent.Begin(now, stream, build) // at the first event, before it is passed on
//	defer agent.End(now, stream)
//
// An Agent is safe for concurrent use, a Tracker and a History are not.
package lineage

import (
	"context"
	"time"
)

// Stream identifies a stream at a service.
type Stream struct {
	// ID is the ID of the attempt that brought the first event.
	ID string `json:"stream" cbor:"1,keyasint"`
	// Organisation is empty on routes without a key.
	Organisation string `json:"organisation,omitempty" cbor:"2,keyasint,omitempty"`
	Service      string `json:"service" cbor:"3,keyasint"`
}

// maxTextBytes limits each text of a Fact.
const maxTextBytes = 64

// Fact states which build began a stream.
type Fact struct {
	Stream
	// Build is empty if several VMs named different builds: none may be relied on.
	Build string `json:"build" cbor:"4,keyasint"`
	// IdleMS is the time in milliseconds since the stream was last known to be open.
	IdleMS int64 `json:"idle_ms,omitempty" cbor:"5,keyasint,omitempty"`
}

// usable reports whether the fact is within the bounds of its texts and of its age.
func (f Fact) usable() bool {
	if f.ID == "" || f.Service == "" || f.IdleMS < 0 || f.IdleMS >= MaxLife.Milliseconds() {
		return false
	}
	return max(len(f.ID), len(f.Organisation), len(f.Service), len(f.Build)) <= maxTextBytes
}

// Query describes a request for a stream that may have been begun before.
type Query struct {
	// Stream is the ID of the attempt that brought the first event, or empty if the
	// caller names none or none that can be used.
	Stream       string
	Organisation string
	// Services are the services that may serve the request, the preferred one first.
	Services []string
	// Begun is set if the caller has received events of the stream.
	Begun bool
	// Life is the longest time for which a stream of the route may be open.
	Life time.Duration
}

// Action is what to do with a stream.
type Action string

// The actions.
const (
	// Any build may serve: the stream has not begun.
	Any Action = "any"
	// GoOn at the build that began the stream.
	GoOn Action = "go_on"
	// Refuse: which build began the stream is not known.
	Refuse Action = "refuse"
)

// Source is who knew the answer to a Query.
type Source string

// The sources.
const (
	FromLocal Source = "local"
	FromPeer  Source = "peer"
	// FromHistory means that no other build has served for long enough.
	FromHistory Source = "history"
	// FromNone means that nobody knew.
	FromNone Source = "none"
)

// Resolution is the answer to a Query.
type Resolution struct {
	Action Action
	// Service and Build are set for GoOn. Service is one of Query.Services, and not the
	// first one if the stream began at another.
	Service, Build string
	// RetryAfter is when the build of a refused stream may be known, or 0 if it won't be.
	RetryAfter time.Duration
	Source     Source
	// Peer is the VM that knew, for FromPeer. Asked and Answered count the VMs.
	Peer            string
	Asked, Answered int
}

// Streams keeps which build began each stream. Implementations must be safe for
// concurrent use.
type Streams interface {
	// Resolve returns where a stream may go on. It may ask other VMs, for askTimeout at
	// the longest. Each request that names a stream or has an event to go on after
	// calls it, before the choice of its upstream.
	Resolve(ctx context.Context, now time.Time, q Query) Resolution
	// Begin records that a stream has an event of the build, and announces it. It is
	// called at the first event of each answer, before that is passed on, also for a
	// stream that goes on. It does not block. Each call is followed by one of End.
	Begin(now time.Time, s Stream, build string)
	// End records that an answer of the stream has ended.
	End(now time.Time, s Stream)
}
