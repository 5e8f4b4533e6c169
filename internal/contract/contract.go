// Package contract defines and validates the configuration objects that
// operators write for the router's own API. Package routing does so for
// host-and-path traffic.
//
// Objects refer to one another by name. A Document is one generation of the
// whole configuration. A Change adds, replaces and deletes objects. Applying it
// yields a new Document, the problems of the resulting configuration, or the
// objects that have been changed since the generation on which the Change is
// based.
//
// # Usage
//
//	objects, base, problems := contract.Parse(raw)
//	change := contract.Change{ID: id, Base: base, Upserts: objects}
//	next, outcome := document.WithChange(change)
//	catalogue, problems := contract.NewCatalogue(next)
//	route, found := catalogue.Route("lot-replies")
//
// Documents and catalogues are immutable and safe for concurrent use.
package contract

import "time"

// Kind is the kind of a configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindOrganisation Kind = "organisation"
	KindModelVersion Kind = "model_version"
	KindPool         Kind = "pool"
	KindRoute        Kind = "route"
	KindPriority     Kind = "priority"
)

// Organisation is a customer whose callers send requests.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 digests of the organisation's API keys, "sha256:"
	// and 64 hex digits.
	KeyHashes []string `json:"key_hashes"`
	// Share is the organisation's weight relative to others when capacity is short.
	Share int `json:"share"`
	// MaxInFlight is the maximum number of its concurrent requests in the whole
	// fleet. Zero means no limit.
	MaxInFlight int `json:"max_in_flight"`
	// Routes are the names of the routes that the organisation may use.
	Routes []string `json:"routes"`
}

// ModelVersion is one version of a model's weights.
type ModelVersion struct {
	Name string `json:"name"`
	// Model is the name of the model, which all its versions share.
	Model string `json:"model"`
	// WeightsVersion is the version that engines with these weights report.
	WeightsVersion string `json:"weights_version"`
}

// PoolKind is the kind of a pool's upstreams.
type PoolKind string

// The kinds of pools.
const (
	// PoolEngine is a pool of inference engines.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of plain HTTP services.
	PoolService PoolKind = "service"
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// ModelVersion is the name of the model version that an engine pool serves.
	// It is empty for a pool of plain services.
	ModelVersion string `json:"model_version"`
	// ChecksFencing means that the upstreams reject an order with an old fence.
	ChecksFencing bool `json:"checks_fencing"`
	// ContinuesResponses means that the engines can continue the text of an
	// interrupted response.
	ContinuesResponses bool `json:"continues_answers"`
	// Slots is the number of requests that one upstream processes concurrently.
	Slots     int        `json:"slots"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one member of a pool.
type Upstream struct {
	Name string `json:"name"`
	// Address is an IP address and a port, such as "10.0.0.1:80".
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// RouteKind is the kind of a route.
type RouteKind string

// The kinds of routes.
const (
	// RouteModel is a route for completions to a pool of engines.
	RouteModel RouteKind = "model"
	// RouteService is a route to a pool of plain services.
	RouteService RouteKind = "service"
)

// Route defines how requests are sent to a pool. Callers select a route by its
// name: the "model" of a completion, or the first path element of a request to a
// plain service.
type Route struct {
	Name string    `json:"name"`
	Kind RouteKind `json:"kind"`
	Pool string    `json:"pool"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Priority is the name of a priority.
	Priority string `json:"priority"`
	// FirstByteTimeoutMS is the time until the first byte or event of a response
	// after which a request goes to another upstream, if it can, in milliseconds.
	FirstByteTimeoutMS int `json:"first_byte_timeout_ms"`
	// EventTimeoutMS is the same between two events of a stream, in milliseconds.
	EventTimeoutMS int `json:"event_timeout_ms"`
	// DeadlineMS is the maximum time of the whole request, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// MaxAttempts is the maximum number of attempts of an idempotent request.
	MaxAttempts int `json:"max_attempts"`
}

// FirstByteTimeout returns FirstByteTimeoutMS as a duration.
func (r Route) FirstByteTimeout() time.Duration { return milliseconds(r.FirstByteTimeoutMS) }

// EventTimeout returns EventTimeoutMS as a duration.
func (r Route) EventTimeout() time.Duration { return milliseconds(r.EventTimeoutMS) }

// Deadline returns DeadlineMS as a duration.
func (r Route) Deadline() time.Duration { return milliseconds(r.DeadlineMS) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Priority orders requests when capacity is short.
type Priority struct {
	Name string `json:"name"`
	// Level is 0 for the most urgent requests to 9 for the least urgent ones.
	Level int `json:"level"`
}

// Set is a group of objects in the form that operators write.
type Set struct {
	// Generation is the generation from which the set was read. Zero means the
	// newest.
	Generation    uint64         `json:"generation,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	ModelVersions []ModelVersion `json:"model_versions,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Priorities    []Priority     `json:"priorities,omitempty"`
}
