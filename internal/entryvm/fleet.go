package entryvm

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
	"github.com/hibiscuscove/hibiscuscove/internal/metricpage"
	"github.com/hibiscuscove/hibiscuscove/internal/pageserver"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// pagesLinkShare is the share of the VM's link that states sent to peers may take.
	pagesLinkShare = 0.5
	bytesPerMbit   = 1e6 / 8
	// listInterval is the interval between two reads of the store's list of VMs.
	listInterval     = 15 * time.Second
	expireInterval   = 200 * time.Millisecond
	registerBackoff  = 500 * time.Millisecond
	maxSuspicions    = 16
	maxSentPerBeacon = 24
	maxAddresses     = 64
	// targetFollowers is the average number of VMs that follow the cache events of an
	// engine or of the prompt store. Both reject followers beyond 8 to 12.
	targetFollowers = 10
	// largeFleetCollectInterval is how long a VM of a large fleet collects changes of
	// upstreams between two watches. It is short compared with the time after which a
	// leaving upstream must get no more requests.
	largeFleetCollectInterval = 400 * time.Millisecond
	// minLocalVMs is the minimum number of serving VMs in a caller's data centre for
	// the caller to get only addresses of that data centre.
	minLocalVMs = 2
	// minConnectedPart is the inverse of the least part of the VMs that may have to serve
	// all callers.
	minConnectedPart = 3
)

