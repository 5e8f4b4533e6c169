// Package entryvm assembles one entry VM on the users' platform. The VM routes
// callers' requests to upstreams, tells callers which VMs to use, follows the
// platform's store and exchanges beacons with the other VMs. One VM at a time
// holds the rollout lease and brings engines to the desired version. A process that
// serves the router's own API runs package node instead.
//
// # Usage
//
//	vm, err := entryvm.New(settings, entryvm.Options{Now: time.Now, Boot: boot, Log: log})
//	if err != nil {
//		return err
//	}
//	return vm.Run(ctx) // until ctx ends, then a graceful stop
//
// A VM is safe for concurrent use.
package entryvm

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kratos/kratos/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/cacheevents"
	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/clientlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/pageserver"
	"github.com/hibiscuscove/hibiscuscove/internal/pause"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/retry"
	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

const (
	// memoryShare is the fraction of the VM's memory used as the Go memory limit.
	// The rest is for the program itself and for socket buffers with received, unread
	// bytes.
	memoryShare = 0.375
	mebibyte    = 1 << 20
	// maxResponseBytes limits a response that is buffered whole, and all large ones
	// together.
	maxResponseBytes = 8 * mebibyte
	// gcPercent saves processor time at the cost of memory, which the memory
	// limit restricts.
	gcPercent = 200
	// histogramSamples is the number of values in a histogram's sample.
	histogramSamples = 1028
	// versionMargin is how long a request may wait at an engine before it starts.
	// It is subtracted from the limits on old weights.
	versionMargin = 1500 * time.Millisecond
)

// Options sets up a VM. Now and Boot are required.
type Options struct {
	Now func() time.Time
	// Boot returns the time since the machine booted, including time in which it
	// was suspended.
	Boot func() time.Duration
	// Log defaults to no logging.
	Log zerolog.Logger
	// DialUpstream, if it is set, opens the connections to upstreams in place of the network.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
}

// VM is one entry VM. It is created by New and runs once.
type VM struct {
	settings    Settings
	opts        Options
	log         zerolog.Logger
	incarnation int64
	startedAt   time.Time

	store                 *platform.Store
	dialer                *exchange.Dialer
	configuration         *routing.Holder
	configurationFollower *registry.Follower[routing.Document]
	upstreams             *roster.Table
	upstreamFollower      *registry.Follower[roster.Upstream]
	versionFollower       *registry.Follower[platform.DesiredVersion]
	pauses                *pause.Detector
	crashTracker          *suspect.Tracker
	limits                *permit.Agent
	quotas                *permit.Quotas
	dispatch              dispatching
	streams               *lineage.Agent
	drains                *health.Drains
	backoffs              *health.Backoffs
	ejections             *health.Ejections
	brittle               *health.Brittle
	capacity              *capacity.Book
	watchers              *watchers.Tracker
	leaders               *leader.Tracker
	paths                 *relay.Paths
	connector             *relay.Connector
	relayServer           *relay.Server
	leaseStore            platform.LeaseStore
	elector               *rollout.Elector
	rollout               *rollout.Rollout
	cacheFollower         *cacheevents.Follower
	beacon                *beacon.Beacon
	packetConn            net.PacketConn
	direct                map[string]directHandler
	clients               *clientlimit.Limits
	pageClient            *pageserver.Client
	downloads             *downloads
	lags                  struct{ configurations, upstreams, versions lag }
	permitClient          *http.Client
	streamsClient         *http.Client
	metrics               metrics.Registry
	handler               *ingress.Handler
	app                   *kratos.App
	// activeRequests is the number of callers' requests in progress.
	activeRequests atomic.Int64
	// drainStarted is when the VM began to stop, in Unix nanoseconds, or 0.
	drainStarted atomic.Int64

	// capacityAt is when the figures of upstreams were last updated, and capacityShown holds
	// the incarnations whose figures are on the metrics page. Only maintainUpstreams uses
	// them.
	capacityAt    time.Time
	capacityShown map[string]bool
	// upstreamsListed reports whether the upstreams have been listed once, and
	// upstreamsEra is the store's era of the last list. Only the upstream sink uses
	// them.
	upstreamsListed bool
	upstreamsEra    uint64

	mu sync.Mutex
	// suspicions holds the suspicions for the next beacon.
	suspicions []beacon.Suspicion
	// sentByBeacon holds the prompts sent to upstreams that the last beacons
	// announced, with one element per beacon.
	sentByBeacon [][]roster.Sent
}

