// Package experiment simulates a whole fleet in virtual time under a load pattern.
// Entry VMs pick engines with package roster, know only what they have received in
// messages, and send requests to the engines of package enginemodel. It shows the
// effect of a routing policy before it is deployed. Command covesim runs it.
//
// # Usage
//
//	result, err := experiment.Run(experiment.Options{Deployment: "association", Pattern: "steady", Policy: "ours", Seed: 1})
//
// The same options give the same result. Experiments may run concurrently.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

const (
	service = "lm"
	model   = "m"

	beaconInterval = 150 * time.Millisecond
	// collectInterval is the interval at which the cache events of an engine are sent,
	// and at which VMs of a small fleet poll the prompt store. storePollInterval is the
	// interval of that poll in a large fleet. Each VM's own interval is up to a quarter
	// longer.
	collectInterval   = 120 * time.Millisecond
	storePollInterval = 2 * time.Second
	// storeBlockTokens is the unit of eviction of the prompt store.
	storeBlockTokens = 16
	// listLag is the largest delay until a change of the desired version or the
	// removal of an upstream reaches a VM. Entries of upstreams take listLag/2
	// longer.
	listLag = 400 * time.Millisecond
	// maxSentPerBeacon limits the sent prompts that a beacon has of each round.
	maxSentPerBeacon = 24
	// slowEngineFactor is the slowdown of every third engine.
	slowEngineFactor = 1.3
	// datagramLoss is the share of beacons that are lost.
	datagramLoss = 0.005
	// recomputeWindow is the time since the last use within which computing a part
	// again counts as recomputed.
	recomputeWindow = 10 * time.Second
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Options select an experiment.
type Options struct {
	Deployment, Pattern, Policy string
	// Weights replaces the weights of the policy if it is set.
	Weights *costmodel.Policy
	Seed    uint64
	// Duration is how long requests arrive, in virtual time. The default is 30 s.
	Duration time.Duration
}

// fleet is the state of one experiment.
type fleet struct {
	loop       *virtualtime.Loop
	rng        *rand.Rand
	deployment Deployment
	opts       Options
	policy     Policy
	engines    []*engine
	vms        []*vm
	store      *enginemodel.Store
	loading    *enginemodel.LoadingCounter
	prompts    []*promptSource
	result     *Result
	// lastUse maps a partKey to the time at which a run last used the part.
	lastUse map[string]time.Time
	// desiredVersion has been the desired version of the weights since desiredAt.
	desiredVersion int64
	desiredAt      time.Time
	// loadFactor multiplies the request rate. hotShare is the share of requests that
	// use the most popular innermost part in addition to its usual share.
	loadFactor, hotShare float64
	// impatient makes callers repeat refused requests impatientRepeats times without
	// delay.
	impatient bool
	// lostOrders is set while half of the orders to load weights are lost.
	lostOrders bool
	// endsAt is when the last request may arrive.
	endsAt time.Time
}

// engine is a simulated engine with its entry in the list of upstreams.
type engine struct {
	*enginemodel.Engine
	upstream   roster.Upstream
	dataCentre int
	// slowdown is the present factor on the time of each step.
	slowdown float64
}

// setSlowdown changes the speed of an engine.
func (e *engine) setSlowdown(factor float64) {
	e.slowdown = factor
	e.SetSlowdown(factor)
}

// vm is a simulated entry VM.
type vm struct {
	table      *roster.Table
	dataCentre int
	// near are the other VMs of the same data centre, and far the VMs of the other data
	// centres.
	near, far  []*vm
	roundRobin beacon.RoundRobin[*vm]
	// recentlySent has the sent prompts of the last rounds of beacons, oldest first.
	recentlySent [][]roster.Sent
	// partitioned VMs exchange no beacons.
	up, partitioned bool
	// storeEpoch is the known epoch of the prompt store, 0 while it is down.
	// nextStoreEvent is the index of the next event to read from it.
	storeEpoch     uint64
	nextStoreEvent int
	name           string
	// process and book are of the present start of the VM.
	process int64
	book    *capacity.Book
}

// Run runs one experiment. It returns an error if the deployment, the pattern or the
// policy is unknown.
func Run(opts Options) (Result, error) {
	d, found := Deployments()[opts.Deployment]
	if !found {
		return Result{}, fmt.Errorf("experiment: no deployment %q", opts.Deployment)
	}
	pattern, found := Patterns()[opts.Pattern]
	if !found {
		return Result{}, fmt.Errorf("experiment: no pattern %q", opts.Pattern)
	}
	policy, found := Policies()[opts.Policy]
	if !found {
		return Result{}, fmt.Errorf("experiment: no policy %q", opts.Policy)
	}
	if opts.Weights != nil {
		policy.Policy = *opts.Weights
	}
	if policy.PrefillTokensPerMS == 0 {
		policy.PrefillTokensPerMS = d.Engine.PrefillTokensPerMS
	}
	if opts.Duration <= 0 {
		opts.Duration = defaultDuration
	}
	f := newFleet(d, opts, policy)
	pattern.apply(f)
	f.endsAt = epoch.Add(opts.Duration)
	for i := range f.prompts {
		f.scheduleArrival(i)
	}
	f.loop.Run(f.endsAt.Add(d.maxTimeout()))
	for _, e := range f.engines {
		f.result.FetchedTokens += e.FetchedTokens
	}
	return *f.result, nil
}

// Policies returns the policies by name. "previous" does not learn the speeds of engines,
// and "oracle" knows them.
func Policies() map[string]Policy {
	return map[string]Policy{
		"ours": {Speeds: learntSpeeds}, "previous": {}, "oracle": {Speeds: trueSpeeds}, "random": {Policy: costmodel.Policy{Rule: costmodel.ByRandom}},
		"least-loaded": {Policy: costmodel.Policy{Rule: costmodel.ByLoad}}, "hash": {Policy: costmodel.Policy{Rule: costmodel.ByHash}},
	}
}

// maxTimeout returns the longest timeout of the classes.
func (d Deployment) maxTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Timeout)
	}
	return longest
}

