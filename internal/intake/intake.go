// Package intake reads a caller's request and finds what the configuration says of it:
// its route, organisation, service and deadline, and how it is described to what chooses
// an upstream and to the upstream.
//
// # Usage
//
//	head, err := codec.DecodeRequest(r)
//	request, err := intake.Read(now, w, r, configuration, head, nil, bodies)
//	defer request.Release()
//	choice, found := table.Pick(now, request.Query(configuration))
//	header := codec.EncodeHeader(request.UpstreamCall(now, configuration, choice, ""))
package intake

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	maxTargetBytes = 8 << 10
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
)

// Request is a caller's request that has been read and matched to its route.
type Request struct {
	StartedAt time.Time
	Deadline  time.Time
	// Head is what the caller declares, with sizes that an upstream can hold.
	Head         message.Request
	Route        routing.Route
	Organisation routing.Organisation
	Service      routing.Service
	// Configuration is the one that was in force when the request arrived.
	Configuration *routing.Config
	Revision      uint64
	Body          []byte
	// Release gives back the memory that is held for the body. It is never nil once the
	// request has been read.
	Release func()
	// Fingerprint is the same for all attempts of a request, at any VM. Parts holds the
	// fingerprints of the shared parts of its prompt.
	Fingerprint string
	Parts       []string
}

// Read reads the rest of a request that arrived now. admit, if it is set, is called once
// the route is known and before the body is read; its error refuses the request. An error
// of Read is a *verdict.Error; the request then has its Head nevertheless.
func Read(now time.Time, w http.ResponseWriter, r *http.Request, cfg *routing.Config, head message.Request, admit func(q *Request) error, bodies Bodies) (Request, error) {
	q := Request{StartedAt: now, Release: func() {}, Head: head, Configuration: cfg, Revision: cfg.Revision()}
	if err := q.resolveRoute(cfg, r); err != nil {
		return q, err
	}
	if admit != nil {
		if err := admit(&q); err != nil {
			return q, err
		}
	}
	var err error
	if q.Body, q.Release, err = bodies.Read(w, r, q.Organisation.Name, cfg.Limits().MaxBodyBytes); err != nil {
		return q, err
	}
	q.allowBodyTime(bodies.Now())
	q.Fingerprint = quarantine.Fingerprint(q.Organisation.Name, r.Method+" "+r.Host+r.RequestURI, q.Body)
	if q.Service.Engine {
		q.Parts = suspect.PartFingerprints(q.Organisation.Name, q.Head.Model, q.Head.SharedParts())
	}
	return q, nil
}

// resolveRoute finds the route and the organisation of a request, and sets its
// service and deadline.
func (q *Request) resolveRoute(cfg *routing.Config, r *http.Request) error {
	target := r.RequestURI
	if len(target) > maxTargetBytes || !strings.HasPrefix(target, "/") {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_target", "the target is no path or too long")
	}
	path, _, _ := strings.Cut(target, "?")
	route, found := cfg.Match(r.Host, path)
	if !found {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_route", "no route has this host and path")
	}
	q.Route = route
	if cfg.NeedsKey(route) {
		organisation, known := cfg.Authenticate(q.Head.Key)
		if !known {
			return verdict.New(verdict.NotRun, http.StatusUnauthorized, "unknown_key", "the key belongs to no organisation")
		}
		q.Organisation = organisation
	}
	q.Service, _ = cfg.Service(route.PickService(rand.Float64()))
	if q.Service.Engine {
		q.Head = q.Head.Bounded(q.Service.CacheTokens)
	}
	timeout := q.RouteTimeout()
	if q.Head.TimeLeft > 0 {
		timeout = min(timeout, q.Head.TimeLeft)
	}
	q.Deadline = q.StartedAt.Add(timeout)
	return nil
}

// allowBodyTime lets the time of the route begin when the body has arrived. The time that
// the caller has left goes on meanwhile.
func (q *Request) allowBodyTime(arrived time.Time) {
	deadline := arrived.Add(q.RouteTimeout())
	if q.Head.TimeLeft > 0 {
		deadline = minTime(deadline, q.StartedAt.Add(q.Head.TimeLeft))
	}
	q.Deadline = deadline
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RouteTimeout returns the longest time that the route's requests may take.
func (q Request) RouteTimeout() time.Duration {
	if q.Route.Timeout <= 0 {
		return defaultTimeout
	}
	return q.Route.Timeout
}

// Query describes the request for choosing an upstream. inForce is the present
// configuration, which decides with whom the organisation shares cached prompts.
func (q Request) Query(inForce *routing.Config) roster.Query {
	query := roster.Query{Service: q.Service.Name}
	if q.Service.Engine {
		query.Model = q.Head.Model
		query.Parts = q.sharedParts(inForce)
		for _, p := range query.Parts {
			query.UnsharedTokens -= p.Tokens
		}
		query.UnsharedTokens = max(0, query.UnsharedTokens+q.Head.PromptTokens)
		query.OutputTokens = q.Head.OutputTokens
	}
	return query
}

// sharedParts returns the shared parts of the prompt. Their IDs contain the organisation's
// cache key.
func (q Request) sharedParts(inForce *routing.Config) []roster.Part {
	shared, key := q.Head.SharedParts(), inForce.CacheKey(q.Organisation.Name)
	if key == "" || len(shared) == 0 {
		return shared
	}
	parts := make([]roster.Part, len(shared))
	for i, p := range shared {
		parts[i] = roster.Part{ID: roster.IsolatedID(key, p.ID), Tokens: p.Tokens}
	}
	return parts
}

// Priority returns the request's priority, 0 for the most urgent ones.
func (q Request) Priority() int {
	if q.Organisation.Priority != nil {
		return *q.Organisation.Priority
	}
	return q.Route.Priority
}

// PossibleServices returns the services of the route, that of the request first.
func (q Request) PossibleServices() []string {
	names := []string{q.Service.Name}
	for _, target := range q.Route.Targets {
		if target.Service != q.Service.Name && target.Weight > 0 {
			names = append(names, target.Service)
		}
	}
	return names
}

// UpstreamCall returns an attempt of the request on the upstream of a choice. The caller
// has the events up to resumeAfter, none if that is empty. inForce is the present
// configuration.
func (q Request) UpstreamCall(now time.Time, inForce *routing.Config, c roster.Choice, resumeAfter string) message.UpstreamCall {
	return message.UpstreamCall{
		Request:      q.Head,
		Upstream:     c.Upstream,
		Organisation: q.Organisation.Name,
		CacheKey:     inForce.CacheKey(q.Organisation.Name),
		TimeLeft:     q.Deadline.Sub(now),
		ResumeAfter:  resumeAfter,
		Priority:     q.Priority(),
		FetchFrom:    c.Source.Address,
		SaveTo:       c.SaveTo,
	}
}