// New returns a VM with its addresses open. It also sets the garbage collector's
// target and memory limit for the process.
func New(s Settings, opts Options) (*VM, error) {
	v := &VM{
		settings:      s,
		opts:          opts,
		log:           opts.Log.With().Str("vm", s.Name).Logger(),
		incarnation:   opts.Now().UnixMilli(),
		startedAt:     opts.Now(),
		configuration: &routing.Holder{},
		pauses:        pause.NewDetector(opts.Now(), opts.Boot),
		crashTracker:  suspect.NewTracker(),
		drains:        health.NewDrains(milliseconds(s.DrainMS) - drainNoticeMargin),
		backoffs:      health.NewBackoffs(s.Name),
		ejections:     health.NewEjections(s.Name),
		capacity:      capacity.NewBook(),
		paths:         relay.NewPaths(),
		metrics:       metrics.NewRegistry(),
		pageClient:    newPageClient(newPeerClient()),
		downloads:     newDownloads(),
		dialer:        exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: milliseconds(s.ConnectTimeoutMS), Dial: opts.DialUpstream}),
	}
	v.watchers = watchers.New(watchers.Options{Name: s.Name, Incarnation: v.incarnation, LinkMbps: int(s.LinkMbps), StartedAt: v.startedAt})
	v.leaders = leader.NewTracker(s.Name)
	v.store = platform.NewStore(s.StoreAddress, v.metrics)
	v.store.SetLog(v.log)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * mebibyte * float64(s.MemoryMB)))
	limits := roster.VersionLimits{MaxSpan: milliseconds(s.VersionMS) - versionMargin, MaxTotal: milliseconds(s.VersionTotalMS) - versionMargin}
	policy := costmodel.Policy{
		Rule: costmodel.Rule(s.PickRule), PrefillTokensPerMS: s.PrefillTokensPerMS, DistanceMS: s.DistanceMS, SharedWeight: s.SharedWeight,
	}
	v.upstreams = roster.New(roster.Options{DataCentre: s.DataCentre, Seed: xxhash.Sum64String(s.Name), Observer: v.capacity, VersionLimits: limits, Policy: policy})
	v.upstreams.ExpectDesired(v.versionsSettledAt())
	v.brittle = health.NewBrittle(s.Name, v.peerNames)
	v.clients = clientlimit.New(clientlimit.Options{MemoryMB: s.MemoryMB, Metrics: v.metrics, Log: v.log})
	if err := v.buildBeacon(); err != nil {
		return nil, err
	}
	v.buildFollowers()
	v.buildRollout()
	v.buildLimits()
	v.buildQuotas()
	v.buildDispatch(policy)
	v.buildStreams()
	v.buildRelay()
	events := platform.NewCacheEvents()
	events.Leaving = v.recordLeaving
	v.cacheFollower = cacheevents.New(cacheevents.Options{
		Source: events, Upstreams: v.upstreams, Now: v.opts.Now, FollowShare: v.followShare, Log: v.log,
	})
	v.direct = v.directHandlers()
	return v, v.buildServers()
}