func newFleet(d Deployment, opts Options, policy Policy) *fleet {
	f := &fleet{
		loop: virtualtime.New(epoch), rng: rand.New(rand.NewPCG(opts.Seed, 1)), deployment: d, opts: opts, policy: policy,
		store: enginemodel.NewStore(d.StoreTokens, storeBlockTokens, d.StoreLinkTokensPerMS), loading: &enginemodel.LoadingCounter{},
		result:  &Result{Deployment: d.Name, Pattern: opts.Pattern, Policy: opts.Policy, Seed: opts.Seed},
		lastUse: make(map[string]time.Time), desiredVersion: 1, desiredAt: epoch, loadFactor: 1,
	}
	for i, c := range d.Classes {
		f.prompts = append(f.prompts, newPromptSource(c, rand.New(rand.NewPCG(opts.Seed, uint64(i)+2))))
	}
	for i := range d.Engines {
		dc := i / 3 % d.DataCentres
		engineOptions := d.Engine
		if i%3 == 2 {
			engineOptions.Slowdown = slowEngineFactor
		}
		f.engines = append(f.engines, &engine{
			Engine: enginemodel.New(f.loop, f.loading, engineOptions), dataCentre: dc, slowdown: max(1, engineOptions.Slowdown),
			upstream: roster.Upstream{
				ID: fmt.Sprintf("e%03d", i), Service: service, Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250), DataCentre: dataCentreName(dc),
				Slots: d.Engine.Slots, Born: 1, Model: model, Version: 1,
			},
		})
	}
	for i := range d.VMs {
		dc := i % d.DataCentres
		v := &vm{dataCentre: dc, up: true, name: fmt.Sprintf("v%03d", i), book: capacity.NewBook()}
		v.table = f.newTable(v)
		f.vms = append(f.vms, v)
	}
	f.startExchange()
	return f
}

func dataCentreName(i int) string { return string(rune('a' + i)) }

// newTable returns the roster of a VM that has just started: it knows the list of
// upstreams and the desired version.
func (f *fleet) newTable(v *vm) *roster.Table {
	t := roster.New(roster.Options{
		DataCentre: dataCentreName(v.dataCentre), Policy: f.policy.Policy, Seed: costmodel.Hash(v.name), Observer: v.book, VersionLimits: f.deployment.VersionLimits,
	})
	t.SetCacheTokens(service, f.deployment.Engine.CacheTokens)
	t.SetStore(roster.Upstream{ID: "store", Address: "10.9.9.9:80"})
	t.SetFleetSize(f.deployment.VMs)
	for _, e := range f.engines {
		t.Put(f.loop.Now(), e.upstream)
	}
	t.SetDesired(f.loop.Now(), model, f.desiredVersion)
	return t
}

// partialView reports whether the VMs have only a partial view of the fleet.
func (f *fleet) partialView() bool { return f.deployment.VMs > roster.MaxFullViewVMs }

// startExchange starts the beacons between VMs and the cache events of engines.
func (f *fleet) startExchange() {
	for _, v := range f.vms {
		for _, p := range f.vms {
			if p != v && p.dataCentre == v.dataCentre {
				v.near = append(v.near, p)
			}
			if p.dataCentre != v.dataCentre {
				v.far = append(v.far, p)
			}
		}
		f.loop.After(time.Duration(f.rng.Int64N(int64(beaconInterval))), func() { f.loop.Every(beaconInterval, func() { f.sendBeacon(v) }) })
		f.followStore(v)
		f.followSpeeds(v)
	}
	for _, e := range f.engines {
		f.loop.After(time.Duration(f.rng.Int64N(int64(collectInterval))), func() { f.loop.Every(collectInterval, func() { f.sendCacheEvents(e) }) })
	}
}

