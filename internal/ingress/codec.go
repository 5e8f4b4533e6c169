package ingress

import (
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Request is what a caller's head says, whatever its form on the wire.
type Request struct {
	// ID is the caller's name for this attempt.
	ID string
	// Key is the caller's API key. It never leaves the VM.
	Key string
	// TimeLeft is how long the caller waits. Zero stands for no word on it.
	TimeLeft time.Duration
	// Model is empty for plain requests.
	Model string
	// Parts are the prompt's parts in order. The last one is the request's own.
	Parts []roster.Part
	// PromptTokens and OutputTokens are the sizes that the caller announces.
	PromptTokens, OutputTokens int
	// ResumeAfter is the ID of the last event that the caller has, or empty.
	ResumeAfter string
	// Header holds the fields that pass on to the upstream.
	Header http.Header
}

// Shared returns the parts that other requests may have too.
func (q Request) Shared() []roster.Part {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// UpstreamCall is one attempt of a request on an upstream.
type UpstreamCall struct {
	Request      Request
	Upstream     roster.Upstream
	Organisation string
	// IsolationKey separates kept prompts. Requests share them only under the same key.
	IsolationKey string
	// TimeLeft is how long the upstream may work on it.
	TimeLeft    time.Duration
	ResumeAfter string
	// Priority is 0 for the most urgent.
	Priority int
	// FetchFrom is the address of an engine that keeps more of the prompt, or empty.
	FetchFrom string
	// SaveTo is the address of the store that gets what is read anew, or empty.
	SaveTo string
}

// ResponseHead is what the head of an upstream's answer says.
type ResponseHead struct {
	// Signed says that an upstream vouches for the answer.
	Signed bool
	// NotRun says that the upstream has not run the request and will not.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Foreign says that the answer belongs to another request, or to none.
	Foreign bool
	// Encoded says that the body is not the upstream's own bytes.
	Encoded bool
	// Version is the version of the weights, or 0.
	Version int64
	// EventStream says that the body is a series of events.
	EventStream bool
}

// Codec translates between the callers' and the upstreams' wire and the types
// of this package. Its implementations are safe for concurrent use.
type Codec interface {
	// DecodeRequest reads a caller's head. Its error has a verdict.
	DecodeRequest(r *http.Request) (Request, error)
	// WriteError answers a caller with an error of the router's own.
	WriteError(w http.ResponseWriter, id string, err *verdict.Error)
	// EncodeHeader returns the head of a call.
	EncodeHeader(c UpstreamCall) http.Header
	// DecodeResponseHead reads the head of an answer to a request.
	DecodeResponseHead(id string, a exchange.Response) ResponseHead
	// CopyResponseHeader copies what passes on of an answer's head.
	CopyResponseHeader(into, from http.Header)
}
