// Package ingress serves host-and-path traffic: it takes a caller's request,
// finds its route, sends it to an upstream and passes the answer on, whole and
// in order.
//
// # Usage
//
//	handler := ingress.NewHandler(ingress.Options{Codec: codec, Configuration: holder, ...})
//	server.Handler = handler
//
// A Handler is safe for concurrent use. How requests and answers look on the
// wire is the Codec's business.
package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Fleet is what a request needs of the other VMs.
type Fleet interface {
	// ReportSuspect tells all VMs that an upstream broke off while it ran a request.
	ReportSuspect(now time.Time, fingerprint string, u roster.Upstream)
}

// Options sets up a Handler. All are required but the log.
type Options struct {
	// Now returns the present time.
	Now           func() time.Time
	Codec         Codec
	Configuration *routing.Holder
	Upstreams     *roster.Table
	Dialer        *exchange.Dialer
	RetryBudget   *RetryBudget
	CrashTracker  *CrashTracker
	Fleet         Fleet
	Metrics       metrics.Registry
	Log           zerolog.Logger
	// Stage reports whether the VM is stopping; callers are then asked to
	// open no further request on their connection.
	Stage func(now time.Time) Stage
}

// Stage is how far a VM's stop has come.
type Stage uint8

const (
	// Serving VMs are not stopping.
	Serving Stage = iota
	// Draining VMs still serve, and ask callers to go elsewhere.
	Draining
	// Closing VMs refuse new requests.
	Closing
)

const (
	// startRetryAfter is how soon a VM without a configuration is tried again.
	startRetryAfter = 300 * time.Millisecond
	// noPlaceRetryAfter is how soon a request that found no upstream comes back.
	noPlaceRetryAfter = 400 * time.Millisecond
	maxTargetBytes    = 8 << 10
	// byDefaultTimeout bounds requests of routes that name no time-out.
	byDefaultTimeout = 30 * time.Second
)

// Handler serves callers.
type Handler struct {
	opts Options
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler { return &Handler{opts: opts} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.opts.Now()
	h.count("requests")
	stage := h.opts.Stage(now)
	if stage != Serving {
		w.Header().Set("Connection", "close")
	}
	if unsafeFraming(r.Context()) {
		w.Header().Set("Connection", "close")
		h.refuse(w, Request{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "unclear_framing", "the request can be read in two ways"))
		return
	}
	j, err := h.read(now, w, r, stage)
	if err != nil {
		h.refuse(w, j.request, verdict.As(err))
		return
	}
	j.serve()
}

// read makes a job of a caller's request, or refuses it.
func (h *Handler) read(now time.Time, w http.ResponseWriter, r *http.Request, stage Stage) (job, error) {
	j := job{h: h, w: w, r: r, started: now}
	request, err := h.opts.Codec.DecodeRequest(r)
	j.request = request
	if err != nil {
		return j, err
	}
	if stage == Closing {
		return j, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "stopping", "the VM is stopping").WithRetryAfter(startRetryAfter)
	}
	cfg := h.opts.Configuration.Current()
	if cfg == nil {
		return j, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration", "the VM has no configuration yet").WithRetryAfter(startRetryAfter)
	}
	j.revision = cfg.Revision()
	if err := j.admit(cfg); err != nil {
		return j, err
	}
	if j.body, err = readBody(w, r, cfg.Limits()); err != nil {
		return j, err
	}
	j.fingerprint = quarantine.Fingerprint(j.organisation.Name, r.Method+" "+r.Host+r.RequestURI, j.body)
	return j, nil
}

// admit finds the route and the organisation of a request.
func (j *job) admit(cfg *routing.Config) error {
	target := j.r.RequestURI
	if len(target) > maxTargetBytes || !strings.HasPrefix(target, "/") {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_target", "the target is no path or too long")
	}
	path, _, _ := strings.Cut(target, "?")
	route, found := cfg.Match(j.r.Host, path)
	if !found {
		return verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_route", "no route has this host and path")
	}
	j.route = route
	if cfg.NeedsKey(route) {
		organisation, known := cfg.Authenticate(j.request.Key)
		if !known {
			return verdict.New(verdict.NotRun, http.StatusUnauthorized, "unknown_key", "the key belongs to no organisation")
		}
		j.organisation = organisation
	}
	j.service, _ = cfg.Service(route.Target(rand.Float64()))
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = byDefaultTimeout
	}
	if j.request.TimeLeft > 0 {
		timeout = min(timeout, j.request.TimeLeft)
	}
	j.deadline = j.started.Add(timeout)
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, limits routing.Limits) ([]byte, error) {
	body := r.Body
	if limits.MaxBodyBytes > 0 {
		body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
	}
	var raw []byte
	var err error
	if r.ContentLength > 0 && r.ContentLength <= limits.MaxBodyBytes {
		raw = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, raw)
	} else {
		raw, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || r.ContentLength > limits.MaxBodyBytes && limits.MaxBodyBytes > 0 {
		return nil, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, http.StatusBadRequest, "body_cut", "the body did not arrive whole").WithCause(err)
	}
	return raw, nil
}

func (h *Handler) refuse(w http.ResponseWriter, q Request, e *verdict.Error) {
	h.count("refusals." + e.Code)
	h.opts.Log.Info().Str("request", q.ID).Str("code", e.Code).Int("status", e.Status).Stringer("verdict", e.Verdict).
		Dur("retry_after", e.RetryAfter).AnErr("cause", e.Err).Msg("request refused")
	h.opts.Codec.WriteError(w, q.ID, e)
}

func (h *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, h.opts.Metrics).Inc(1)
}

type framingKey struct{}

// WithFraming returns a context whose requests are refused while unsafe
// reports true.
func WithFraming(ctx context.Context, unsafe func() bool) context.Context {
	return context.WithValue(ctx, framingKey{}, unsafe)
}

func unsafeFraming(ctx context.Context) bool {
	unsafe, found := ctx.Value(framingKey{}).(func() bool)
	return found && unsafe()
}
