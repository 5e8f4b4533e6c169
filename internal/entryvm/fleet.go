package entryvm

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/metricpage"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	snapshotTimeout = 700 * time.Millisecond
	maxSnapshot     = 16 << 20
	// listEvery is how often the store's list of VMs is read again.
	listEvery    = 15 * time.Second
	expireEvery  = 200 * time.Millisecond
	enterPause   = 500 * time.Millisecond
	maxSuspected = 16
	maxSentTold  = 24
	maxAddresses = 64
	// fleetWatchers is how many VMs watch the store in a sparse fleet; in a
	// smaller one all do.
	fleetWatchers = 4
	// maxFollowers is how many VMs follow an engine or a store of kept prompts,
	// which turn more than 8 to 12 away.
	maxFollowers = 10
	// gatherPeriod is short against the bounds for leaving upstreams.
	gatherPeriod = 400 * time.Millisecond
	// meetPeriod is how long a VM that starts waits for its peers' beacons before
	// it judges the size of the fleet.
	meetPeriod = 1500 * time.Millisecond
	// watcherSilence is how long no watcher's beacon may be heard before a VM
	// watches the store itself.
	watcherSilence = 2500 * time.Millisecond
	// localLeast is how many VMs of a caller's data centre are enough.
	localLeast = 2
)

