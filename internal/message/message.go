// Package message holds the messages of host-and-path traffic as the router sees them,
// independent of their wire format: a caller's request, one attempt of it on an
// upstream, and the head of the upstream's response. A Codec defines the wire format.
//
// # Usage
//
//	request, err := codec.DecodeRequest(r)
//	header := codec.EncodeHeader(message.UpstreamCall{Request: request, Upstream: u, ...})
//	head := codec.DecodeResponseHead(request.ID, response)
//
// The types are plain values.
package message

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Request is the decoded head of a caller's request, independent of its wire format.
type Request struct {
	// ID is the caller's ID of this attempt.
	ID string
	// Key is the caller's API key. It never leaves the VM.
	Key string
	// TimeLeft is the time until the caller's deadline, or zero if it gave none.
	TimeLeft time.Duration
	// Model is empty for plain requests.
	Model string
	// Parts are the prompt's parts in order. The last one is not shared.
	Parts []roster.Part
	// PromptTokens and OutputTokens are the sizes that the caller declares.
	PromptTokens, OutputTokens int
	// Unusable names what the caller declares and can't be used, for metrics. It counts
	// as not declared.
	Unusable []string
	// ResumeAfter is the ID of the last event that the caller received, or empty.
	ResumeAfter string
	// Resumes is the ID of the attempt that brought the first event of the stream that
	// the caller takes up. It is empty if the caller names none, or if that is among
	// Unusable.
	Resumes string
	// Header holds the fields that are forwarded to the upstream.
	Header http.Header
}

// SharedParts returns the parts that other requests may have in common with this one.
func (q Request) SharedParts() []roster.Part {
	if len(q.Parts) < 2 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// SharedIDs returns the IDs of the shared parts, separated by commas, for logs.
func (q Request) SharedIDs() string {
	var ids []string
	for _, p := range q.SharedParts() {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// Bounded returns the request with declared sizes of no more than the given number of
// tokens, which is what an upstream holds: whoever declares more must not make an
// upstream look busier than it can be. Zero means no bound.
func (q Request) Bounded(tokens int) Request {
	if tokens <= 0 {
		return q
	}
	q.PromptTokens, q.OutputTokens = min(q.PromptTokens, tokens), min(q.OutputTokens, tokens)
	q.Parts = slices.Clone(q.Parts)
	for i := range q.Parts {
		q.Parts[i].Tokens = min(q.Parts[i].Tokens, tokens)
		tokens -= q.Parts[i].Tokens
	}
	return q
}

// UpstreamCall is one attempt of a request on an upstream.
type UpstreamCall struct {
	Request      Request
	Upstream     roster.Upstream
	Organisation string
	// CacheKey is the organisation's cache key. Requests share cached prompts only
	// under the same key.
	CacheKey string
	// TimeLeft is the time until the deadline.
	TimeLeft    time.Duration
	ResumeAfter string
	// Priority is 0 for the most urgent requests and higher for others.
	Priority int
	// FetchFrom is the address of an engine or of the prompt store, if that has more
	// of the prompt cached than the upstream, and empty otherwise.
	FetchFrom string
	// SaveTo is the address of the prompt store if the upstream should save there
	// what it computes of the prompt, and empty otherwise.
	SaveTo string
}

// ResponseHead is the decoded head of an upstream's response.
type ResponseHead struct {
	// Signed is set if the response carries the signature of an upstream.
	Signed bool
	// NotRun is set if the upstream has not run the request and will not run it.
	NotRun bool
	// Misdirected is set if another upstream has the address now.
	Misdirected bool
	// Foreign is set if the response carries the ID of another request.
	Foreign bool
	// Encoded is set if the body has a content encoding, so that it is not the
	// upstream's own bytes.
	Encoded bool
	// Version is the version of the upstream's weights, or 0 if not given.
	Version int64
	// RateLimit is the number of requests per second that the upstream accepts from
	// all VMs together, +Inf if it announces no limit. RateLimitProblem is not empty if
	// it announces one that can't be decoded.
	RateLimit        float64
	RateLimitProblem string
	// Leaving is set if the upstream announces that it takes no new requests.
	// LeavingProblem is not empty if there is an announcement that can't be decoded.
	Leaving        bool
	LeavingProblem string
	// RetryAfter is the time after which the upstream takes requests again if the status
	// is 503, or 0. RetryAfterProblem is not empty if it names one that can't be decoded.
	RetryAfter        time.Duration
	RetryAfterProblem string
	// Brittle is the number of requests per second that the upstream can turn away, from
	// all VMs together, before it falls over, or 0 if it does not say so. BrittleProblem is
	// not empty if it names one that can't be decoded.
	Brittle        float64
	BrittleProblem string
	// InstanceID is the ID of the instance that responds, or empty.
	InstanceID string
	// EventStream is set if the body is a stream of server-sent events.
	EventStream bool
}

// IsStream reports whether the body of the response is forwarded event by event.
func (h ResponseHead) IsStream(resp exchange.Response) bool {
	return h.EventStream && resp.Status == http.StatusOK
}

// Codec translates between the wire format of callers and upstreams and the
// types of this package. Implementations must be safe for concurrent use.
type Codec interface {
	// DecodeRequest decodes the head of a caller's request. Its error is a *verdict.Error.
	DecodeRequest(r *http.Request) (Request, error)
	// WriteError sends an error of the router to the caller of request id.
	WriteError(w http.ResponseWriter, id string, err *verdict.Error)
	// EncodeHeader returns the header fields to send to the upstream.
	EncodeHeader(c UpstreamCall) http.Header
	// DecodeResponseHead decodes the head of the response to request id.
	DecodeResponseHead(id string, resp exchange.Response) ResponseHead
	// CopyResponseHeader copies the response fields that are forwarded to callers.
	CopyResponseHeader(dst, src http.Header)
}
