// Package ingress is the front end for host-and-path traffic. It matches a
// caller's request to a route, sends it to an upstream and forwards the response
// completely and in order. Requests are retried on other upstreams within the
// limits of their route and of a retry.Budget. Package intake reads a request,
// selection chooses the upstream of an attempt, and leg sends it there and reads the
// response. Package request is the front end for the router's own API.
//
// # Usage
//
//	handler := ingress.NewHandler(ingress.Options{Codec: codec, Configuration: holder, ...})
//	server.Handler = handler
//
// A Handler is safe for concurrent use. The message.Codec defines the wire format of
// requests and responses.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/framing"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/intake"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/retry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/selection"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// Fleet communicates with the other VMs.
type Fleet interface {
	// ReportSuspect announces to all VMs that an upstream broke off its response
	// to the request with the given fingerprint.
	ReportSuspect(now time.Time, fingerprint string, u roster.Upstream)
	// TrialRank returns this VM's place in the order in which VMs may send a request
	// with a blocked prompt part, 0 for the first.
	TrialRank(now time.Time, fingerprint string) int
}

// Options configures a Handler. All fields but Callers, Log, Streams, Quotas, Dispatch and
// DataCentre are required.
type Options struct {
	// Now returns the current time.
	Now           func() time.Time
	Codec         message.Codec
	Configuration *routing.Holder
	Upstreams     *roster.Table
	// Connect opens a connection to an upstream for the request with an ID. An error means
	// that nothing was sent.
	Connect func(ctx context.Context, u roster.Upstream, requestID string) (*exchange.Conn, error)
	// Bodies buffers the responses that are forwarded whole.
	Bodies *readlimit.Pool
	// Callers is the memory for the bodies of requests and for responses that callers have
	// not read. If it is nil, there is no limit in total.
	Callers      *memaccount.Account
	RetryBudget  *retry.Budget
	CrashTracker *suspect.Tracker
	Limits       *permit.Agent
	// Quotas may be nil: then no organisation has a quota.
	Quotas    *permit.Quotas
	Drains    *health.Drains
	Backoffs  *health.Backoffs
	Ejections *health.Ejections
	Brittle   *health.Brittle
	Fleet     Fleet
	// Dispatch has requests placed by dispatchers. Nil means that this VM picks by itself.
	Dispatch *dispatch.Agent
	// DataCentre is that of this VM, for dispatchers.
	DataCentre string
	// Streams may be nil: then a stream goes on at any build.
	Streams lineage.Streams
	Metrics metrics.Registry
	Log     zerolog.Logger
	// Stage returns the stage of the VM's shutdown. Unless it is Serving,
	// callers are asked to close their connection after the response.
	Stage func(now time.Time) Stage
}

// Stage is the stage of a VM's shutdown.
type Stage uint8

const (
	// Serving VMs are not stopping.
	Serving Stage = iota
	// Draining VMs still serve requests and ask callers to use another VM.
	Draining
	// Closing VMs refuse new requests.
	Closing
	// Ending VMs also refuse those that wait for an upstream: too little time is left
	// for them to run.
	Ending
)

const (
	// notReadyRetryAfter is the Retry-After of a VM that has no configuration yet
	// or is closing.
	notReadyRetryAfter = 300 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After of a request that no upstream accepted.
	noUpstreamRetryAfter = 400 * time.Millisecond
)

