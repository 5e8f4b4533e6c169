// Package routing holds the configuration of host-and-path traffic: which
// route a request takes, which services serve it, and which organisation a key
// belongs to.
//
// # Usage
//
//	cfg := routing.New(revision, version, document)
//	route, found := cfg.Match("desk.example", "/filings/2026/")
//	organisation, known := cfg.Authenticate(key)
//
// A Config is an immutable value and safe for concurrent use.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how a request may be treated.
type Kind uint8

const (
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a series of events.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the service's share of the route, against the sum of all.
	Weight int
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request is kept.
	Timeout time.Duration
	// TargetLatency is when an answer, or its first event, should be there.
	TargetLatency time.Duration
	// TargetEventGap is the longest pause between two events of a timely answer.
	TargetEventGap time.Duration `json:"Gap"`
	// Priority is the route's rank, 0 for the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target returns the service for a draw between 0 and 1.
func (r Route) Target(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of upstreams that do the same.
type Service struct {
	Name string
	// Engine says that the upstreams are model engines.
	Engine bool
	// Slots is how many requests an engine works on at once.
	Slots int
	// CacheTokens is an engine's memory for running requests and kept prompts.
	CacheTokens int
	Models      []string
	// StoreAddress is where a store of kept prompts is. It is empty for others.
	StoreAddress string
	// DataCentre is where such a store stands.
	DataCentre string
}

// Organisation is a holder of API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's if it is set.
	Priority *int
	// Isolated organisations share no kept prompt with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is a configuration as operators publish it.
type Document struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Config is one configuration, ready for look-ups.
type Config struct {
	revision uint64
	document Document
	byHost   map[string][]Route
	byKey    map[string]Organisation
	services map[string]Service
}

// New returns the Config of a document that has the revision in the store.
func New(revision uint64, d Document) *Config {
	c := &Config{
		revision: revision,
		document: d,
		byHost:   make(map[string][]Route),
		byKey:    make(map[string]Organisation),
		services: make(map[string]Service),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range d.Organisations {
		for _, key := range o.Keys {
			c.byKey[key] = o
		}
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	return c
}

// Revision is the configuration's revision in the store.
func (c *Config) Revision() uint64 { return c.revision }

// Version is the operators' number of the configuration.
func (c *Config) Version() int64 { return c.document.Version }

// Limits returns what callers may send.
func (c *Config) Limits() Limits { return c.document.Limits }

// Services returns all services.
func (c *Config) Services() []Service { return c.document.Services }

// Service returns the service of a name.
func (c *Config) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Match returns the route with the longest prefix of the path, which is as the
// caller wrote it, without the query.
func (c *Config) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of the route carry a key.
func (c *Config) NeedsKey(r Route) bool { return len(c.document.Organisations) > 0 && !r.Public }

// Authenticate returns the organisation that holds the key.
func (c *Config) Authenticate(key string) (Organisation, bool) {
	if key == "" {
		return Organisation{}, false
	}
	o, found := c.byKey[key]
	return o, found
}
