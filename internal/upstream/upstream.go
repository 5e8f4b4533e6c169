// Package upstream keeps what is known of the model engines and plain services
// behind the fleet: their state, incarnation, load and this node's requests on them.
//
// # Usage
//
//	table := upstream.NewTable()
//	table.SetCatalogue(catalogue)
//	table.Observe(now, "node-1", "engine-1", report)
//	view := table.View(now, "replies-v1")
//	inFlight := table.Start("engine-1")
//	defer inFlight.Finish()
//
// A Table is safe for concurrent use. Reports and views are immutable values.
package upstream

import (
	"context"
	"io"
	"net/http"
)

// State says whether an upstream takes new work.
type State string

// The states of an upstream.
const (
	StateUnknown State = "unknown"
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateDown    State = "down"
)

// The sources of reports.
const (
	// SourceProbe is this node's own probe.
	SourceProbe = "probe"
	// SourceRequest is what a request of this node has found out.
	SourceRequest = "request"
	// SourceFleet is another node's news.
	SourceFleet = "fleet"
)

// Report is what an upstream says of itself.
type Report struct {
	State          State  `json:"state"`
	Incarnation    string `json:"incarnation"`
	WeightsVersion string `json:"weights_version,omitempty"`
	Running        int    `json:"running"`
	Queued         int    `json:"queued"`
}

// WithState returns a copy in another state.
func (r Report) WithState(s State) Report {
	r.State = s
	return r
}

// Call is one attempt of a request on an upstream.
type Call struct {
	Request string
	Attempt int
	Method  string
	// Path includes the query, if any.
	Path   string
	Header http.Header
	Body   []byte
	// Level is the priority, 0 for the most urgent.
	Level int
	// Repeatable says that the upstream may receive the call twice.
	Repeatable bool
	// ContinueFrom is the text of an answer to go on from.
	ContinueFrom string
	// WeightsVersion is the only version of the weights that may answer. An
	// engine with another one refuses the call. It is empty for plain services.
	WeightsVersion string
	// Connected is called, if it is set, when the call has got a connection.
	Connected func()
}

// Response is the beginning of an upstream's answer.
type Response struct {
	Status         int
	Header         http.Header
	Body           io.ReadCloser
	Incarnation    string
	WeightsVersion string
	CachedTokens   int
	PromptTokens   int
}

// The codes of a Client's errors.
const (
	// CodeUnreachable means that there was no connection to the upstream.
	CodeUnreachable = "upstream_unreachable"
	// CodeCut means that the connection ended before the answer did.
	CodeCut = "upstream_cut"
)

// Client speaks to upstreams. Its errors carry a verdict. Implementations are
// safe for concurrent use.
type Client interface {
	// Send starts an attempt and returns when the answer's headers are there.
	Send(ctx context.Context, address string, call Call) (Response, error)
	// Resume attaches to an attempt's stream again, on a new connection, after
	// the event with the index after. An error with status 404 means that the
	// upstream doesn't know the attempt.
	Resume(ctx context.Context, address string, call Call, after int) (Response, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, address string, call Call) error
	// Probe asks for a report, on a new connection.
	Probe(ctx context.Context, address string) (Report, error)
}
