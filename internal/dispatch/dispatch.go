// Package dispatch places the requests of a fleet with a partial view by a full one: the
// upstreams of a service form groups, and one VM, the group's dispatcher, knows all requests
// there. A VM that gets no reply decides by itself.
//
// A Board decides for the groups that a VM dispatches. It uses no network and no clock. An
// Agent is the part of a VM that asks: it chooses the dispatcher of a group, asks it, and
// reports what became of the requests.
//
// # Usage
//
//	board := dispatch.NewBoard(dispatch.BoardOptions{Policy: policy})
//	agent := dispatch.NewAgent(dispatch.AgentOptions{Name: "vm-1", Board: board, Call: beacon.Call, ...})
//	agent.Sync(now, services, dispatchers) // several times a second
//	placement := agent.Place(ctx, now, requestID, dispatch.Request{Service: "lm", ...})
//	lease := agent.Sent(now, placement.Lease, upstream, request) // or agent.Drop
//	lease.FirstToken(later)
//	lease.End(later)
//
// Boards and Agents are safe for concurrent use. A nil *Agent and a nil *Lease do nothing.
package dispatch

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// The kinds of direct messages between VMs.
const (
	// KindPlace is a call with a Request. Its reply is a Reply.
	KindPlace = "place"
	// KindPlaced is a notice of a Placed.
	KindPlaced = "placed"
	// KindProgress is a notice of a Progress.
	KindProgress = "progress"
)

// maxMessageBytes is the maximum size of an encoded message, which package beacon sends in
// one datagram.
const maxMessageBytes = 1200

// Request describes a request that needs an upstream. The integer keys of this and the
// other messages are part of the protocol between VMs.
type Request struct {
	// ID identifies the lease of the request among those of the VM that asks.
	ID      uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Group is one of Groups groups of the service's upstreams.
	Group  int    `cbor:"3,keyasint,omitempty"`
	Groups int    `cbor:"4,keyasint,omitempty"`
	Model  string `cbor:"5,keyasint,omitempty"`
	// Parts are the shared parts of the prompt, outermost first.
	Parts          []promptcache.Part `cbor:"6,keyasint,omitempty"`
	UnsharedTokens int                `cbor:"7,keyasint,omitempty"`
	OutputTokens   int                `cbor:"8,keyasint,omitempty"`
	BodyBytes      int                `cbor:"9,keyasint,omitempty"`
	// Priority is 0 for the most urgent requests and higher for others.
	Priority     int    `cbor:"10,keyasint,omitempty"`
	Organisation string `cbor:"11,keyasint,omitempty"`
	// TargetMS is the target for the time to the first token or the response, 0 for none.
	TargetMS int `cbor:"12,keyasint,omitempty"`
	// TimeLeftMS is the time until the request's deadline, and TimeoutMS that of the route.
	TimeLeftMS int `cbor:"13,keyasint,omitempty"`
	TimeoutMS  int `cbor:"14,keyasint,omitempty"`
	// New is set if the request has not been attempted yet, so that it may be refused.
	New bool `cbor:"15,keyasint,omitempty"`
	// Exclude lists the upstreams that have been attempted.
	Exclude    []string `cbor:"16,keyasint,omitempty"`
	DataCentre string   `cbor:"17,keyasint,omitempty"`
	// Again is set if another group has refused the request, which has counted it.
	Again bool `cbor:"18,keyasint,omitempty"`
}

// Target returns TargetMS as a duration.
func (q Request) Target() time.Duration { return milliseconds(q.TargetMS) }

// Kind is the kind of a Reply.
type Kind uint8

// The kinds of replies. Unknown is that of a board that can't decide: the VM that asks
// decides by itself.
const (
	Unknown Kind = iota
	Placement
	Refusal
)

// Reason is why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// Late requests would get their first token too late.
	Late Reason = "late"
	// OverShare requests are those of an organisation that had more than its share, or of a
	// priority that was served more often than a more urgent one. They would get their first
	// token later than half of the target.
	OverShare Reason = "share"
	// NoMemory means that no upstream has memory for the request.
	NoMemory Reason = "memory"
	// Full means that no upstream has room in its queue.
	Full Reason = "full"
)

// Reply is the reply to a Request. Times are in milliseconds.
type Reply struct {
	Kind Kind `cbor:"1,keyasint"`
	// Upstream and Born identify the incarnation of a placement.
	Upstream string `cbor:"2,keyasint,omitempty"`
	Born     int64  `cbor:"3,keyasint,omitempty"`
	// Source is the engine to fetch cached parts from. FromStore is set if they are to be
	// fetched from the prompt store, and Save if that should get what is computed.
	Source    string `cbor:"4,keyasint,omitempty"`
	FromStore bool   `cbor:"5,keyasint,omitempty"`
	Save      bool   `cbor:"6,keyasint,omitempty"`
	Home      bool   `cbor:"7,keyasint,omitempty"`
	// The estimates are those of a roster.Choice. Those of a refusal are of the best upstream.
	FirstTokenMS  int `cbor:"8,keyasint,omitempty"`
	WaitMS        int `cbor:"9,keyasint,omitempty"`
	CostMS        int `cbor:"10,keyasint,omitempty"`
	MissingTokens int `cbor:"11,keyasint,omitempty"`
	FreeSlots     int `cbor:"12,keyasint,omitempty"`
	Candidates    int `cbor:"13,keyasint,omitempty"`
	// Reason, RetryAfterMS, SharePercent, LimitMS and MemoryTokens are set in a refusal:
	// the organisation's work in percent of its share, the latest first token that was
	// allowed, and the tokens that the best upstream holds.
	Reason       Reason `cbor:"14,keyasint,omitempty"`
	RetryAfterMS int    `cbor:"15,keyasint,omitempty"`
	SharePercent int    `cbor:"16,keyasint,omitempty"`
	LimitMS      int    `cbor:"17,keyasint,omitempty"`
	MemoryTokens int    `cbor:"18,keyasint,omitempty"`
}

// Placed reports a request that a VM has sent to an upstream.
type Placed struct {
	Request  Request `cbor:"1,keyasint"`
	Upstream string  `cbor:"2,keyasint"`
	Born     int64   `cbor:"3,keyasint,omitempty"`
	// MissingTokens is the estimated number of prompt tokens to compute.
	MissingTokens int `cbor:"4,keyasint,omitempty"`
	// Begun is set after the first token.
	Begun bool `cbor:"5,keyasint,omitempty"`
}

// Progress reports what became of a lease.
type Progress struct {
	ID uint64 `cbor:"1,keyasint"`
	// FirstTokenMS is the time from sending the request to the first token, and Begun is set
	// once there is one.
	FirstTokenMS int  `cbor:"2,keyasint,omitempty"`
	Begun        bool `cbor:"3,keyasint,omitempty"`
	// Ended is set if the upstream no longer has the request, and Rejected if it has turned
	// it away.
	Ended    bool `cbor:"4,keyasint,omitempty"`
	Rejected bool `cbor:"5,keyasint,omitempty"`
}

// pack encodes a message.
func pack(m any) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("dispatch: pack: %w", err)
	}
	if len(raw) > maxMessageBytes {
		return nil, fmt.Errorf("dispatch: pack: a message of %d bytes, %d are allowed", len(raw), maxMessageBytes)
	}
	return raw, nil
}

// unpack decodes a message.
func unpack(raw []byte, m any) error {
	if err := cbor.Unmarshal(raw, m); err != nil {
		return fmt.Errorf("dispatch: unpack: %w", err)
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
