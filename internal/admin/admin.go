// Package admin provides the HTTP API for operators: it validates and applies
// configurations, returns the status and a dump of a node, and drains a node.
//
// # Usage
//
//	admin.NewHandler(admin.Options{Token: token, Publisher: publisher, ...}).Register(mux)
//
// A Handler is safe for concurrent use.
package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/link"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const maxChangeBytes = 32 << 20

// Member is one node in a Status.
type Member struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	// Generation is the generation of the node's current configuration. It is zero
	// if the node was not asked or did not respond.
	Generation uint64 `json:"generation,omitempty"`
}

// Upstream is one upstream in a Status.
type Upstream struct {
	Name           string `json:"name"`
	Pool           string `json:"pool"`
	DataCentre     string `json:"data_centre"`
	State          string `json:"state"`
	WeightsVersion string `json:"weights_version,omitempty"`
	InFlight       int    `json:"in_flight"`
}

// Status is an overview of the fleet, as one node sees it.
type Status struct {
	Node       string     `json:"node"`
	Generation uint64     `json:"generation"`
	Ready      bool       `json:"ready"`
	Leaving    bool       `json:"leaving"`
	Members    []Member   `json:"members"`
	Upstreams  []Upstream `json:"upstreams"`
	// Quarantined is the number of requests that must not run again.
	Quarantined int `json:"quarantined"`
}

// Node is the part of the node's API that the handler uses.
type Node interface {
	// Status returns the status of the fleet, with the generation of each member
	// if fleet is true.
	Status(r *http.Request, fleet bool) Status
	// Dump returns the complete state of the node, without secrets.
	Dump() any
	// Metrics returns all metrics by name.
	Metrics() map[string]map[string]any
	// Ready reports whether the node can serve callers.
	Ready() bool
	// Stop starts a graceful shutdown.
	Stop()
}

// Options configures a Handler. All fields are required.
type Options struct {
	Now       func() time.Time
	Token     string
	Publisher *publication.Publisher
	Holder    *publication.Holder
	Node      Node
}

// Handler serves the operator endpoints.
type Handler struct {
	opts Options
}

// NewHandler returns a Handler.
func NewHandler(opts Options) *Handler { return &Handler{opts: opts} }

// Register adds the endpoints to mux. All endpoints except health require the
// operator token.
func (h *Handler) Register(mux *http.ServeMux) {
	handle := func(pattern string, f http.HandlerFunc) {
		mux.Handle(pattern, link.RequireToken(h.opts.Token, f))
	}
	mux.HandleFunc("GET /admin/v1/health", h.health)
	handle("POST /admin/v1/validate", h.validate)
	handle("POST /admin/v1/apply", h.apply)
	handle("POST /admin/v1/rollback", h.rollback)
	handle("GET /admin/v1/configuration", h.configuration)
	handle("GET /admin/v1/history", h.history)
	handle("GET /admin/v1/status", h.status)
	handle("GET /admin/v1/dump", h.dump)
	handle("GET /admin/v1/metrics", h.metrics)
	handle("POST /admin/v1/drain", h.drain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusNotFound, "unknown_path", "there is no such endpoint").
			WithObject("request", r.Method+" "+r.URL.Path))
	})
}

// ApplyRequest is the body of the validate and apply requests.
type ApplyRequest struct {
	// ID identifies the change. A change that is sent again is not applied again.
	ID     string `json:"id"`
	Author string `json:"author"`
	// Set holds the objects to add or replace, in the format of a configuration
	// file.
	Set json.RawMessage `json:"set"`
	// Deletes lists the objects to delete, as "kind/name".
	Deletes []string `json:"deletes"`
}

// ErrorBody is the body of an error response: the error, with every problem and
// conflict of the change.
type ErrorBody struct {
	openai.ErrorBody
	Problems  []strictjson.Problem `json:"problems,omitempty"`
	Conflicts []string             `json:"conflicts,omitempty"`
}

func (h *Handler) decodeChange(w http.ResponseWriter, r *http.Request) (contract.Change, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err != nil {
		openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_cut", "the body is too large or did not arrive whole"))
		return contract.Change{}, false
	}
	var q ApplyRequest
	problems := strictjson.Decode("change", raw, &q)
	change := contract.Change{ID: q.ID, Author: q.Author, Deletes: q.Deletes}
	if len(problems) == 0 && len(q.Set) > 0 && string(q.Set) != "null" {
		change.Upserts, change.Base, problems = contract.Parse(q.Set)
	}
	if len(problems) == 0 && q.ID == "" {
		problems = append(problems, strictjson.Problem{Object: "change", Field: "id", Reason: "is empty"})
	}
	if len(problems) > 0 {
		h.writeOutcomeError(w, contract.Outcome{Problems: problems})
		return contract.Change{}, false
	}
	return change, true
}

