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

// Catalogue is a checked Document, indexed for lookups.
type Catalogue struct {
	generation    uint64
	organisations map[string]Organisation
	keys          map[[sha256.Size]byte]string
	modelVersions map[string]ModelVersion
	pools         map[string]Pool
	routes        map[string]Route
	priorities    map[string]Priority
}

// NewCatalogue checks the whole document. It returns every problem found; the
// catalogue is nil if there is one.
func NewCatalogue(d Document) (*Catalogue, []strictjson.Problem) {
	if !d.ordered() {
		return nil, []strictjson.Problem{{Object: "configuration", Reason: "the objects are out of order"}}
	}
	set, err := d.Set()
	if err != nil {
		return nil, []strictjson.Problem{{Object: "configuration", Reason: err.Error()}}
	}
	c := &Catalogue{
		generation:    d.Generation,
		organisations: byName(set.Organisations, func(o Organisation) string { return o.Name }),
		keys:          make(map[[sha256.Size]byte]string),
		modelVersions: byName(set.ModelVersions, func(m ModelVersion) string { return m.Name }),
		pools:         byName(set.Pools, func(p Pool) string { return p.Name }),
		routes:        byName(set.Routes, func(r Route) string { return r.Name }),
		priorities:    byName(set.Priorities, func(p Priority) string { return p.Name }),
	}
	check := checker{catalogue: c, upstreams: make(map[string]string), addresses: make(map[string]string)}
	check.all(set)
	if len(check.problems) > 0 {
		return nil, check.problems
	}
	return c, nil
}

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, item := range list {
		m[name(item)] = item
	}
	return m
}

// Generation returns the document's generation.
func (c *Catalogue) Generation() uint64 { return c.generation }

// HashKey returns the stored form of an API key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(sum[:])
}

// Authenticate returns the organisation that an API key belongs to. Only
// digests are looked up and compared, the latter in constant time.
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

// Organisation returns the organisation with the name.
func (c *Catalogue) Organisation(name string) (Organisation, bool) {
	o, found := c.organisations[name]
	return o, found
}

// Organisations returns all organisations, ordered by name.
func (c *Catalogue) Organisations() []Organisation { return sorted(c.organisations) }

// Route returns the route with the name.
func (c *Catalogue) Route(name string) (Route, bool) {
	r, found := c.routes[name]
	return r, found
}

// Routes returns all routes, ordered by name.
func (c *Catalogue) Routes() []Route { return sorted(c.routes) }

// Pool returns the pool with the name.
func (c *Catalogue) Pool(name string) (Pool, bool) {
	p, found := c.pools[name]
	return p, found
}

// Pools returns all pools, ordered by name.
func (c *Catalogue) Pools() []Pool { return sorted(c.pools) }

// ModelVersion returns the model version with the name.
func (c *Catalogue) ModelVersion(name string) (ModelVersion, bool) {
	m, found := c.modelVersions[name]
	return m, found
}

// Level returns the level of the priority with the name.
func (c *Catalogue) Level(priority string) int { return c.priorities[priority].Level }

// MayUse reports whether the organisation may use the route.
func (o Organisation) MayUse(route string) bool { return slices.Contains(o.Routes, route) }