// sendBeacon sends one round of beacons of a VM: to all others in a small fleet, to
// some in a large one.
func (f *fleet) sendBeacon(v *vm) {
	if !v.up {
		return
	}
	now := f.loop.Now()
	loads := v.table.OwnLoad()
	newlySent := v.table.DrainSent()
	v.recentlySent = append(v.recentlySent, newlySent[max(0, len(newlySent)-maxSentPerBeacon):])
	targets, rounds := append(append([]*vm(nil), v.near...), v.far...), 1
	if f.partialView() {
		targets = v.roundRobin.Next(v.near, v.far, f.rng.Shuffle)
		rounds = beacon.NearRounds(len(v.near))
	}
	v.recentlySent = v.recentlySent[max(0, len(v.recentlySent)-rounds):]
	var sent []roster.Sent
	for _, r := range v.recentlySent {
		sent = append(sent, r...)
	}
	reports, process := v.book.Reports(now), v.process
	announced, updated, avoided := v.table.Announcements(now), v.table.UpdatedVersions(now), v.table.Avoided(now)
	for _, p := range targets {
		if v.partitioned || p.partitioned || f.rng.Float64() < datagramLoss {
			continue
		}
		f.loop.After(f.networkDelay(v.dataCentre, p.dataCentre), func() {
			if !p.up {
				return
			}
			receivedAt := f.loop.Now()
			p.table.SetPeerState(receivedAt, v.name, roster.PeerState{Loads: loads, Sent: sent, Avoided: avoided})
			p.book.Learn(receivedAt, v.name, process, reports)
			for _, a := range announced {
				p.table.RecordAnnouncement(receivedAt.Add(-time.Duration(a.AgeMS)*time.Millisecond), a.ID, a.Version)
			}
			for _, u := range updated {
				p.table.ObserveVersion(receivedAt, u.ID, u.Born, u.Version)
			}
		})
	}
}

// sendCacheEvents sends the cache events of an engine to all VMs. Only the VMs of
// a small fleet follow them. A small share of the events is lost.
func (f *fleet) sendCacheEvents(e *engine) {
	if !e.Up() || f.partialView() {
		return
	}
	parts := f.receivedParts(e.DrainEvents(), f.deployment.EventLoss)
	for _, v := range f.vms {
		f.loop.After(f.deployment.EventLag+f.networkDelay(v.dataCentre, e.dataCentre), func() {
			if v.up {
				v.table.ReportReachable(f.loop.Now(), e.upstream.ID)
				v.table.SetCached(f.loop.Now(), e.upstream.ID, e.upstream.Born, parts)
			}
		})
	}
}

// receivedParts converts events to the form of the roster and drops the given share
// of them.
func (f *fleet) receivedParts(events []enginemodel.Event, loss float64) []roster.CachedPart {
	var parts []roster.CachedPart
	for _, e := range events {
		if f.rng.Float64() >= loss {
			version, id := splitPartKey(e.ID)
			parts = append(parts, roster.CachedPart{ID: id, Tokens: e.Tokens, Version: version})
		}
	}
	return parts
}

// partKey returns the cache key of a part, which differs between versions of the
// weights.
func partKey(version int64, id string) string { return strconv.FormatInt(version, 10) + "|" + id }

// splitPartKey is the inverse of partKey.
func splitPartKey(key string) (version int64, id string) {
	number, id, _ := strings.Cut(key, "|")
	version, _ = strconv.ParseInt(number, 10, 64) // partKey wrote a number
	return version, id
}

// followStore makes a VM poll the prompt store.
func (f *fleet) followStore(v *vm) {
	interval := collectInterval
	if f.partialView() {
		interval = storePollInterval
	}
	f.loop.Every(interval+time.Duration(f.rng.Int64N(int64(interval)/4)), func() {
		if !v.up {
			return
		}
		if !f.store.Up() {
			v.table.SetStoreUp(false)
			v.storeEpoch = 0
			return
		}
		if v.storeEpoch != f.store.Epoch {
			v.table.SetStoreUp(false)
			v.table.SetStoreUp(true)
			v.storeEpoch = f.store.Epoch
		}
		events, next := f.store.Events(v.nextStoreEvent)
		v.nextStoreEvent = next
		v.table.SetStoreParts(f.loop.Now(), f.receivedParts(events, 0))
	})
}

// networkDelay returns the one-way network delay between two data centres.
func (f *fleet) networkDelay(a, b int) time.Duration {
	if a == b {
		return f.deployment.NearDelay
	}
	return f.deployment.FarDelay
}