func (h *Handler) writeOutcomeError(w http.ResponseWriter, o contract.Outcome) {
	status, code, reason := http.StatusUnprocessableEntity, "invalid_configuration", "the configuration has problems; nothing was published"
	if len(o.Conflicts) > 0 {
		status, code, reason = http.StatusConflict, "conflict", "somebody changed the same objects in the meantime; nothing was published"
	}
	e := verdict.New(verdict.NotRun, status, code, reason)
	w.Header().Set(verdict.Header, e.Verdict.String())
	openai.WriteJSON(w, status, ErrorBody{ErrorBody: openai.NewErrorBody(e), Problems: o.Problems, Conflicts: o.Conflicts})
}

func (h *Handler) validate(w http.ResponseWriter, r *http.Request) {
	change, ok := h.decodeChange(w, r)
	if !ok {
		return
	}
	next, outcome := h.opts.Holder.Current().Document.WithChange(change)
	if !outcome.OK() {
		h.writeOutcomeError(w, outcome)
		return
	}
	openai.WriteJSON(w, http.StatusOK, publication.Result{Generation: next.Generation, Outcome: outcome})
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	change, ok := h.decodeChange(w, r)
	if !ok {
		return
	}
	h.publish(w, func() (publication.Result, error) {
		return h.opts.Publisher.Publish(r.Context(), h.opts.Now(), change)
	})
}

// publish publishes a change and applies it on this node immediately. The other
// nodes can then fetch it from this node if the platform fails right after the
// publication.
func (h *Handler) publish(w http.ResponseWriter, f func() (publication.Result, error)) {
	result, err := f()
	if err == nil {
		_, err = h.opts.Holder.Offer(result.Document)
	}
	switch {
	case err != nil:
		openai.WriteError(w, err)
	case !result.OK():
		h.writeOutcomeError(w, result.Outcome)
	default:
		openai.WriteJSON(w, http.StatusOK, result)
	}
}

func (h *Handler) rollback(w http.ResponseWriter, r *http.Request) {
	generation, err := strconv.ParseUint(r.URL.Query().Get("generation"), 10, 64)
	id := r.URL.Query().Get("id")
	if err != nil || id == "" {
		openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_query", "want a generation and an id").WithObject("request", "query"))
		return
	}
	h.publish(w, func() (publication.Result, error) {
		return h.opts.Publisher.Rollback(r.Context(), h.opts.Now(), id, r.URL.Query().Get("author"), generation)
	})
}

func (h *Handler) configuration(w http.ResponseWriter, _ *http.Request) {
	set, err := h.opts.Holder.Current().Document.Set()
	if err != nil {
		openai.WriteError(w, err)
		return
	}
	openai.WriteJSON(w, http.StatusOK, set)
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	entries, err := h.opts.Publisher.History(r.Context())
	if err != nil {
		openai.WriteError(w, err)
		return
	}
	for i := range entries {
		entries[i].Segments = nil
	}
	openai.WriteJSON(w, http.StatusOK, map[string]any{"history": entries})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	openai.WriteJSON(w, http.StatusOK, h.opts.Node.Status(r, r.URL.Query().Get("fleet") == "true"))
}

func (h *Handler) dump(w http.ResponseWriter, _ *http.Request) {
	openai.WriteJSON(w, http.StatusOK, h.opts.Node.Dump())
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	openai.WriteJSON(w, http.StatusOK, h.opts.Node.Metrics())
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.opts.Node.Stop()
	openai.WriteJSON(w, http.StatusAccepted, map[string]bool{"leaving": true})
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	if !h.opts.Node.Ready() {
		openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "not_ready",
			"the node has not joined or has no configuration").WithRetryAfter(time.Second))
		return
	}
	openai.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

// DecodeError decodes the body of an error response. It returns a *RefusalError,
// or another error if raw is not an ErrorBody.
func DecodeError(raw []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Error.Code == "" {
		return errors.New("admin: the response is not an error of this API")
	}
	return &RefusalError{Body: body}
}

// RefusalError is an error response as received by a client.
type RefusalError struct {
	Body ErrorBody
}

// Error implements error. The text has one line for the error and one for each
// problem and conflict.
func (e *RefusalError) Error() string {
	text := e.Body.Error.Code + ": " + e.Body.Error.Message
	if e.Body.Error.Object != "" {
		text = e.Body.Error.Object + ": " + e.Body.Error.Param + ": " + text
	}
	for _, p := range e.Body.Problems {
		text += "\n  " + p.String()
	}
	for _, c := range e.Body.Conflicts {
		text += "\n  " + c + ": changed by somebody else in the meantime"
	}
	return text
}