func (v *VM) buildFollowers() {
	v.configurationFollower = registry.NewFollower(registry.Options[routing.Document]{
		Name: "configurations", Feed: v.store.Configurations(), Sink: configurationSink{v}, MaxSilence: v.maxStoreSilence, Now: v.opts.Now, Log: v.log,
		ShouldWatch: v.shouldWatchFor("configurations", &v.lags.configurations, func() registry.Position { return v.configurationFollower.Position() }),
	})
	v.upstreamFollower = registry.NewFollower(registry.Options[roster.Upstream]{
		Name: "upstreams", Feed: v.store.Upstreams(), Sink: upstreamSink{v}, MaxSilence: v.maxStoreSilence, CollectInterval: v.upstreamCollectInterval, Now: v.opts.Now, Log: v.log,
		ShouldWatch: v.shouldWatchFor("upstreams", &v.lags.upstreams, func() registry.Position { return v.upstreamFollower.Position() }),
	})
	v.versionFollower = registry.NewFollower(registry.Options[platform.DesiredVersion]{
		Name: "versions", Feed: v.store.Versions(), Sink: versionSink{v}, Dated: true, Now: v.opts.Now, Log: v.log,
		ShouldWatch: v.shouldWatchFor("versions", &v.lags.versions, func() registry.Position { return v.versionFollower.Position() }),
	})
}

func (v *VM) peerAddress() string {
	return net.JoinHostPort(v.settings.IP, strconv.Itoa(v.settings.PeerPort))
}

func (v *VM) buildBeacon() error {
	conn, err := net.ListenPacket("udp", v.peerAddress())
	if err != nil {
		return fmt.Errorf("entryvm: %w", err)
	}
	v.packetConn = conn
	v.beacon = beacon.New(beacon.Options{
		Name: v.settings.Name, Conn: conn, Now: v.opts.Now, Compose: v.composeBeacon, Receive: v.handleBeacon,
		ReceiveStreams: v.receiveStreams, Serve: v.serveDirect, Reject: v.rejectDatagram, Log: v.log,
		Cut: func(entries int) {
			metrics.GetOrRegisterCounter("beacon_entries_cut", v.metrics).Inc(int64(entries))
		},
	})
	v.addSeeds(v.settings)
	return nil
}

// addSeeds adds the seed VMs of the settings to the beacon's targets. Seeds are
// control addresses; the port for beacons is the same on all VMs.
func (v *VM) addSeeds(s Settings) {
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			v.beacon.Add(v.opts.Now(), netip.AddrPortFrom(at.Addr(), uint16(s.PeerPort)).String())
		}
	}
}

func (v *VM) buildRollout() {
	clock := rollout.Clock{Now: v.opts.Now, Boot: v.opts.Boot}
	v.leaseStore = platform.LeaseStore{Store: v.store, Name: "rollout"}
	v.elector = rollout.NewElector(rollout.ElectorOptions{
		Store:         v.leaseStore,
		Clock:         clock,
		Holder:        v.settings.Name,
		Incarnation:   v.incarnation,
		HandoverDelay: milliseconds(v.settings.LeaseMS),
		SteppedDown:   v.steppedDown,
		DesiredAges:   v.upstreams.DesiredAges,
		Targets:       func(now time.Time) []string { return v.rollout.Targets(now) },
		LastRenewal:   v.leaders.LastRenewal,
		OnRead: func(now time.Time, l rollout.Lease) {
			v.leaders.RecordLeading(now, leader.Leading{Name: l.Holder, Fence: l.Fence, Renewal: l.Renewal})
		},
		Log: v.log,
	})
	v.rollout = rollout.New(rollout.Options{
		Elector: v.elector, Engines: platform.Engines{Dialer: v.dialer, Leaving: v.recordLeaving}, Upstreams: v.upstreams,
		Clock: clock, Holder: v.settings.Name, Rank: v.rank, LeaderLost: v.leaders.Lost, CutOff: v.cutOffFromEngines, Log: v.log,
		OnChanged: func(took time.Duration) {
			metrics.GetOrRegisterHistogram("engine_change_ms", v.metrics, metrics.NewUniformSample(histogramSamples)).Update(took.Milliseconds())
		},
	})
}