func sorted[T any](m map[string]T) []T {
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

type checker struct {
	catalogue *Catalogue
	upstreams map[string]string
	addresses map[string]string
	problems  []strictjson.Problem
}

func (c *checker) add(id ID, field, format string, args ...any) {
	c.problems = append(c.problems, strictjson.Problem{Object: id.String(), Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) all(set Set) {
	for _, o := range set.Organisations {
		c.organisation(o)
	}
	for _, m := range set.ModelVersions {
		c.modelVersion(m)
	}
	for _, p := range set.Pools {
		c.pool(p)
	}
	for _, r := range set.Routes {
		c.route(r)
	}
	for _, p := range set.Priorities {
		id := ID{Kind: KindPriority, Name: p.Name}
		c.name(id, p.Name)
		c.between(id, "level", p.Level, 0, maxLevel)
	}
}

func (c *checker) name(id ID, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		c.add(id, "name", "want 1 to %d lower-case letters, digits, dots, dashes and underscores", maxNameLength)
	}
}

func (c *checker) between(id ID, field string, n, least, most int) {
	if n < least || n > most {
		c.add(id, field, "%d is not between %d and %d", n, least, most)
	}
}

func (c *checker) organisation(o Organisation) {
	id := ID{Kind: KindOrganisation, Name: o.Name}
	c.name(id, o.Name)
	c.between(id, "share", o.Share, 1, maxShare)
	c.between(id, "max_in_flight", o.MaxInFlight, 0, maxInFlightLimit)
	c.between(id, "key_hashes", len(o.KeyHashes), 1, maxKeyHashes)
	for i, hash := range o.KeyHashes {
		c.keyHash(id, fmt.Sprintf("key_hashes[%d]", i), hash)
	}
	for i, route := range o.Routes {
		if _, found := c.catalogue.routes[route]; !found {
			c.add(id, fmt.Sprintf("routes[%d]", i), "no route is named %q", route)
		}
	}
}

func (c *checker) keyHash(id ID, field, hash string) {
	digits, prefixed := strings.CutPrefix(hash, keyHashPrefix)
	raw, err := hex.DecodeString(digits)
	if !prefixed || err != nil || len(raw) != sha256.Size || strings.ToLower(digits) != digits {
		c.add(id, field, "want %q and 64 lower-case hex digits", keyHashPrefix)
		return
	}
	sum := [sha256.Size]byte(raw)
	if owner, taken := c.catalogue.keys[sum]; taken {
		c.add(id, field, "the key belongs to organisation %q already", owner)
		return
	}
	c.catalogue.keys[sum] = id.Name
}

func (c *checker) modelVersion(m ModelVersion) {
	id := ID{Kind: KindModelVersion, Name: m.Name}
	c.name(id, m.Name)
	c.name(ID{Kind: KindModelVersion, Name: m.Name + " model"}, m.Model)
	if m.WeightsVersion == "" {
		c.add(id, "weights_version", "is empty")
	}
}

func (c *checker) pool(p Pool) {
	id := ID{Kind: KindPool, Name: p.Name}
	c.name(id, p.Name)
	c.between(id, "slots", p.Slots, 1, maxSlots)
	c.between(id, "upstreams", len(p.Upstreams), 1, maxUpstreams)
	_, found := c.catalogue.modelVersions[p.ModelVersion]
	switch {
	case p.Kind != PoolEngine && p.Kind != PoolService:
		c.add(id, "kind", "%q is neither %q nor %q", p.Kind, PoolEngine, PoolService)
	case p.Kind == PoolEngine && !found:
		c.add(id, "model_version", "no model version is named %q", p.ModelVersion)
	case p.Kind == PoolService && p.ModelVersion != "":
		c.add(id, "model_version", "a pool of plain services has none")
	}
	for i, u := range p.Upstreams {
		c.upstream(id, fmt.Sprintf("upstreams[%d]", i), u)
	}
}

func (c *checker) upstream(id ID, field string, u Upstream) {
	if len(u.Name) > maxNameLength || !namePattern.MatchString(u.Name) {
		c.add(id, field+".name", "%q is not a name", u.Name)
	}
	if owner, taken := c.upstreams[u.Name]; taken {
		c.add(id, field+".name", "%q is in pool %q already", u.Name, owner)
	}
	c.upstreams[u.Name] = id.Name
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		c.add(id, field+".address", "want an IP number and a port, got %q", u.Address)
	}
	if owner, taken := c.addresses[u.Address]; taken {
		c.add(id, field+".address", "%s belongs to upstream %q already", u.Address, owner)
	}
	c.addresses[u.Address] = u.Name
	if u.DataCentre == "" {
		c.add(id, field+".data_centre", "is empty")
	}
}

func (c *checker) route(r Route) {
	id := ID{Kind: KindRoute, Name: r.Name}
	c.name(id, r.Name)
	c.routePool(id, r)
	if _, found := c.catalogue.priorities[r.Priority]; !found {
		c.add(id, "priority", "no priority is named %q", r.Priority)
	}
	c.between(id, "deadline_ms", r.DeadlineMS, 1, maxTimeoutMS)
	c.between(id, "first_byte_timeout_ms", r.FirstByteTimeoutMS, 1, maxTimeoutMS)
	c.between(id, "event_timeout_ms", r.EventTimeoutMS, 1, maxTimeoutMS)
	c.between(id, "max_attempts", r.MaxAttempts, 1, maxAttempts)
	if r.FirstByteTimeoutMS > r.DeadlineMS {
		c.add(id, "first_byte_timeout_ms", "is over deadline_ms")
	}
}

func (c *checker) routePool(id ID, r Route) {
	pool, found := c.catalogue.pools[r.Pool]
	switch {
	case r.Kind != RouteModel && r.Kind != RouteService:
		c.add(id, "kind", "%q is neither %q nor %q", r.Kind, RouteModel, RouteService)
	case !found:
		c.add(id, "pool", "no pool is named %q", r.Pool)
	case r.Kind == RouteModel && pool.Kind != PoolEngine:
		c.add(id, "pool", "a model route needs a pool of engines, %q is none", r.Pool)
	case r.Kind == RouteService && pool.Kind != PoolService:
		c.add(id, "pool", "a service route needs a pool of plain services, %q is none", r.Pool)
	}
}
