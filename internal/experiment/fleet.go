// Package experiment plays a whole fleet in virtual time: VMs with the roster's
// own decisions and only the knowledge that reaches them, before the engine
// model, under a load pattern. It shows what a policy does before a deployment
// has to.
//
// # Usage
//
//	result, err := experiment.Run(experiment.Options{Deployment: "association", Pattern: "steady", Policy: "ours", Seed: 1})
//
// The same options give the same result.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/virtualtime"
)

const (
	service = "lm"
	model   = "m"

	beaconPeriod = 150 * time.Millisecond
	// restPeriod gathers an engine's events, storeLook is the mean time between
	// two looks of one VM at the store of kept prompts in a large fleet.
	restPeriod = 120 * time.Millisecond
	storeLook  = 2 * time.Second
	// listLag is how long the store's list of upstreams takes to reach VMs.
	listLag     = 400 * time.Millisecond
	maxSentTold = 24
	// slowEngine is how much slower one in three engines is.
	slowEngine = 1.3
	// datagramLoss is the share of beacons that never come.
	datagramLoss = 0.005
	// againWindow is how long after its last use a part's memory is missed.
	againWindow = 10 * time.Second
)

var epoch = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Options choose what is played.
type Options struct {
	Deployment, Pattern, Policy string
	// Weights replaces the policy's weights if it is set.
	Weights *roster.Policy
	Seed    uint64
	// Duration is how long traffic lasts. The default is 30 s.
	Duration time.Duration
}

type fleet struct {
	loop    *virtualtime.Loop
	rng     *rand.Rand
	d       Deployment
	opts    Options
	policy  roster.Policy
	engines []*engine
	vms     []*vm
	store   *enginemodel.Store
	loads   *enginemodel.Loads
	prompts []*prompts
	result  *Result
	// lastUse is when each part, by weights, was last used.
	lastUse map[string]time.Time
	// version is the newest named, at namedAt.
	version int64
	namedAt time.Time
	// load multiplies the rate, hot is the share of the most asked subject.
	load, hot float64
	// impatient callers repeat at once and often.
	impatient bool
	// lateOrders says that half of the orders get no answer.
	lateOrders bool
	ends       time.Time
}

// engine is one engine of the fleet.
type engine struct {
	*enginemodel.Engine
	upstream roster.Upstream
	dc       int
}

// vm is one entry VM.
type vm struct {
	table     *roster.Table
	dc        int
	near, far []*vm
	turns     beacon.RoundRobin[*vm]
	rounds    [][]roster.Sent
	// up says that the VM runs, cut that it hears no other VM.
	up, cut   bool
	storeSeen uint64
	storeNext int
	name      string
}

// Run plays one experiment.
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
		policy = *opts.Weights
	}
	if opts.Duration <= 0 {
		opts.Duration = usualLength
	}
	f := newFleet(d, opts, policy)
	pattern.play(f)
	f.ends = epoch.Add(opts.Duration)
	for i := range f.prompts {
		f.arrive(i)
	}
	f.loop.Run(f.ends.Add(d.longestPatience()))
	for _, e := range f.engines {
		f.result.MovedTokens += e.Moved
	}
	return *f.result, nil
}

// Policies returns the policies by name.
func Policies() map[string]roster.Policy {
	return map[string]roster.Policy{
		"ours": {}, "least-loaded": {Rule: roster.ByLoad}, "hash": {Rule: roster.ByHash},
	}
}

func (d Deployment) longestPatience() time.Duration {
	longest := time.Duration(0)
	for _, c := range d.Classes {
		longest = max(longest, c.Patience)
	}
	return longest
}

func newFleet(d Deployment, opts Options, policy roster.Policy) *fleet {
	f := &fleet{
		loop: virtualtime.New(epoch), rng: rand.New(rand.NewPCG(opts.Seed, 1)), d: d, opts: opts, policy: policy,
		store: enginemodel.NewStore(d.StoreTokens, 16, d.StoreLinkTokensPerMS), loads: &enginemodel.Loads{},
		result:  &Result{Deployment: d.Name, Pattern: opts.Pattern, Policy: opts.Policy, Seed: opts.Seed},
		lastUse: make(map[string]time.Time), version: 1, namedAt: epoch, load: 1,
	}
	for i, c := range d.Classes {
		f.prompts = append(f.prompts, newPrompts(c, rand.New(rand.NewPCG(opts.Seed, uint64(i)+2))))
	}
	for i := range d.Engines {
		dc := i / 3 % d.DataCentres
		speed := d.Engine
		if i%3 == 2 {
			speed.Slower = slowEngine
		}
		f.engines = append(f.engines, &engine{
			Engine: enginemodel.New(f.loop, f.loads, speed), dc: dc,
			upstream: roster.Upstream{
				ID: fmt.Sprintf("e%03d", i), Service: service, Address: fmt.Sprintf("10.9.%d.%d:80", i/250, i%250), DataCentre: dcName(dc),
				Slots: d.Engine.Slots, Born: 1, Model: model, Version: 1,
			},
		})
	}
	for i := range d.VMs {
		dc := i % d.DataCentres
		v := &vm{dc: dc, up: true, name: fmt.Sprintf("v%03d", i)}
		v.table = f.newTable(dc)
		f.vms = append(f.vms, v)
	}
	f.connect()
	return f
}

func dcName(i int) string { return string(rune('a' + i)) }