func (v *VM) buildServers() error {
	retryBudget := retry.NewBudget(retry.BudgetOptions{
		Ratio: v.settings.RetryRatio, Slack: v.settings.RetrySlack, Window: milliseconds(v.settings.RetryWindowMS), VMs: v.beacon.KnownCount, Start: v.opts.Now(),
	})
	v.handler = ingress.NewHandler(ingress.Options{
		Now:           v.opts.Now,
		Codec:         platform.Codec{},
		Configuration: v.configuration,
		Upstreams:     v.upstreams,
		Connect:       v.connector.Connect,
		Bodies:        readlimit.NewPool(maxResponseBytes),
		Callers:       v.clients.Account,
		RetryBudget:   retryBudget,
		CrashTracker:  v.crashTracker,
		Limits:        v.limits,
		Quotas:        v.quotas,
		Drains:        v.drains,
		Backoffs:      v.backoffs,
		Ejections:     v.ejections,
		Brittle:       v.brittle,
		Dispatch:      v.dispatch.agent,
		DataCentre:    v.settings.DataCentre,
		Fleet:         v,
		Streams:       countedStreams{v},
		Metrics:       v.metrics,
		Log:           v.log,
		Stage:         v.stage,
	})
	kratosServers, err := v.listenAll()
	if err != nil {
		return err
	}
	v.app = kratos.New(kratos.Name("hibiscuscove"), kratos.ID(v.settings.Name), kratos.Signal(noSignal{}),
		kratos.StopTimeout(closeTimeout), kratos.Server(kratosServers...))
	return nil
}

// serverErrors counts and logs what a server of net/http reports: failed accepts, and
// panics outside ingress.Handler.
type serverErrors struct {
	vm      *VM
	address string
}

// Write implements io.Writer.
func (e serverErrors) Write(p []byte) (int, error) {
	metrics.GetOrRegisterCounter("server_errors", e.vm.metrics).Inc(1)
	e.vm.log.Warn().Str("address", e.address).Str("error", strings.TrimSpace(string(p))).Msg("HTTP server error")
	return len(p), nil
}

// noSignal is a signal that is never delivered. The process handles signals and
// cancels Run's context, so kratos must not catch any.
type noSignal struct{}

// Signal implements os.Signal.
func (noSignal) Signal() {}

// String implements os.Signal.
func (noSignal) String() string { return "none" }

// countRequests wraps a handler to count the requests in progress.
func (v *VM) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.activeRequests.Add(1)
		defer v.activeRequests.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then stops gracefully: it returns when the open
// requests have ended, or just before the platform kills the VM.
func (v *VM) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){
		v.configurationFollower.Run, v.upstreamFollower.Run, v.versionFollower.Run, v.beacon.Run, v.rollout.Run, v.cacheFollower.Run, v.register, v.maintainUpstreams, v.probeLostLinks, v.restoreSuspects, v.storeSuspects, v.logSummaries, v.limits.Run, v.quotas.Run, v.updateQuotaGauges, v.streams.Run, v.maintainDispatch,
	} {
		wg.Go(func() { task(taskCtx) })
	}
	wg.Go(func() {
		select {
		case <-ctx.Done():
			v.drain()
			stop()
			_ = v.app.Stop() // app.Run returns the same error
		case <-taskCtx.Done():
		}
	})
	v.log.Info().Str("settings", v.settings.String()).Int64("incarnation", v.incarnation).Msg("VM starts")
	err := v.app.Run()
	stop()
	wg.Wait()
	_ = v.packetConn.Close()
	v.log.Info().Msg("VM stopped")
	if err != nil {
		return fmt.Errorf("entryvm: run: %w", err)
	}
	return nil
}

// ready reports whether callers may be directed to this VM: it has a
// configuration and the list of upstreams, and is not stopping.
func (v *VM) ready() bool {
	return v.drainStarted.Load() == 0 && v.configuration.Current() != nil && v.upstreamFollower.Revision() > 0
}