// composeBeacon returns this VM's next beacon. The beacon package fills in
// Sequence and Peers.
func (v *VM) composeBeacon(now time.Time) beacon.Message {
	v.recordPause(now)
	ages := v.upstreams.DesiredAges(now)
	m := beacon.Message{
		Name: v.settings.Name, Incarnation: v.incarnation, Address: v.peerAddress(), Control: v.settings.ControlListen,
		Callers: v.settings.CallersListen, DataCentre: v.settings.DataCentre, State: beacon.Starting,
		Revisions: v.lastChangeRevisions(), Loads: make(map[string][3]int),
		Sent: v.recentlySent(), Avoided: v.upstreams.Avoided(now),
		Updated: v.upstreams.UpdatedVersions(now), Desired: ages.List, DesiredUncertain: ages.Uncertain, SuspectReports: v.crashTracker.Reports(now),
		Limits: v.limits.Reports(now), IssuesPermits: v.issuesPermits(now), IssuesQuotas: v.issuesQuotas(now),
		UpstreamsLeaving: v.drains.Reports(now), LinkMbps: int(v.settings.LinkMbps), Ejections: v.ejections.Reports(now), CutOff: v.paths.CutOff(),
		Dispatches: v.dispatches(now),
		Capacity:   v.capacity.Reports(now),
	}
	switch {
	case v.drainStarted.Load() != 0:
		m.State = beacon.Leaving
	case v.ready():
		m.State = beacon.Serving
	}
	for id, l := range v.upstreams.OwnLoad() {
		m.Loads[id] = [3]int{l.Requests, l.WaitingTokens, l.Tokens}
	}
	m.Watching = v.storeHealthy() && v.shouldWatch(now) && v.drainStarted.Load() == 0
	m.Watchers = v.watcherReports(now, m.Watching)
	if c := v.retained(); c != nil {
		m.Retained = c.Version()
	}
	m.LastFence = v.elector.Fence()
	if fence, renewal := v.elector.Held(now); fence > 0 {
		m.Leading = fence
		m.Loading = v.rollout.Changing()
		v.leaders.RecordLeading(now, leader.Leading{Name: m.Name, Fence: fence, Renewal: renewal})
	} else if m.LastFence > 0 {
		v.leaders.RecordLetGo(now, leader.LetGo{Holder: m.Name, Incarnation: m.Incarnation, Fence: m.LastFence, Lost: v.elector.Lost()})
	}
	m.LetGo, m.Leader = v.leaders.LetGo(now), v.leaders.Leading(now)
	if m.Leading > 0 || v.upstreams.PartialView() {
		// In a small fleet every VM receives this directly from the VM that changes
		// the engines.
		m.Changing = v.upstreams.Announcements(now)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	m.Suspected = v.suspicions
	v.suspicions = nil
	return m
}

// recentlySent returns the prompts sent to upstreams since the last beacon,
// together with those of earlier beacons that not all VMs of this data centre
// have received yet. Only the beacon's goroutines call it.
func (v *VM) recentlySent() []roster.Sent {
	newlySent := v.upstreams.DrainSent()
	newlySent = newlySent[max(0, len(newlySent)-maxSentPerBeacon):]
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sentByBeacon = append(v.sentByBeacon, newlySent)
	v.sentByBeacon = v.sentByBeacon[max(0, len(v.sentByBeacon)-v.beacon.Rounds()):]
	return slices.Concat(v.sentByBeacon...)
}

// handleBeacon applies a peer's beacon to this VM's state.
func (v *VM) handleBeacon(now time.Time, m beacon.Message) {
	loads := make(map[string]roster.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = roster.Load{Requests: l[0], WaitingTokens: l[1], Tokens: l[2]}
	}
	v.upstreams.SetPeerState(now, m.Name, roster.PeerState{Loads: loads, Sent: m.Sent, Avoided: m.Avoided})
	for _, c := range m.Changing {
		// In a large fleet beacons of the VM that changes the engines arrive only
		// now and then, so other VMs pass on its announcements with their age.
		at := now.Add(-milliseconds(int(c.AgeMS)))
		v.upstreams.RecordAnnouncement(at, c.ID, c.Version)
		v.rollout.RecordProgress(at, c.ID)
	}
	for _, u := range m.Updated {
		v.upstreams.ObserveVersion(now, u.ID, u.Born, u.Version)
	}
	v.learnWatchers(now, m)
	v.learnLimits(now, m)
	v.learnDrains(now, m)
	v.learnEjections(now, m)
	v.learnCapacity(now, m)
	v.recordPause(now)
	v.upstreams.MergeDesired(now, roster.DesiredAges{List: m.Desired, Uncertain: m.DesiredUncertain})
	for _, s := range m.Suspected {
		metrics.GetOrRegisterCounter("suspicions.received", v.metrics).Inc(1)
		v.log.Debug().Str("peer", m.Name).Str("fingerprint", s.Fingerprint).Str("incarnation", s.Incarnation).Msg("suspicion received")
		v.crashTracker.RecordBroken(now, s.Fingerprint, s.Incarnation)
	}
	for _, r := range m.SuspectReports {
		v.mergeSuspect(now, m.Name, r)
	}
	if m.Leading > 0 {
		v.rollout.RecordProgress(now, m.Loading...)
		v.leaders.RecordLeading(now, leader.Leading{Name: m.Name, Fence: m.Leading})
	}
	if m.Leader != nil {
		v.leaders.RecordLeading(now, *m.Leader)
	}
	if m.LetGo != nil {
		v.leaders.RecordLetGo(now, *m.LetGo)
	}
	v.fetchRetained(m)
	configuration, upstreams, versions := m.Revisions.Positions()
	fetchFromPeer(v, "configurations", m, configuration, v.configurationFollower, &v.lags.configurations)
	fetchFromPeer(v, "upstreams", m, upstreams, v.upstreamFollower, &v.lags.upstreams)
	fetchFromPeer(v, "versions", m, versions, v.versionFollower, &v.lags.versions)
}

// controlHandler returns the handler of the control address, which other VMs and
// operators use.
func (v *VM) controlHandler() http.Handler {
	mux := http.NewServeMux()
	pages := pageserver.New(pageserver.Options{Now: v.opts.Now, BytesPerS: v.settings.LinkMbps * bytesPerMbit * pagesLinkShare, Metrics: v.metrics})
	serveCollection(mux, pages, "configurations", v.configurationFollower)
	serveCollection(mux, pages, "upstreams", v.upstreamFollower)
	serveCollection(mux, pages, "versions", v.versionFollower)
	retainedPages := pages.Pages(retainedCollection)
	mux.HandleFunc("GET /v1/collections/"+retainedCollection, func(w http.ResponseWriter, r *http.Request) {
		retainedPages.Serve(w, r, v.retainedPage)
	})
	mux.HandleFunc("GET "+relay.Path, v.serveRelay)
	mux.HandleFunc("POST "+permitsPath, v.servePermits)
	mux.HandleFunc("POST "+streamsPath, v.serveStreams)
	mux.HandleFunc("GET /v1/dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, v.dump(v.opts.Now())) })
	mux.Handle("GET /metrics", metricpage.Handler(v.metrics))
	return mux
}

// serveCollection registers an endpoint that returns the changes of a collection
// after the position in the query parameters "since" and "era". An older build sends
// no era and knows no eras: it gets changes, as it expects, as long as the store has
// not come back from a copy since this VM started.
func serveCollection[T any](mux *http.ServeMux, server *pageserver.Server, name string, f *registry.Follower[T]) {
	pages := server.Pages(name)
	mux.HandleFunc("GET /v1/collections/"+name, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		since, sinceErr := strconv.ParseUint(query.Get("since"), 10, 64)
		era, eraErr := strconv.ParseUint(query.Get("era"), 10, 64)
		if !query.Has("era") && f.FirstEra() == f.Position().Era {
			era, eraErr = f.FirstEra(), nil
		}
		if sinceErr != nil || eraErr != nil {
			since = 0 // return the whole state
		}
		pages.Serve(w, r, func() (pageserver.Key, any) {
			page := f.Snapshot(registry.Position{Era: era, Revision: since})
			return pageserver.Key{Era: page.Era, Revision: page.Revision, Since: page.Since}, page
		})
	})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails if the client has disconnected
}

// ReportSuspect implements ingress.Fleet. The next beacon carries the suspicion.
func (v *VM) ReportSuspect(_ time.Time, fingerprint string, u roster.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.suspicions) >= maxSuspicions {
		metrics.GetOrRegisterCounter("suspicions.dropped", v.metrics).Inc(1)
		return
	}
	v.suspicions = append(v.suspicions, beacon.Suspicion{Fingerprint: fingerprint, Incarnation: u.Incarnation()})
}