// compose returns this VM's next beacon.
func (v *VM) compose(now time.Time) beacon.Message {
	m := beacon.Message{
		Name: v.settings.Name, Incarnation: v.incarnation, Address: v.peerAddress(), Control: v.settings.ControlListen,
		Callers: v.settings.CallersListen, DataCentre: v.settings.DataCentre, State: beacon.Starting,
		Revisions: v.changedAt(), Loads: make(map[string][3]int),
		Sent: v.sentLately(), Avoided: v.upstreams.Avoided(now),
		Updated: v.upstreams.UpdatedVersions(now), Desired: v.upstreams.DesiredAges(now),
	}
	switch {
	case v.departed.Load() != 0:
		m.State = beacon.Leaving
	case v.ready():
		m.State = beacon.Serving
	}
	for id, l := range v.upstreams.OwnLoad() {
		m.Loads[id] = [3]int{l.Requests, l.WaitingTokens, l.Tokens}
	}
	m.Watching = v.healthy() && v.watches(now)
	m.LastFence = v.keeper.Fence()
	if v.rollout.Working(now) {
		m.Leading = m.LastFence
		m.Loading = v.rollout.Changing()
	}
	if m.Leading > 0 || v.upstreams.PartialView() {
		// In a small fleet all hear it from the VM that changes engines.
		m.Changing = v.upstreams.Announcements(now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	m.Suspected = v.suspected
	v.suspected = nil
	return m
}

// sentLately returns what has been sent since the last beacon, and what not all
// near VMs have been told yet. Only the beacon's goroutines call it.
func (v *VM) sentLately() []roster.Sent {
	fresh := v.upstreams.DrainSent()
	fresh = fresh[max(0, len(fresh)-maxSentTold):]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sentRounds = append(v.sentRounds, fresh)
	v.sentRounds = v.sentRounds[max(0, len(v.sentRounds)-v.beacon.Rounds()):]
	return slices.Concat(v.sentRounds...)
}

// receive takes a peer's beacon.
func (v *VM) receive(now time.Time, m beacon.Message) {
	loads := make(map[string]roster.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = roster.Load{Requests: l[0], WaitingTokens: l[1], Tokens: l[2]}
	}
	v.upstreams.SetPeerState(now, m.Name, roster.PeerState{Loads: loads, Sent: m.Sent, Avoided: m.Avoided})
	for _, c := range m.Changing {
		// In a large fleet the VM that changes engines is heard now and then only.
		at := now.Add(-milliseconds(int(c.AgeMS)))
		v.upstreams.RecordAnnouncement(at, c.ID, c.Version)
		v.rollout.RecordProgress(at, c.ID)
	}
	for _, u := range m.Updated {
		v.upstreams.ObserveVersion(now, u.ID, u.Born, u.Version)
	}
	v.takeAges(now, m.Desired)
	for _, s := range m.Suspected {
		v.suspects.RecordBroken(now, s.Fingerprint, s.Incarnation)
	}
	if m.Leading > 0 {
		v.rollout.RecordProgress(now, m.Loading...)
		v.mu.Lock()
		if m.Leading > v.leaderFence {
			v.leader, v.leaderFence = m.Name, m.Leading
		}
		v.mu.Unlock()
	}
	own := v.revisions()
	fetch(v, "configurations", m, m.Revisions.Configuration, own.Configuration, v.configurations)
	fetch(v, "upstreams", m, m.Revisions.Upstreams, own.Upstreams, v.upstreamFeed)
	fetch(v, "versions", m, m.Revisions.Versions, own.Versions, v.versions)
}

// takeAges takes another's word on how long versions have been named. Only the
// store's makes a version known here.
func (v *VM) takeAges(now time.Time, ages []roster.DesiredAge) {
	for _, n := range ages {
		if newest, _ := v.upstreams.Desired(n.Model); n.Version <= newest {
			v.upstreams.SetDesired(now.Add(-milliseconds(int(n.AgeMS))), n.Model, n.Version)
		}
	}
}

// recallVersions takes from the lease for how long versions have been named:
// after a loss of all VMs no peer can tell.
func (v *VM) recallVersions(ctx context.Context) {
	for ctx.Err() == nil {
		if v.versions.Revision() == 0 {
			wait.For(ctx, expireEvery)
			continue
		}
		lease, err := v.leases.Read(ctx)
		if errors.Is(err, registry.ErrNotFound) {
			return
		}
		if err != nil {
			wait.For(ctx, enterPause)
			continue
		}
		now := v.opts.Now()
		ages := lease.DesiredAges(now)
		v.takeAges(now, ages)
		v.log.Info().Uint64("fence", lease.Fence).Interface("named", ages).Msg("ages of versions recalled")
		return
	}
}

// fetchGrace is how long this VM's own watch has to bring what a peer knows.
const fetchGrace = 150 * time.Millisecond

// fetch gets a peer's newer state of a collection, unless this VM's own watch
// brings it first.
func fetch[T any](v *VM, collection string, m beacon.Message, theirs, own uint64, f *registry.Follower[T]) {
	if theirs <= own {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fetching[collection] {
		return
	}
	v.fetching[collection] = true
	go func() {
		time.Sleep(fetchGrace)
		if f.Revision() < theirs {
			var page registry.Page[T]
			err := v.fetchPage(m.Control, collection, f.Revision(), &page)
			taken := err == nil && f.Offer(v.opts.Now(), page)
			v.log.Info().Str("collection", collection).Str("peer", m.Name).Uint64("theirs", theirs).
				Uint64("own", own).Bool("taken", taken).AnErr("error", err).Msg("state fetched from a peer")
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.fetching, collection)
	}()
}

func (v *VM) fetchPage(control, collection string, since uint64, page any) error {
	resp, err := v.peerClient.Get("http://" + control + "/v1/collections/" + collection + "?since=" + strconv.FormatUint(since, 10))
	if err != nil {
		return fmt.Errorf("entryvm: fetch %s: %w", collection, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSnapshot)).Decode(page); err != nil {
		return fmt.Errorf("entryvm: fetch %s: %w", collection, err)
	}
	return nil
}

// controlHandler serves the other VMs and operators.
func (v *VM) controlHandler() http.Handler {
	mux := http.NewServeMux()
	serveCollection(mux, "configurations", v.configurations)
	serveCollection(mux, "upstreams", v.upstreamFeed)
	serveCollection(mux, "versions", v.versions)
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.dump(v.opts.Now())) })
	mux.Handle("GET /metrics", metricpage.Handler(v.metrics))
	return mux
}

