// Package contract holds the operators' configuration objects and checks the
// whole set of them.
//
// Objects refer to one another by name. A Document is one generation of the
// whole set. A Change adds, replaces and deletes objects; applying it yields a
// new Document, the problems of the resulting set, or the objects on which it
// conflicts with a change made in the meantime.
//
// # Usage
//
//	set, problems := contract.Parse(raw)
//	next, result := document.WithChange(change)
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
	// KeyHashes are SHA-256 digests of the organisation's API keys, "sha256:" and 64 hex digits.
	KeyHashes []string `json:"key_hashes"`
	// Share weighs the organisation against others when capacity is short.
	Share int `json:"share"`
	// MaxInFlight bounds its requests in the whole fleet at one time. Zero sets no bound.
	MaxInFlight int `json:"max_in_flight"`
	// Routes names the routes that it may use.
	Routes []string `json:"routes"`
}

// ModelVersion is one version of a model's weights.
type ModelVersion struct {
	Name string `json:"name"`
	// Model is the model's name, shared by its versions.
	Model string `json:"model"`
	// WeightsVersion is the version that engines report for these weights.
	WeightsVersion string `json:"weights_version"`
}

// PoolKind tells engines from plain services.
type PoolKind string

// The kinds of pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a set of upstreams that can stand in for one another.
type Pool struct {
	Name string   `json:"name"`
	Kind PoolKind `json:"kind"`
	// ModelVersion names the model version that an engine pool serves.
	ModelVersion string `json:"model_version"`
	// ChecksFencing says whether the upstreams refuse an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// ContinuesResponses says whether the engines can go on from the text of a cut answer.
	ContinuesResponses bool `json:"continues_answers"`
	// Slots is how many requests one upstream works on at a time.
	Slots     int        `json:"slots"`
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one back end of a pool.
type Upstream struct {
	Name string `json:"name"`
	// Address is an IP number and a port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// RouteKind tells model routes from plain-service routes.
type RouteKind string

// The kinds of routes.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route is what callers name: the "model" of a completion or the first path
// element of a plain service.
type Route struct {
	Name string    `json:"name"`
	Kind RouteKind `json:"kind"`
	Pool string    `json:"pool"`
	// Idempotent says whether a request may run more than once.
	Idempotent bool   `json:"idempotent"`
	Priority   string `json:"priority"`
	// FirstByteTimeoutMS bounds the wait for the first byte or event of an answer.
	FirstByteTimeoutMS int `json:"first_byte_timeout_ms"`
	// EventTimeoutMS bounds the wait between two events of a stream.
	EventTimeoutMS int `json:"event_timeout_ms"`
	// DeadlineMS bounds the whole request.
	DeadlineMS int `json:"deadline_ms"`
	// MaxAttempts bounds the attempts of an idempotent request.
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
	// Level is 0 for the most urgent to 9 for the least.
	Level int `json:"level"`
}

// Set is a group of objects as operators write it.
type Set struct {
	// Generation is the generation that the set was read at. Zero stands for the newest.
	Generation    uint64         `json:"generation,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	ModelVersions []ModelVersion `json:"model_versions,omitempty"`
	Pools         []Pool         `json:"pools,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	Priorities    []Priority     `json:"priorities,omitempty"`
}
