package contract

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

const (
	maxNameLength    = 63
	maxLevel         = 9
	maxShare         = 1000
	maxSlots         = 10_000
	maxAttempts      = 10
	maxTimeoutMS     = 3_600_000
	maxUpstreams     = 20_000
	keyHashPrefix    = "sha256:"
	maxKeyHashes     = 16
	maxInFlightLimit = 1_000_000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// Catalogue is a valid Document, indexed by name. It is immutable and safe for
// concurrent use.
type Catalogue struct {
	generation    uint64
	organisations map[string]Organisation
	keys          map[[sha256.Size]byte]string
	modelVersions map[string]ModelVersion
	pools         map[string]Pool
	routes        map[string]Route
	priorities    map[string]Priority
}

// NewCatalogue validates the whole document. It returns every problem found. If
// there is any, the catalogue is nil.
func NewCatalogue(d Document) (*Catalogue, []strictjson.Problem) {
	if !d.isSorted() {
		return nil, []strictjson.Problem{{Object: "configuration", Reason: "the objects are out of order"}}
	}
	set, err := d.Set()
	if err != nil {
		return nil, []strictjson.Problem{{Object: "configuration", Reason: err.Error()}}
	}
	c := &Catalogue{
		generation:    d.Generation,
		organisations: indexByName(set.Organisations, func(o Organisation) string { return o.Name }),
		keys:          make(map[[sha256.Size]byte]string),
		modelVersions: indexByName(set.ModelVersions, func(m ModelVersion) string { return m.Name }),
		pools:         indexByName(set.Pools, func(p Pool) string { return p.Name }),
		routes:        indexByName(set.Routes, func(r Route) string { return r.Name }),
		priorities:    indexByName(set.Priorities, func(p Priority) string { return p.Name }),
	}
	check := checker{catalogue: c, upstreams: make(map[string]string), addresses: make(map[string]string)}
	check.checkAll(set)
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	return c, nil
}

func indexByName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, item := range list {
		m[name(item)] = item
	}
	return m
}

// Generation returns the document's generation.
func (c *Catalogue) Generation() uint64 { return c.generation }

// HashKey returns the stored form of an API key: "sha256:" and the digest in
// lower-case hex digits.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation that an API key belongs to. It only uses
// digests: it looks up the key's digest, then compares it with the stored ones in
// constant time.
func (c *Catalogue) Authenticate(key string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(key))
	name, found := c.keys[sum]
	if !found {
		return Organisation{}, false
	}
	organisation := c.organisations[name]
	want := []byte(HashKey(key))
	match := 0
	for _, hash := range organisation.KeyHashes {
		match |= subtle.ConstantTimeCompare(want, []byte(hash))
	}
	return organisation, match == 1
}

// Organisation returns the organisation with the given name.
func (c *Catalogue) Organisation(name string) (Organisation, bool) {
	o, found := c.organisations[name]
	return o, found
}

// Organisations returns all organisations, ordered by name.
func (c *Catalogue) Organisations() []Organisation { return sortedByName(c.organisations) }

// Route returns the route with the given name.
func (c *Catalogue) Route(name string) (Route, bool) {
	r, found := c.routes[name]
	return r, found
}

// Routes returns all routes, ordered by name.
func (c *Catalogue) Routes() []Route { return sortedByName(c.routes) }

// Pool returns the pool with the given name.
func (c *Catalogue) Pool(name string) (Pool, bool) {
	p, found := c.pools[name]
	return p, found
}

// Pools returns all pools, ordered by name.
func (c *Catalogue) Pools() []Pool { return sortedByName(c.pools) }

// ModelVersion returns the model version with the given name.
func (c *Catalogue) ModelVersion(name string) (ModelVersion, bool) {
	m, found := c.modelVersions[name]
	return m, found
}

// Level returns the level of the priority with the given name, or 0 if there is
// none.
func (c *Catalogue) Level(priority string) int { return c.priorities[priority].Level }

// MayUse reports whether the organisation may use the route.
func (o Organisation) MayUse(route string) bool { return slices.Contains(o.Routes, route) }

// sortedByName returns the values of m in the order of their keys.
func sortedByName[T any](m map[string]T) []T {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]T, 0, len(m))
	for _, name := range names {
		list = append(list, m[name])
	}
	return list
}

// checker collects the problems of a set of objects.
type checker struct {
	catalogue *Catalogue
	// upstreams maps the names of upstreams to their pools.
	upstreams map[string]string
	// addresses maps the addresses of upstreams to their names.
	addresses map[string]string
	problems  []strictjson.Problem
}