func (f *fleet) newTable(dc int) *roster.Table {
	t := roster.New(roster.Options{DataCentre: dcName(dc), Policy: f.policy, VersionLimits: f.d.VersionLimits})
	t.SetCacheTokens(service, f.d.Engine.MemoryTokens)
	t.SetStore(roster.Upstream{ID: "store", Address: "10.9.9.9:80"}, f.d.StoreTokens)
	t.SetFleetSize(f.d.VMs)
	for _, e := range f.engines {
		t.Put(f.loop.Now(), e.upstream)
	}
	t.SetDesired(f.loop.Now(), model, f.version)
	return t
}

func (f *fleet) large() bool { return f.d.VMs > roster.MaxFullViewVMs }

// connect sets up who hears whom, and when.
func (f *fleet) connect() {
	for _, v := range f.vms {
		for _, p := range f.vms {
			if p != v && p.dc == v.dc {
				v.near = append(v.near, p)
			}
			if p.dc != v.dc {
				v.far = append(v.far, p)
			}
		}
		f.loop.After(time.Duration(f.rng.Int64N(int64(beaconPeriod))), func() { f.loop.Every(beaconPeriod, func() { f.tell(v) }) })
		f.follow(v)
	}
	for _, e := range f.engines {
		f.loop.After(time.Duration(f.rng.Int64N(int64(restPeriod))), func() { f.loop.Every(restPeriod, func() { f.tellKept(e) }) })
	}
}

// tell sends one beacon.
func (f *fleet) tell(v *vm) {
	if !v.up {
		return
	}
	now := f.loop.Now()
	loads := v.table.OwnLoad()
	fresh := v.table.DrainSent()
	v.rounds = append(v.rounds, fresh[max(0, len(fresh)-maxSentTold):])
	targets, rounds := append(append([]*vm(nil), v.near...), v.far...), 1
	if f.large() {
		targets = v.turns.Next(v.near, v.far, f.rng.Shuffle)
		rounds = beacon.NearRounds(len(v.near))
	}
	v.rounds = v.rounds[max(0, len(v.rounds)-rounds):]
	var sent []roster.Sent
	for _, r := range v.rounds {
		sent = append(sent, r...)
	}
	announced, updated, avoided := v.table.Announcements(now), v.table.UpdatedVersions(now), v.table.Avoided(now)
	for _, p := range targets {
		if v.cut || p.cut || f.rng.Float64() < datagramLoss {
			continue
		}
		f.loop.After(f.delay(v.dc, p.dc), func() {
			if !p.up {
				return
			}
			heard := f.loop.Now()
			p.table.SetPeerState(heard, v.name, roster.PeerState{Loads: loads, Sent: sent, Avoided: avoided})
			for _, a := range announced {
				p.table.RecordAnnouncement(heard.Add(-time.Duration(a.AgeMS)*time.Millisecond), a.ID, a.Version)
			}
			for _, u := range updated {
				p.table.ObserveVersion(heard, u.ID, u.Born, u.Version)
			}
		})
	}
}

// tellKept delivers an engine's events, which only VMs of a small fleet follow.
// A few get lost.
func (f *fleet) tellKept(e *engine) {
	if !e.Up() || f.large() {
		return
	}
	parts := f.heard(e.TakeEvents(), f.d.EventLoss)
	for _, v := range f.vms {
		f.loop.After(f.d.EventLag+f.delay(v.dc, e.dc), func() {
			if v.up {
				v.table.ReportReachable(f.loop.Now(), e.upstream.ID)
				v.table.SetCached(f.loop.Now(), e.upstream.ID, e.upstream.Born, parts)
			}
		})
	}
}

// heard returns events as VMs read them, without those that get lost.
func (f *fleet) heard(events []enginemodel.Event, loss float64) []roster.CachedPart {
	var parts []roster.CachedPart
	for _, e := range events {
		if f.rng.Float64() >= loss {
			version, id := splitName(e.ID)
			parts = append(parts, roster.CachedPart{ID: id, Tokens: e.Tokens, Version: version})
		}
	}
	return parts
}

// partName names a part in memory: engines keep those of each version apart.
func partName(version int64, id string) string { return strconv.FormatInt(version, 10) + "|" + id }

func splitName(name string) (version int64, id string) {
	number, id, _ := strings.Cut(name, "|")
	version, _ = strconv.ParseInt(number, 10, 64) // as partName wrote it
	return version, id
}

// follow keeps a VM up to date with the store of kept prompts.
func (f *fleet) follow(v *vm) {
	every := restPeriod
	if f.large() {
		every = storeLook
	}
	f.loop.Every(every+time.Duration(f.rng.Int64N(int64(every)/4)), func() {
		if !v.up {
			return
		}
		if !f.store.Up() {
			v.table.SetStoreUp(false)
			v.storeSeen = 0
			return
		}
		if v.storeSeen != f.store.Epoch {
			v.table.SetStoreUp(false)
			v.table.SetStoreUp(true)
			v.storeSeen = f.store.Epoch
		}
		events, next := f.store.Events(v.storeNext)
		v.storeNext = next
		v.table.SetStoreParts(f.loop.Now(), f.heard(events, 0))
	})
}

func (f *fleet) delay(a, b int) time.Duration {
	if a == b {
		return f.d.NearDelay
	}
	return f.d.FarDelay
}