// register registers this VM in the store, retrying until that works, and adds the
// VMs that the store lists to the beacon's targets. When the VM has stopped
// serving, it deletes the registration.
func (v *VM) register(ctx context.Context) {
	registered, failing := false, false
	registeredEra := uint64(0)
	logFailure := func(err error, message string) {
		if !failing {
			v.log.Warn().Err(err).Msg(message)
		}
		failing = true
	}
	vms := v.store.VMs()
	for ctx.Err() == nil {
		delay := listInterval
		if era := v.store.Era(); !registered || era != registeredEra {
			// A copy may lack the registration. VMs notice at different times.
			registered, registeredEra = false, era
			if err := v.store.PutVM(ctx, v.settings.Name, v.peerAddress()); err != nil {
				logFailure(err, "VM not registered in the store")
				delay = registerBackoff
			} else {
				registered = true
			}
		}
		page, err := vms.List(ctx)
		if err != nil {
			logFailure(err, "list of VMs not read")
			delay = registerBackoff
		} else if failing && registered {
			failing = false
			v.log.Info().Msg("VM registered in the store, list of VMs read")
		}
		now := v.opts.Now()
		for _, item := range page.Items {
			if item.Problem == "" && item.Value != v.peerAddress() {
				v.beacon.Add(now, item.Value)
			}
		}
		wait.For(ctx, delay)
	}
	if v.drainStarted.Load() != 0 {
		if err := v.store.DeleteVM(context.WithoutCancel(ctx), v.settings.Name); err != nil {
			v.log.Warn().Err(err).Msg("VM's registration not deleted from the store")
		}
	}
}