func (c *checker) addProblem(id ID, field, format string, args ...any) {
	c.problems = append(c.problems, strictjson.Problem{Object: id.String(), Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkAll(set Set) {
	for _, o := range set.Organisations {
		c.checkOrganisation(o)
	}
	for _, m := range set.ModelVersions {
		c.checkModelVersion(m)
	}
	for _, p := range set.Pools {
		c.checkPool(p)
	}
	for _, r := range set.Routes {
		c.checkRoute(r)
	}
	for _, p := range set.Priorities {
		id := ID{Kind: KindPriority, Name: p.Name}
		c.checkName(id, p.Name)
		c.checkRange(id, "level", p.Level, 0, maxLevel)
	}
}

func (c *checker) checkName(id ID, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.addProblem(id, "name", "want 1 to %d lower-case letters, digits, dots, dashes and underscores", maxNameLength)
	}
}

func (c *checker) checkRange(id ID, field string, n, minimum, maximum int) {
	if n < minimum || n > maximum {
		c.addProblem(id, field, "%d is not between %d and %d", n, minimum, maximum)
	}
}

func (c *checker) checkOrganisation(o Organisation) {
	id := ID{Kind: KindOrganisation, Name: o.Name}
	c.checkName(id, o.Name)
	c.checkRange(id, "share", o.Share, 1, maxShare)
	c.checkRange(id, "max_in_flight", o.MaxInFlight, 0, maxInFlightLimit)
	c.checkRange(id, "key_hashes", len(o.KeyHashes), 1, maxKeyHashes)
	for i, hash := range o.KeyHashes {
		c.checkKeyHash(id, fmt.Sprintf("key_hashes[%d]", i), hash)
	}
	for i, route := range o.Routes {
		if _, found := c.catalogue.routes[route]; !found {
			c.addProblem(id, fmt.Sprintf("routes[%d]", i), "no route is named %q", route)
		}
	}
}

func (c *checker) checkKeyHash(id ID, field, hash string) {
	digits, prefixed := strings.CutPrefix(hash, keyHashPrefix)
	raw, err := hex.DecodeString(digits)
	if !prefixed || err != nil || len(raw) != sha256.Size || strings.ToLower(digits) != digits {
		c.addProblem(id, field, "want %q and 64 lower-case hex digits", keyHashPrefix)
		return
	}
	sum := [sha256.Size]byte(raw)
	if owner, taken := c.catalogue.keys[sum]; taken {
		c.addProblem(id, field, "the key belongs to organisation %q already", owner)
		return
	}
	c.catalogue.keys[sum] = id.Name
}

func (c *checker) checkModelVersion(m ModelVersion) {
	id := ID{Kind: KindModelVersion, Name: m.Name}
	c.checkName(id, m.Name)
	c.checkName(ID{Kind: KindModelVersion, Name: m.Name + " model"}, m.Model)
	if m.WeightsVersion == "" {
		c.addProblem(id, "weights_version", "is empty")
	}
}

func (c *checker) checkPool(p Pool) {
	id := ID{Kind: KindPool, Name: p.Name}
	c.checkName(id, p.Name)
	c.checkRange(id, "slots", p.Slots, 1, maxSlots)
	c.checkRange(id, "upstreams", len(p.Upstreams), 1, maxUpstreams)
	_, found := c.catalogue.modelVersions[p.ModelVersion]
	switch {
	case p.Kind != PoolEngine && p.Kind != PoolService:
		c.addProblem(id, "kind", "%q is neither %q nor %q", p.Kind, PoolEngine, PoolService)
	case p.Kind == PoolEngine && !found:
		c.addProblem(id, "model_version", "no model version is named %q", p.ModelVersion)
	case p.Kind == PoolService && p.ModelVersion != "":
		c.addProblem(id, "model_version", "a pool of plain services has none")
	}
	for i, u := range p.Upstreams {
		c.checkUpstream(id, fmt.Sprintf("upstreams[%d]", i), u)
	}
}

func (c *checker) checkUpstream(id ID, field string, u Upstream) {
	if len(u.Name) > maxNameLength || !namePattern.MatchString(u.Name) {
		c.addProblem(id, field+".name", "%q is not a name", u.Name)
	}
	if owner, taken := c.upstreams[u.Name]; taken {
		c.addProblem(id, field+".name", "%q is in pool %q already", u.Name, owner)
	}
	c.upstreams[u.Name] = id.Name
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		c.addProblem(id, field+".address", "want an IP number and a port, got %q", u.Address)
	}
	if owner, taken := c.addresses[u.Address]; taken {
		c.addProblem(id, field+".address", "%s belongs to upstream %q already", u.Address, owner)
	}
	c.addresses[u.Address] = u.Name
	if u.DataCentre == "" {
		c.addProblem(id, field+".data_centre", "is empty")
	}
}

func (c *checker) checkRoute(r Route) {
	id := ID{Kind: KindRoute, Name: r.Name}
	c.checkName(id, r.Name)
	c.checkRoutePool(id, r)
	if _, found := c.catalogue.priorities[r.Priority]; !found {
		c.addProblem(id, "priority", "no priority is named %q", r.Priority)
	}
	c.checkRange(id, "deadline_ms", r.DeadlineMS, 1, maxTimeoutMS)
	c.checkRange(id, "first_byte_timeout_ms", r.FirstByteTimeoutMS, 1, maxTimeoutMS)
	c.checkRange(id, "event_timeout_ms", r.EventTimeoutMS, 1, maxTimeoutMS)
	c.checkRange(id, "max_attempts", r.MaxAttempts, 1, maxAttempts)
	if r.FirstByteTimeoutMS > r.DeadlineMS {
		c.addProblem(id, "first_byte_timeout_ms", "is over deadline_ms")
	}
}

func (c *checker) checkRoutePool(id ID, r Route) {
	pool, found := c.catalogue.pools[r.Pool]
	switch {
	case r.Kind != RouteModel && r.Kind != RouteService:
		c.addProblem(id, "kind", "%q is neither %q nor %q", r.Kind, RouteModel, RouteService)
	case !found:
		c.addProblem(id, "pool", "no pool is named %q", r.Pool)
	case r.Kind == RouteModel && pool.Kind != PoolEngine:
		c.addProblem(id, "pool", "a model route needs a pool of engines, %q is none", r.Pool)
	case r.Kind == RouteService && pool.Kind != PoolService:
		c.addProblem(id, "pool", "a service route needs a pool of plain services, %q is none", r.Pool)
	}
}
