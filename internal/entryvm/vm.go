// Package entryvm joins the parts of one entry VM on the users' platform: it
// serves callers, answers those that ask which VM to use, keeps up with the
// platform's store and with the other VMs, and takes its turn at rollouts.
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
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/cachemap"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
	"github.com/hibiscuscove/hibiscuscove/internal/metricpage"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/rollout"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is over any that operators set; callers close first.
	idleTimeout = 2 * time.Minute
	// memoryShare is the part of the VM's memory that the heap may fill. The
	// rest is for bytes received and not yet read.
	memoryShare = 0.6
	mebibyte    = 1 << 20
	// garbagePercent trades memory, which the limit bounds, for processor time.
	garbagePercent = 200
	// sampleSize is how many values a histogram keeps.
	sampleSize = 1028
	// versionMargin is how long a request may wait at an engine before it begins.
	versionMargin = 1500 * time.Millisecond
)

// Options sets up a VM. Now and Boot are required.
type Options struct {
	Now func() time.Time
	// Boot returns the time since the VM's start, with the time that it slept.
	Boot func() time.Duration
	Log  zerolog.Logger
}

// VM is one entry VM.
type VM struct {
	settings    Settings
	opts        Options
	log         zerolog.Logger
	incarnation int64
	started     time.Time

	store          *platform.Store
	dialer         *exchange.Dialer
	configuration  *routing.Holder
	configurations *registry.Follower[routing.Document]
	upstreams      *roster.Table
	upstreamFeed   *registry.Follower[roster.Upstream]
	versions       *registry.Follower[platform.DesiredVersion]
	suspects       *ingress.CrashTracker
	leases         platform.LeaseStore
	keeper         *rollout.Elector
	rollout        *rollout.Rollout
	cachemap       *cachemap.Follower
	beacon         *beacon.Beacon
	packets        net.PacketConn
	peerClient     *http.Client
	metrics        metrics.Registry
	app            *kratos.App
	active         atomic.Int64
	departed       atomic.Int64

	// listed says that the named versions have been listed once. Only their
	// follower uses it.
	listed bool

	mu        sync.Mutex
	suspected []beacon.Suspicion
	// sentRounds are what the last beacons told of prompts sent.
	sentRounds [][]roster.Sent
	fetching   map[string]bool
	// leader is the VM that was last seen to give orders, and under which number.
	leader      string
	leaderFence uint64
}

// New builds a VM and opens its addresses.
func New(s Settings, opts Options) (*VM, error) {
	v := &VM{
		settings:      s,
		opts:          opts,
		log:           opts.Log.With().Str("vm", s.Name).Logger(),
		incarnation:   opts.Now().UnixMilli(),
		started:       opts.Now(),
		configuration: &routing.Holder{},
		suspects:      ingress.NewCrashTracker(),
		metrics:       metrics.NewRegistry(),
		peerClient:    &http.Client{Timeout: snapshotTimeout},
		fetching:      make(map[string]bool),
		dialer:        exchange.NewDialer(exchange.DialerOptions{ConnectTimeout: milliseconds(s.ConnectTimeoutMS)}),
	}
	v.store = platform.NewStore(s.StoreAddress, v.metrics)
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryShare * mebibyte * float64(s.MemoryMB)))
	limits := roster.VersionLimits{MaxSpan: milliseconds(s.VersionMS) - versionMargin, MaxTotal: milliseconds(s.VersionTotalMS) - versionMargin}
	v.upstreams = roster.New(roster.Options{DataCentre: s.DataCentre, VersionLimits: limits, Policy: roster.Policy{
		Rule: roster.Rule(s.PickRule), ReadTokensPerMS: s.ReadTokensPerMS, DistanceMS: s.DistanceMS, SharedWeight: s.SharedWeight,
	}})
	if err := v.buildBeacon(); err != nil {
		return nil, err
	}
	v.buildFollowers()
	v.buildRollout()
	v.cachemap = cachemap.New(cachemap.Options{
		Source: platform.NewCacheEvents(), Upstreams: v.upstreams, Now: v.opts.Now, FollowShare: v.followShare, Log: v.log,
	})
	return v, v.buildServers()
}

func (v *VM) buildFollowers() {
	v.configurations = registry.NewFollower(registry.Options[routing.Document]{
		Name: "configurations", Feed: v.store.Configurations(), Sink: configurationSink{v}, Now: v.opts.Now, ShouldWatch: v.watches, Log: v.log,
	})
	v.upstreamFeed = registry.NewFollower(registry.Options[roster.Upstream]{
		Name: "upstreams", Feed: v.store.Upstreams(), Sink: upstreamSink{v}, CollectInterval: v.upstreamRest, Now: v.opts.Now, ShouldWatch: v.watches, Log: v.log,
	})
	v.versions = registry.NewFollower(registry.Options[platform.DesiredVersion]{
		Name: "versions", Feed: v.store.Versions(), Sink: versionSink{v}, Now: v.opts.Now, ShouldWatch: v.watches, Log: v.log,
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
	v.packets = conn
	v.beacon = beacon.New(beacon.Options{Conn: conn, Now: v.opts.Now, Compose: v.compose, Receive: v.receive, Log: v.log})
	v.addSeeds(v.settings)
	return nil
}

// addSeeds names the VMs of the settings to the beacon. All VMs use the same ports.
func (v *VM) addSeeds(s Settings) {
	for _, seed := range s.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			v.beacon.Add(v.opts.Now(), netip.AddrPortFrom(at.Addr(), uint16(s.PeerPort)).String())
		}
	}
}