// maintainUpstreams periodically removes upstreams whose entries expired during an
// outage of the store and have not come back. It also updates the roster's fleet
// size, and records a disruption while the store does not respond.
func (v *VM) maintainUpstreams(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, expireInterval)
		now := v.opts.Now()
		v.recordPause(now)
		v.recordUpstreamChanges(now, v.upstreams.RemoveExpired(now))
		v.maintainLimits(now)
		v.maintainAvailability(now)
		v.maintainCapacity(now)
		v.updateBuilds(now)
		// VMs that have recently fallen silent are counted too: a VM that is cut off
		// from the others still belongs to a large fleet.
		v.upstreams.SetFleetSize(v.beacon.KnownCount())
		for _, outage := range []func() (time.Time, bool){v.configurationFollower.Outage, v.upstreamFollower.Outage, v.versionFollower.Outage} {
			if since, found := outage(); found {
				v.upstreams.RecordDisruption(since, now)
			}
		}
	}
}

// recordPause records that this VM runs, and corrects the ages of desired versions if it
// was suspended.
func (v *VM) recordPause(now time.Time) {
	if suspended := v.pauses.Beat(now); suspended > 0 {
		v.upstreams.AddDesiredAge(suspended)
		v.log.Warn().Dur("suspended", suspended).Msg("VM was suspended")
	}
}

// findVMs returns the addresses of VMs that callers from a data centre should use,
// and how long callers may cache them: those of that data centre if there are at least
// minLocalVMs, else all. VMs that reach upstreams only through others are left out unless
// too few remain.
func (v *VM) findVMs(now time.Time, dataCentre string) ([]string, time.Duration) {
	var candidates []Candidate
	if v.ready() {
		candidates = append(candidates, Candidate{v.settings.CallersListen, v.settings.DataCentre, v.paths.CutOff()})
	}
	for _, p := range v.beacon.Alive(now) {
		if p.State == beacon.Serving {
			candidates = append(candidates, Candidate{p.Callers, p.DataCentre, p.CutOff})
		}
	}
	list := SelectVMs(candidates, dataCentre)
	return list[:min(maxAddresses, len(list))], milliseconds(v.settings.EntryTTLMS)
}

// Candidate is a serving VM that callers may use.
type Candidate struct {
	Callers, DataCentre string
	// CutOff is set if it reaches upstreams only through other VMs.
	CutOff bool
}

// SelectVMs returns the addresses for callers of the VMs that those in a data centre
// should use. VMs that are cut off still serve, so that the others are named alone only if
// they are at least a third of all.
func SelectVMs(candidates []Candidate, dataCentre string) []string {
	var connected []Candidate
	for _, c := range candidates {
		if !c.CutOff {
			connected = append(connected, c)
		}
	}
	if len(connected) >= minLocalVMs && minConnectedPart*len(connected) >= len(candidates) {
		candidates = connected
	}
	var local, all []string
	for _, c := range candidates {
		all = append(all, c.Callers)
		if c.DataCentre == dataCentre {
			local = append(local, c.Callers)
		}
	}
	if len(local) >= minLocalVMs {
		return local
	}
	return all
}

// rank returns this VM's rank in the order in which VMs try to take the rollout lease.
func (v *VM) rank(now time.Time) int {
	var serving []string
	for _, p := range v.beacon.Alive(now) {
		if p.State == beacon.Serving {
			serving = append(serving, p.Name)
		}
	}
	return v.leaders.Rank(v.elector.Fence(), serving)
}

// steppedDown reports whether a VM is known to have let go of the lease with this fence, or
// to have restarted since.
func (v *VM) steppedDown(holder string, incarnation int64, fence uint64) bool {
	if v.leaders.SteppedDown(holder, incarnation, fence) {
		return true
	}
	for _, p := range v.beacon.Alive(v.opts.Now()) {
		if p.Name == holder {
			return p.Incarnation == incarnation && p.LastFence >= fence && p.Leading == 0 || p.Incarnation > incarnation
		}
	}
	return false
}