// Handler is an http.Handler for callers' requests.
type Handler struct {
	opts     Options
	selector *selection.Selector
	// stopping is closed when the requests under way must end.
	stopping chan struct{}
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler {
	selector := selection.New(selection.Options{
		Upstreams: opts.Upstreams, Limits: opts.Limits, Drains: opts.Drains, Backoffs: opts.Backoffs, Ejections: opts.Ejections, Brittle: opts.Brittle, Dispatch: opts.Dispatch, Metrics: opts.Metrics, Log: opts.Log,
	})
	return &Handler{opts: opts, selector: selector, stopping: make(chan struct{})}
}

// ObserveAvailability records what a response says about the availability of its upstream.
// It is for responses to other VMs' requests that this one passes on.
func (h *Handler) ObserveAvailability(u roster.Upstream, status int, head message.ResponseHead) {
	h.observeAvailability(u, status, head)
}

// RecordLeaving records that an upstream has announced that it leaves.
func (h *Handler) RecordLeaving(now time.Time, u roster.Upstream) { h.selector.RecordLeaving(now, u) }

// observeAvailability records what a response says about the availability of its
// upstream. It is called concurrently.
func (h *Handler) observeAvailability(u roster.Upstream, status int, head message.ResponseHead) {
	h.selector.ObserveAvailability(h.opts.Now(), u, status, head)
}

// Stop ends the requests under way, each with an error of its own as far as no part of
// an answer has been sent. It must be called once, shortly before the process ends.
func (h *Handler) Stop() { close(h.stopping) }

// isStopping reports whether Stop has been called.
func (h *Handler) isStopping() bool {
	select {
	case <-h.stopping:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := h.opts.Now()
	var j job
	defer func() {
		if cause := recover(); cause != nil {
			h.handlePanic(w, r, &j, cause)
		}
	}()
	h.incCounter("requests")
	stage := h.opts.Stage(now)
	if stage != Serving {
		w.Header().Set("Connection", "close")
	}
	if e := checkFraming(r); e != nil {
		w.Header().Set("Connection", "close")
		intake.Unread(now, w, r)
		_ = h.refuse(w, message.Request{}, e) // the request has not been read whole
		return
	}
	j = job{h: h, w: w, r: r}
	defer j.refundQuota()
	defer j.release()
	if err := j.read(now, stage); err != nil {
		intake.Unread(h.opts.Now(), w, r)
		_ = h.refuse(w, j.Head, verdict.FromError(err)) // the request may not have been read whole
		return
	}
	j.serve()
}

// checkFraming returns an error if it is not certain where the request begins and ends.
func checkFraming(r *http.Request) *verdict.Error {
	if framing.Check(r.Context()) != framing.Clear {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "unclear_framing", "the request can be read in two ways")
	}
	return nil
}

// handlePanic logs and counts a panic of a request's handler. The caller gets an error if
// no part of an answer has been sent, otherwise its connection ends.
func (h *Handler) handlePanic(w http.ResponseWriter, r *http.Request, j *job, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	h.incCounter("panics.handler")
	h.opts.Log.Error().Str("request", j.Head.ID).Str("target", r.RequestURI).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("handler panicked")
	if j.responding {
		h.incCounter("requests_unanswered.panic")
		h.abort(r)
	}
	e := verdict.New(verdict.NotRun, http.StatusInternalServerError, "internal_error", "the router failed")
	if j.runs > 0 || len(j.legs) > 0 {
		e = e.WithVerdict(verdict.MayHaveRun)
	}
	_ = h.refuse(w, j.Head, e) // the connection may be the reason of the panic
}

// abort ends the connection of a request so that its answer does not look complete.
func (h *Handler) abort(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		// There are no chunks, so that the end of the connection is that of the answer.
		connend.ResetOnClose(r.Context())
	}
	panic(http.ErrAbortHandler)
}

// read reads and checks the caller's request. The job holds the decoded request also if
// there is an error.
func (j *job) read(now time.Time, stage Stage) error {
	h := j.h
	request, err := h.opts.Codec.DecodeRequest(j.r)
	j.Head = request
	if err != nil {
		return err
	}
	for _, name := range request.Unusable {
		h.incCounter("unusable." + name)
	}
	if stage >= Closing {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "stopping", "the VM is stopping").WithRetryAfter(notReadyRetryAfter)
	}
	cfg := h.opts.Configuration.Current()
	if cfg == nil {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_configuration", "the VM has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	}
	// The quota counts the sizes that the caller declares, not those that an upstream holds.
	admit := func(q *intake.Request) error { return j.acquireQuota(now, q, request) }
	j.Request, err = intake.Read(now, j.w, j.r, cfg, request, admit, intake.Bodies{Account: h.opts.Callers, Now: h.opts.Now})
	return err
}

// release gives back the memory that is held for the request.
func (j *job) release() {
	if j.Release != nil {
		j.Release()
	}
}

// refuse logs and counts an error of the router and sends it to the caller. It returns
// an error if the connection does not take it.
func (h *Handler) refuse(w http.ResponseWriter, q message.Request, e *verdict.Error) error {
	h.incCounter("refusals." + e.Code)
	configuration := h.opts.Configuration.Revision()
	h.opts.Log.Info().Str("request", q.ID).Uint64("configuration", configuration).Str("code", e.Code).Int("status", e.Status).Stringer("verdict", e.Verdict).
		Dur("retry_after", e.RetryAfter).AnErr("cause", e.Err).Msg("request refused")
	h.opts.Codec.WriteError(w, q.ID, e)
	return http.NewResponseController(w).Flush()
}

func (h *Handler) incCounter(name string) {
	metrics.GetOrRegisterCounter(name, h.opts.Metrics).Inc(1)
}