func (v *VM) buildRollout() {
	clock := rollout.Clock{Now: v.opts.Now, Boot: v.opts.Boot}
	v.leases = platform.LeaseStore{Store: v.store, Name: "rollout"}
	v.keeper = rollout.NewElector(rollout.ElectorOptions{
		Store:            v.leases,
		Clock:            clock,
		Holder:           v.settings.Name,
		Incarnation:      v.incarnation,
		HandoverDelay:    milliseconds(v.settings.LeaseMS),
		SteppedDown:      v.resigned,
		DesiredAges:      v.upstreams.DesiredAges,
		MergeDesiredAges: v.takeAges,
		Log:              v.log,
	})
	v.rollout = rollout.New(rollout.Options{
		Elector: v.keeper, Engines: platform.Engines{Dialer: v.dialer}, Upstreams: v.upstreams,
		Clock: clock, Holder: v.settings.Name, Rank: v.turn, Log: v.log,
		OnChanged: func(took time.Duration) {
			metrics.GetOrRegisterHistogram("engine_change_ms", v.metrics, metrics.NewUniformSample(sampleSize)).Update(took.Milliseconds())
		},
	})
}

func (v *VM) buildServers() error {
	retries := ingress.NewRetryBudget(ingress.RetryBudgetOptions{
		Ratio: v.settings.RetryRatio, Slack: v.settings.RetrySlack, Window: milliseconds(v.settings.RetryWindowMS), VMs: v.beacon.KnownCount, Start: v.opts.Now(),
	})
	handler := ingress.NewHandler(ingress.Options{
		Now:           v.opts.Now,
		Codec:         platform.Codec{},
		Configuration: v.configuration,
		Upstreams:     v.upstreams,
		Dialer:        v.dialer,
		RetryBudget:   retries,
		CrashTracker:  v.suspects,
		Fleet:         v,
		Metrics:       v.metrics,
		Log:           v.log,
		Stage:         v.stage,
	})
	servers := []struct {
		address string
		handler http.Handler
	}{
		{v.settings.CallersListen, v.counted(handler)},
		{v.settings.ReadyListen, platform.ReadinessHandler(v.ready)},
		{v.settings.DirectoryListen, platform.DirectoryHandler(v.opts.Now, v.find)},
		{v.settings.ControlListen, v.controlHandler()},
	}
	var all []transport.Server
	if page := v.metricsServer(); page != nil {
		all = append(all, page)
	}
	for i, s := range servers {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("entryvm: listen on %s: %w", s.address, err)
		}
		watched := ingress.Listener{Listener: listener}
		if i == 0 {
			listener = watched
		}
		server := newServer(listener, s.address, s.handler)
		if i == 0 {
			server.ConnContext = watched.ConnContext
			server.ConnState = watched.ConnState
		}
		all = append(all, server)
	}
	v.app = kratos.New(kratos.Name("hibiscuscove"), kratos.ID(v.settings.Name), kratos.Signal(noSignal{}),
		kratos.StopTimeout(closeTimeout), kratos.Server(all...))
	return nil
}

// newServer returns a server of one address.
func newServer(listener net.Listener, address string, handler http.Handler) *khttp.Server {
	// The endpoint is named since kratos would list the machine's links to
	// find it, which not every platform allows.
	endpoint := &url.URL{Scheme: "http", Host: address}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Endpoint(endpoint))
	// Paths reach the handler as callers write them, past kratos's router.
	server.Handler = handler
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	return server
}

// metricsServer returns the server of the metrics page, or nil. Without its
// address the VM serves all the same.
func (v *VM) metricsServer() transport.Server {
	address := v.settings.MetricsListen
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		v.log.Warn().Str("address", address).Err(err).Msg("no metrics page")
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricpage.Handler(v.metrics))
	return newServer(listener, address, mux)
}

// noSignal is never delivered: the daemon handles signals by its context.
type noSignal struct{}

// Signal implements os.Signal.
func (noSignal) Signal() {}

// String implements os.Signal.
func (noSignal) String() string { return "none" }

// counted counts the requests that are being served.
func (v *VM) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v.active.Add(1)
		defer v.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then leaves without cutting a request.
func (v *VM) Run(ctx context.Context) error {
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){
		v.configurations.Run, v.upstreamFeed.Run, v.versions.Run, v.beacon.Run, v.rollout.Run, v.cachemap.Run, v.enter, v.keepUp, v.recallVersions, v.summarise,
	} {
		wg.Go(func() { duty(duties) })
	}
	wg.Go(func() {
		select {
		case <-ctx.Done():
			v.depart()
			stop()
			_ = v.app.Stop() // its error is Run's
		case <-duties.Done():
		}
	})
	v.log.Info().Str("settings", v.settings.String()).Int64("incarnation", v.incarnation).Msg("VM starts")
	err := v.app.Run()
	stop()
	wg.Wait()
	_ = v.packets.Close()
	v.log.Info().Msg("VM stopped")
	if err != nil {
		return fmt.Errorf("entryvm: run: %w", err)
	}
	return nil
}

// ready reports whether callers may be sent here.
func (v *VM) ready() bool {
	return v.departed.Load() == 0 && v.configuration.Current() != nil && v.upstreamFeed.Revision() > 0
}
