// Package routing holds the configuration of host-and-path traffic: the routes,
// the services that serve them, and the organisations with their API keys.
//
// # Usage
//
//	cfg := routing.New(revision, document)
//	route, found := cfg.Match("desk.example", "/filings/2026/")
//	organisation, known := cfg.Authenticate(key)
//
// A Config is immutable and safe for concurrent use.
package routing

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// Kind is the kind of a route's requests. It decides how often they may run and
// how they are answered.
type Kind uint8

const (
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with a stream of server-sent events.
	Streaming
)

// String returns the name used in logs and metrics.
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
	// Weight is the service's share of the requests, relative to the sum of all weights.
	Weight int
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// TargetLatency is the target for the time to the response, or to its first event.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest time between two events of a stream.
	TargetEventGap time.Duration `json:"Gap"`
	// Priority is 0 for the most urgent requests and higher for others.
	Priority int
	Targets  []Target
	// MaxAttempts limits the attempts of one request that may have run.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue on another upstream.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService returns the service for a random number from 0 to below 1, so
// that each service gets its share. It returns "" if the route has no targets.
func (r Route) PickService(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// Engine is set if the upstreams are model engines.
	Engine bool
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size in tokens of an engine's KV cache, which holds running
	// requests and cached prompts, or the capacity of the prompt store.
	CacheTokens int
	Models      []string
	// StoreAddress is the address of the prompt store if the service is one, and
	// empty otherwise.
	StoreAddress string
	// DataCentre is the data centre of the prompt store.
	DataCentre string
}

// Organisation is a customer. Its callers are identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if it is set.
	Priority *int
	// Isolated organisations share no cached prompts with others.
	Isolated bool
	// Quota limits what all VMs together send to upstreams for the organisation.
	Quota quota.Limit `json:",omitzero"`
}

// Limits limits the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is a configuration as published by operators.
type Document struct {
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Config is a configuration with indexes for lookups.
type Config struct {
	revision uint64
	// era is the store's era of the revision.
	era      uint64
	document Document
	// byHost holds the routes of each lower-case host, the longest prefix first.
	byHost   map[string][]Route
	byKey    map[string]Organisation
	services map[string]Service
	quotas   map[string]quota.Limit
	// isolated holds for each organisation whether it is isolated. sharedCache is the cache
	// key of all others.
	isolated    map[string]bool
	sharedCache string
}

// New returns the Config of a document. revision is its revision in the store.
func New(revision uint64, d Document) *Config {
	c := &Config{
		revision: revision,
		document: d,
		byHost:   make(map[string][]Route),
		byKey:    make(map[string]Organisation),
		services: make(map[string]Service),
		quotas:   make(map[string]quota.Limit),
		isolated: make(map[string]bool),
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, o := range d.Organisations {
		c.isolated[o.Name] = c.isolated[o.Name] || o.Isolated
		if o.Quota.Limited() {
			c.quotas[o.Name] = o.Quota
		}
		for _, key := range o.Keys {
			c.byKey[key] = o
		}
	}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	c.sharedCache = sharedCacheKey(c.isolated)
	return c
}

// sharedCacheKey returns the cache key of the organisations that are not isolated. It
// differs for each set of isolated ones, so that what an organisation has left under a
// shared key is not found by others once it is isolated. It is empty if there are none.
func sharedCacheKey(isolated map[string]bool) string {
	h := xxhash.New()
	found := false
	for _, name := range slices.Sorted(maps.Keys(isolated)) {
		if isolated[name] {
			found = true
			_, _ = fmt.Fprintf(h, "%d:%s", len(name), name) // never fails
		}
	}
	if !found {
		return ""
	}
	return "/" + strconv.FormatUint(h.Sum64(), 36)
}

// CacheKey returns the key under which the requests of an organisation share cached
// prompts. An organisation that is isolated, or that the configuration does not have, has
// one of its own, which contains no slash. Requests without an organisation have an empty
// name.
func (c *Config) CacheKey(organisation string) string {
	if isolated, known := c.isolated[organisation]; isolated || !known && organisation != "" {
		return url.PathEscape(organisation)
	}
	return c.sharedCache
}

// WithEra returns the configuration with the store's era of its revision, which is 0
// otherwise.
func (c *Config) WithEra(era uint64) *Config {
	changed := *c
	changed.era = era
	return &changed
}

// Era returns the store's era of the configuration's revision.
func (c *Config) Era() uint64 { return c.era }

// Revision returns the configuration's revision in the store.
func (c *Config) Revision() uint64 { return c.revision }

// Quotas returns the quotas of the organisations that have one.
func (c *Config) Quotas() *quota.Limits {
	return &quota.Limits{Position: c.Position(), ByOrganisation: c.quotas}
}

// Position returns the configuration's position in the store.
func (c *Config) Position() registry.Position {
	return registry.Position{Era: c.era, Revision: c.revision}
}

// Document returns the document. It must not be changed.
func (c *Config) Document() Document { return c.document }

// Version returns the version that operators gave the configuration.
func (c *Config) Version() int64 { return c.document.Version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.document.Limits }

// Services returns all services.
func (c *Config) Services() []Service { return c.document.Services }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, found := c.services[name]
	return s, found
}

// Match returns the route of the host with the longest matching path prefix. The
// case and the port of the host are ignored. The path must be as the caller sent
// it, without the query.
func (c *Config) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of the route must carry an API key.
func (c *Config) NeedsKey(r Route) bool { return len(c.document.Organisations) > 0 && !r.Public }

// Authenticate returns the organisation that holds the key.
func (c *Config) Authenticate(key string) (Organisation, bool) {
	if key == "" {
		return Organisation{}, false
	}
	o, found := c.byKey[key]
	return o, found
}
