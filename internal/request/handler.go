// Package request handles callers' requests to the router's own API. A request
// is read and admitted, its key is claimed if it must not be repeated, and it
// is sent to an upstream and retried where that is safe. The caller gets a
// complete response or an explicit error. Package ingress is the front end for
// host-and-path traffic.
//
// # Usage
//
//	handler := request.NewHandler(request.Options{Configuration: holder, Upstreams: table, ...})
//	handler.Register(mux)
//
// A Handler is safe for concurrent use. Every refusal carries a verdict in the
// Hibiscuscove-Verdict header and in its JSON body.
package request

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"path"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/intake"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/limit"
	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Entry is the response of GET /v1/entry: the node that a caller should use.
type Entry struct {
	Node       string `json:"node"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// TTLMS is how long the entry may be cached, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Alternates are addresses to use if the first can't be reached.
	Alternates []string `json:"alternates,omitempty"`
}

// Trial is a further attempt of a request that is suspected of crashing
// upstreams. A request has at most one trial at a time in the fleet.
type Trial struct {
	Fingerprint string
	// Holder is the ID of the request that runs the trial.
	Holder   string
	Upstream string
	Until    time.Time
}

// Fleet communicates with the other nodes.
type Fleet interface {
	// Entry returns the node that a caller should use.
	Entry(now time.Time, dataCentre string) (Entry, bool)
	// ServingCount returns how many nodes serve callers.
	ServingCount() int
	// AnnounceTrial announces a suspect's trial to all nodes and merges what they
	// know of the suspect. It reports whether the upstream is in use according to
	// another node: by another request's trial, or by a suspect that runs there
	// without a trial.
	AnnounceTrial(ctx context.Context, now time.Time, trial Trial) (upstreamInUse bool)
	// AnnounceCrash announces to all nodes that an upstream crashed while it ran the
	// request with the given fingerprint.
	AnnounceCrash(now time.Time, fingerprint string, crash quarantine.Crash)
	// AnnounceCleared announces to all nodes that a suspect has run without a crash
	// and is cleared.
	AnnounceCleared(now time.Time, fingerprint string)
}

// Options configures a Handler. All fields before Log are required.
type Options struct {
	// Now returns the current time.
	Now           func() time.Time
	Configuration *publication.Holder
	Upstreams     *upstream.Table
	Client        upstream.Client
	Picker        *placement.Picker
	// Gate returns the admission gate of a pool.
	Gate        func(pool string) *limit.Gate
	RetryBudget *limit.RetryBudget
	Ledger      *ledger.Ledger
	Quarantine  *quarantine.Tracker
	Fleet       Fleet
	Metrics     metrics.Registry

	// Log defaults to no logging.
	Log        zerolog.Logger
	BodyLimits openai.Limits
	// MaxResponseBytes limits a response that is buffered whole. The default is 16 MiB.
	MaxResponseBytes int64
	// Callers is the memory for the bodies of requests. If it is nil, there is no limit in
	// total.
	Callers *memaccount.Account
	// CallerTimeout limits one write to a caller. The default is 30 s.
	CallerTimeout time.Duration
	// SilenceTimeout is how long an upstream's connection may be silent before it is
	// replaced. The default is 2 s.
	SilenceTimeout time.Duration
}

const (
	defaultMaxResponseBytes = 16 << 20
	defaultSilenceTimeout   = 2 * time.Second
	maxTargetBytes          = 8 << 10
	maxHeaderCount          = 100
	notReadyRetryAfter      = time.Second
)

// Handler serves the callers' API.
type Handler struct {
	opts    Options
	metrics handlerMetrics
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	opts.BodyLimits = opts.BodyLimits.WithDefaults()
	if opts.MaxResponseBytes <= 0 {
		opts.MaxResponseBytes = defaultMaxResponseBytes
	}
	if opts.SilenceTimeout <= 0 {
		opts.SilenceTimeout = defaultSilenceTimeout
	}
	return &Handler{opts: opts, metrics: newHandlerMetrics(opts.Metrics)}
}

// Register registers the callers' endpoints with mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/completions", h.handleModel)
	mux.HandleFunc("POST /v1/chat/completions", h.handleModel)
	mux.HandleFunc("GET /v1/models", h.listModels)
	mux.HandleFunc("GET /v1/entry", h.handleEntry)
	mux.HandleFunc("GET /v1/requests/{key}", h.lookupKey)
	mux.HandleFunc("/services/{route}/{rest...}", h.handleService)
	mux.HandleFunc("/", h.handleUnknownPath)
}

func (h *Handler) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_path",
		"there is no such endpoint").WithObject("request", r.Method+" "+path.Clean(r.URL.Path)))
}

// refuse counts an error and sends it to the caller.
func (h *Handler) refuse(w http.ResponseWriter, err error) {
	e := verdict.FromError(err)
	h.metrics.refusals.Inc(1)
	metrics.GetOrRegisterCounter("refusals."+e.Code, h.opts.Metrics).Inc(1)
	openai.WriteError(w, e)
}

// authenticate checks the size of the request's head and authenticates the
// caller. It returns the caller's organisation and the current configuration.
func (h *Handler) authenticate(r *http.Request) (contract.Organisation, *contract.Catalogue, error) {
	if len(r.RequestURI) > maxTargetBytes {
		return contract.Organisation{}, nil, verdict.New(verdict.NotRun, http.StatusRequestURITooLong, "target_too_long", "the address is too long").WithObject("request", "target")
	}
	if len(r.Header) > maxHeaderCount {
		return contract.Organisation{}, nil, verdict.New(verdict.NotRun, http.StatusRequestHeaderFieldsTooLarge, "too_many_headers", "there are too many headers").WithObject("header", "")
	}
	state := h.opts.Configuration.Current()
	if state.Document.Generation == 0 {
		return contract.Organisation{}, nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration", "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return contract.Organisation{}, nil, verdict.New(verdict.NotRun, http.StatusUnauthorized, "missing_key", "send an API key as a bearer token").WithObject("header", "Authorization")
	}
	organisation, known := state.Catalogue.Authenticate(key)
	if !known {
		return contract.Organisation{}, nil, verdict.New(verdict.NotRun, http.StatusUnauthorized, "unknown_key", "the API key belongs to no organisation").WithObject("header", "Authorization")
	}
	return organisation, state.Catalogue, nil
}

// findRoute finds a route that the organisation may use. The error is the same
// for unknown routes and for those of other organisations, so that it reveals
// nothing about them.
func (h *Handler) findRoute(o contract.Organisation, c *contract.Catalogue, name string, kind contract.RouteKind) (contract.Route, error) {
	r, found := c.Route(name)
	if !found || r.Kind != kind || !o.MayUse(name) {
		return contract.Route{}, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_route",
			"the organisation has no such route").WithObject("route/"+name, "")
	}
	return r, nil
}

// readBody reads the request's body within the limits on its size and on the memory for
// all. The connection limits its time.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, organisation string, held *heldBody) ([]byte, error) {
	bodies := intake.Bodies{Account: h.opts.Callers, Now: h.opts.Now}
	body, release, err := bodies.Read(w, r, organisation, h.opts.BodyLimits.MaxBodyBytes)
	held.release = release
	if err != nil {
		return nil, verdict.FromError(err).WithObject("body", "")
	}
	return body, nil
}

// heldBody gives back the memory that is held for a request's body. The zero value holds
// none.
type heldBody struct{ release func() }

func (b *heldBody) end() {
	if b.release != nil {
		b.release()
	}
}

// callerTimeout returns the timeout for writes to a caller.
func (h *Handler) callerTimeout() time.Duration {
	const defaultCallerTimeout = 30 * time.Second
	if h.opts.CallerTimeout <= 0 {
		return defaultCallerTimeout
	}
	return h.opts.CallerTimeout
}

func (h *Handler) handleModel(w http.ResponseWriter, r *http.Request) { h.handle(w, r, h.newModelJob) }

func (h *Handler) handleService(w http.ResponseWriter, r *http.Request) {
	h.handle(w, r, h.newServiceJob)
}

// handle reads a request as a job and serves it, or sends an error.
func (h *Handler) handle(w http.ResponseWriter, r *http.Request, newJob func(time.Time, http.ResponseWriter, *http.Request, *heldBody) (*job, error)) {
	h.metrics.requests.Inc(1)
	var j *job
	defer func() {
		if cause := recover(); cause != nil {
			h.handlePanic(w, r, j, cause)
		}
	}()
	var held heldBody
	defer held.end()
	var err error
	if j, err = newJob(h.opts.Now(), w, r, &held); err != nil {
		intake.Unread(h.opts.Now(), w, r)
		h.refuse(w, err)
		return
	}
	j.serve()
}

// handlePanic logs and counts a panic of a request's handler. The caller gets an error if
// no part of an answer has been sent, otherwise its connection ends. j is nil before the
// request has been read.
func (h *Handler) handlePanic(w http.ResponseWriter, r *http.Request, j *job, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	metrics.GetOrRegisterCounter("panics.handler", h.opts.Metrics).Inc(1)
	h.opts.Log.Error().Str("target", r.RequestURI).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("handler panicked")
	e := verdict.New(verdict.NotRun, http.StatusInternalServerError, "internal_error", "the router failed")
	if j != nil {
		if j.outcome.Status != 0 || j.response != nil && j.response.Started() {
			panic(http.ErrAbortHandler)
		}
		if j.attempt > 0 {
			e = e.WithVerdict(verdict.MayHaveRun)
		}
	}
	h.refuse(w, e)
}

// newModelJob reads and checks a request to a model.
func (h *Handler) newModelJob(now time.Time, w http.ResponseWriter, r *http.Request, held *heldBody) (*job, error) {
	organisation, catalogue, err := h.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := h.readBody(w, r, organisation.Name, held)
	if err != nil {
		return nil, err
	}
	parsed, err := openai.Parse(body, h.opts.BodyLimits)
	if err != nil {
		return nil, err
	}
	rt, err := h.findRoute(organisation, catalogue, parsed.Model, contract.RouteModel)
	if err != nil {
		return nil, err
	}
	j := h.newJob(now, w, r, catalogue, organisation, rt, body)
	return j, j.prepareModel(catalogue, parsed)
}

// newServiceJob reads and checks a request to a plain service.
func (h *Handler) newServiceJob(now time.Time, w http.ResponseWriter, r *http.Request, held *heldBody) (*job, error) {
	organisation, catalogue, err := h.authenticate(r)
	if err != nil {
		return nil, err
	}
	rt, err := h.findRoute(organisation, catalogue, r.PathValue("route"), contract.RouteService)
	if err != nil {
		return nil, err
	}
	body, err := h.readBody(w, r, organisation.Name, held)
	if err != nil {
		return nil, err
	}
	j := h.newJob(now, w, r, catalogue, organisation, rt, body)
	j.path = serviceTarget(r.URL, rt.Name)
	j.fingerprint = quarantine.Fingerprint(organisation.Name, rt.Name+" "+r.Method+" "+j.path, body)
	return j, nil
}

// serviceTarget returns the path and query to send to the service, with the
// caller's encoding.
func serviceTarget(u *url.URL, route string) string {
	rest, found := strings.CutPrefix(u.EscapedPath(), "/services/"+route+"/")
	if !found {
		_, rest, _ = strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/services/"), "/")
	}
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return "/" + rest
}

// listModels lists the models that the organisation may use.
func (h *Handler) listModels(w http.ResponseWriter, r *http.Request) {
	organisation, catalogue, err := h.authenticate(r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, rt := range catalogue.Routes() {
		if rt.Kind == contract.RouteModel && organisation.MayUse(rt.Name) {
			list.Data = append(list.Data, model{ID: rt.Name, Object: "model", OwnedBy: organisation.Name})
		}
	}
	openai.WriteJSON(w, http.StatusOK, list)
}

// handleEntry returns the node that the caller should use.
func (h *Handler) handleEntry(w http.ResponseWriter, r *http.Request) {
	entry, found := h.opts.Fleet.Entry(h.opts.Now(), r.URL.Query().Get("data_centre"))
	if !found {
		h.refuse(w, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_entry", "no node serves callers").WithRetryAfter(notReadyRetryAfter))
		return
	}
	w.Header().Set("Cache-Control", "max-age="+openai.RetryAfterSeconds(time.Duration(entry.TTLMS)*time.Millisecond))
	openai.WriteJSON(w, http.StatusOK, entry)
}

// lookupKey returns the ledger's record of an idempotency key.
func (h *Handler) lookupKey(w http.ResponseWriter, r *http.Request) {
	now := h.opts.Now()
	organisation, _, err := h.authenticate(r)
	if err != nil {
		h.refuse(w, err)
		return
	}
	key, err := ledger.ParseKey(now, organisation.Name, r.PathValue("key"), h.opts.Ledger.Retention())
	if err != nil {
		h.refuse(w, err)
		return
	}
	record, err := h.opts.Ledger.Lookup(r.Context(), now, key)
	if err != nil {
		h.refuse(w, err)
		return
	}
	w.Header().Set(verdict.Header, record.Verdict.String())
	openai.WriteJSON(w, http.StatusOK, struct {
		Key string `json:"key"`
		ledger.Record
		Answer string `json:"answer,omitempty"`
	}{Key: key.Key, Record: record, Answer: string(record.Body)})
}

// jitter returns a random duration from d/2 to d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