// serveCollection gives peers what they lack of a collection.
func serveCollection[T any](mux *http.ServeMux, name string, f *registry.Follower[T]) {
	mux.HandleFunc("GET /v1/collections/"+name, func(w http.ResponseWriter, r *http.Request) {
		since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		if err != nil {
			since = 0 // the whole state
		}
		writeJSON(w, f.Snapshot(since))
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the reader may have left
}

// ReportSuspect implements ingress.Fleet.
func (v *VM) ReportSuspect(_ time.Time, fingerprint string, u roster.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.suspected) < maxSuspected {
		v.suspected = append(v.suspected, beacon.Suspicion{Fingerprint: fingerprint, Incarnation: u.Incarnation()})
	}
}

// enter lists this VM in the store and learns of the others.
func (v *VM) enter(ctx context.Context) {
	entered := false
	failing := false
	lost := func(err error, what string) {
		if !failing {
			v.log.Warn().Err(err).Msg(what)
		}
		failing = true
	}
	vms := v.store.VMs()
	for ctx.Err() == nil {
		next := listEvery
		if !entered {
			if err := v.store.PutVM(ctx, v.settings.Name, v.peerAddress()); err != nil {
				lost(err, "VM not entered in the store")
				next = enterPause
			} else {
				entered = true
			}
		}
		page, err := vms.List(ctx)
		if err != nil {
			lost(err, "list of VMs not read")
			next = enterPause
		} else if failing && entered {
			failing = false
			v.log.Info().Msg("VM entered in the store, list of VMs read")
		}
		now := v.opts.Now()
		for _, item := range page.Items {
			if item.Problem == "" && item.Value != v.peerAddress() {
				v.beacon.Add(now, item.Value)
			}
		}
		wait.For(ctx, next)
	}
	if v.departed.Load() != 0 {
		if err := v.store.DeleteVM(context.WithoutCancel(ctx), v.settings.Name); err != nil {
			v.log.Warn().Err(err).Msg("VM's entry not removed")
		}
	}
}

// keepUp drops upstreams whose entries have not come back.
func (v *VM) keepUp(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, expireEvery)
		now := v.opts.Now()
		v.changed(now, v.upstreams.RemoveExpired(now))
		// Those that were lost lately count: a VM that is cut off is still one of a
		// large fleet.
		v.upstreams.SetFleetSize(v.beacon.KnownCount())
		if !v.healthy() {
			v.upstreams.RecordDisruption(now)
		}
	}
}

// find returns the VMs that callers from a data centre should use: those of the
// data centre if there are enough, else all.
func (v *VM) find(now time.Time, dataCentre string) ([]string, time.Duration) {
	var local, all []string
	add := func(address, place string) {
		all = append(all, address)
		if place == dataCentre {
			local = append(local, address)
		}
	}
	if v.ready() {
		add(v.settings.CallersListen, v.settings.DataCentre)
	}
	for _, p := range v.beacon.Alive(now) {
		if p.State == beacon.Serving {
			add(p.Callers, p.DataCentre)
		}
	}
	if len(local) >= localLeast {
		all = local
	}
	return all[:min(maxAddresses, len(all))], milliseconds(v.settings.EntryTTLMS)
}

// turn returns this VM's place among those that may lead a rollout: the last
// leader first, the others by rendezvous hashing.
func (v *VM) turn(now time.Time) int {
	v.mu.Lock()
	leader := v.leader
	if own := v.keeper.Fence(); own > 0 && own >= v.leaderFence {
		leader = v.settings.Name
	}
	v.mu.Unlock()
	names := []string{v.settings.Name}
	for _, p := range v.beacon.Alive(now) {
		if p.State == beacon.Serving {
			names = append(names, p.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if a == leader || b == leader {
			return cmp.Compare(b2i(b == leader), b2i(a == leader))
		}
		return cmp.Compare(xxhash.Sum64String("rollout/"+a), xxhash.Sum64String("rollout/"+b))
	})
	return slices.Index(names, v.settings.Name)
}

// resigned reports whether a VM's own beacon says that it no longer holds the
// lease of a number that it did hold.
func (v *VM) resigned(holder string, incarnation int64, fence uint64) bool {
	for _, p := range v.beacon.Alive(v.opts.Now()) {
		if p.Name == holder {
			return p.Incarnation == incarnation && p.LastFence >= fence && p.Leading == 0 || p.Incarnation > incarnation
		}
	}
	return false
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
