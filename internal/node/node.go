// Package node assembles one node of a fleet that serves the router's own API: the
// servers for callers, for other nodes and for operators, and the background tasks
// that join the fleet, watch the configuration and probe upstreams. On the users'
// platform a process runs package entryvm instead.
//
// # Usage
//
//	n, err := node.New(settings, node.Options{Now: time.Now})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx) // until ctx ends, then a graceful stop
//
// A Node is safe for concurrent use.
package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/admin"
	"github.com/hibiscuscove/hibiscuscove/internal/clientlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/crashreport"
	"github.com/hibiscuscove/hibiscuscove/internal/discovery"
	"github.com/hibiscuscove/hibiscuscove/internal/distribution"
	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/limit"
	"github.com/hibiscuscove/hibiscuscove/internal/link"
	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
	"github.com/hibiscuscove/hibiscuscove/internal/server"
	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// stopTimeout limits kratos's shutdown. Requests end earlier, since deadlines are
	// at most an hour.
	stopTimeout        = 2 * time.Hour
	ledgerFlushTimeout = 10 * time.Second
	retryBudgetBurst   = 20
	readHeaderTimeout  = 10 * time.Second
	// idleTimeout is longer than callers and nodes keep idle connections, so that they
	// close them first.
	idleTimeout = 5 * time.Minute
	// connShare is the share of the connections that each of the two servers may have.
	connShare = 0.5
)

// Options sets up a Node. Now is required.
type Options struct {
	Now func() time.Time
	// Log receives a line for each change of state. The default logs nothing.
	Log zerolog.Logger
	// Store and Lister replace the HTTP clients for the platform URLs of the settings.
	Store  objectstore.Store
	Lister vm.Lister
	// Client replaces the HTTP client for upstreams.
	Client upstream.Client
}

// Node is one node of the fleet. It is created by New and runs once.
type Node struct {
	settings    settings.Settings
	opts        Options
	log         zerolog.Logger
	incarnation uint64

	configuration *publication.Holder
	follower      *distribution.Follower
	publisher     *publication.Publisher
	upstreams     *upstream.Table
	members       *membership.Table
	agent         *membership.Agent
	finder        *discovery.Finder
	link          *link.Client
	ledger        *ledger.Ledger
	quarantine    *quarantine.Tracker
	crashes       *crashreport.Reporter
	watcher       *health.Watcher
	metrics       metrics.Registry
	clients       *clientlimit.Limits
	app           *kratos.App
	callers       *server.Server

	leaving atomic.Bool
	// ready is set when the attempt to join the fleet has ended.
	ready    atomic.Bool
	stopOnce sync.Once

	mu sync.Mutex
	// gates holds a gate per pool.
	gates map[string]*limit.Gate
}

// New returns a node with its addresses open.
func New(s settings.Settings, opts Options) (*Node, error) {
	n := &Node{
		settings:      s,
		opts:          opts,
		log:           opts.Log.With().Str("node", s.Name).Logger(),
		incarnation:   uint64(opts.Now().UnixMilli()),
		configuration: publication.NewHolder(),
		upstreams:     upstream.NewTable(),
		quarantine:    quarantine.NewTracker(quarantine.Options{}),
		metrics:       metrics.NewRegistry(),
		gates:         make(map[string]*limit.Gate),
	}
	n.clients = clientlimit.New(clientlimit.Options{MemoryMB: s.MemoryMB, MaxBodyBytes: int64(s.MaxBodyBytes), Metrics: n.metrics, Log: n.log})
	n.createClients()
	n.buildFleet()
	n.buildLedger()
	n.registerCallbacks()
	return n, n.buildServers()
}

// createClients creates the clients that the options leave unset.
func (n *Node) createClients() {
	if n.opts.Store == nil {
		n.opts.Store = objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: n.settings.PlatformURL})
	}
	if n.opts.Lister == nil && n.settings.VMListURL != "" {
		n.opts.Lister = vm.NewHTTPLister(n.settings.VMListURL)
	}
	if n.opts.Client == nil {
		n.opts.Client = engineapi.NewClient(engineapi.ClientOptions{})
	}
	n.publisher = publication.NewPublisher(n.opts.Store)
}

func (n *Node) buildFleet() {
	self := &peerrpc.Member{
		Name:           n.settings.Name,
		Address:        n.settings.Advertise,
		ControlAddress: n.settings.ControlAdvertise,
		DataCentre:     n.settings.DataCentre,
		Incarnation:    n.incarnation,
	}
	n.members = membership.NewTable(self, membership.TableOptions{SuspicionTimeout: 2 * n.settings.Heartbeat()})
	n.link = link.NewClient(link.ClientOptions{Token: n.settings.PeerToken.Reveal()})
	n.follower = distribution.NewFollower(distribution.Options{
		Log:       n.log,
		Publisher: n.publisher,
		Holder:    n.configuration,
		Members:   n.members,
		Transport: n.link,
		IsWatcher: func() bool { return n.isWatcher("configuration") },
	})
	n.agent = membership.NewAgent(n.members, n.link, membership.AgentOptions{
		Now:               n.opts.Now,
		HeartbeatInterval: n.settings.Heartbeat(),
		OnGeneration:      n.follower.Request,
	})
	n.finder = discovery.NewFinder(discovery.Options{
		Now:       n.opts.Now,
		Lister:    n.opts.Lister,
		Peers:     n.settings.Peers,
		Self:      n.settings.ControlAdvertise,
		Members:   n.members,
		Agent:     n.agent,
		Upstreams: n.upstreams,
		IsWatcher: func() bool { return n.isWatcher("vm_list") },
	})
	n.crashes = crashreport.NewReporter(crashreport.Options{
		Now:       n.opts.Now,
		Log:       n.log,
		Store:     n.opts.Store,
		Tracker:   n.quarantine,
		Members:   n.members,
		Transport: n.link,
	})
	n.watcher = health.NewWatcher(health.Options{
		Node:          n.settings.Name,
		Now:           n.opts.Now,
		Client:        n.opts.Client,
		Upstreams:     n.upstreams,
		Members:       n.servingNames,
		Announce:      n.announceHealth,
		ProbeInterval: n.settings.Probe(),
	})
}

func (n *Node) buildLedger() {
	n.ledger = ledger.New(ledger.Options{
		Store:            n.opts.Store,
		Now:              n.opts.Now,
		Holder:           n.settings.Name,
		Incarnation:      n.incarnation,
		Peers:            n,
		Shards:           n.settings.LedgerShards,
		Interval:         n.settings.LedgerInterval(),
		Retention:        n.settings.LedgerRetention(),
		ClaimTimeout:     n.settings.ClaimTimeout(),
		MaxResponseBytes: n.settings.LedgerAnswerBytes,
	})
}

// registerCallbacks registers the callbacks for new configurations, new facts and
// ended upstream incarnations.
func (n *Node) registerCallbacks() {
	n.configuration.OnChange(n.applyConfiguration)
	n.members.OnFact(n.applyHealthFact)
	n.members.OnFact(n.finder.ApplyFact)
	n.members.OnFact(n.crashes.ApplyFact)
	n.upstreams.OnIncarnationEnd(func(now time.Time, u contract.Upstream, incarnation string) {
		n.quarantine.RecordCrash(now, quarantine.NewCrash(now, u.Name, u.DataCentre, incarnation))
		n.log.Warn().Str("upstream", u.Name).Str("incarnation", incarnation).Msg("upstream incarnation ended")
	})
}

func (n *Node) buildServers() error {
	handler := request.NewHandler(request.Options{
		Now:              n.opts.Now,
		Configuration:    n.configuration,
		Upstreams:        n.upstreams,
		Client:           n.opts.Client,
		Picker:           placement.NewPicker(placement.PickerOptions{}),
		Gate:             n.gate,
		RetryBudget:      limit.NewRetryBudget(limit.RetryBudgetOptions{Burst: retryBudgetBurst}),
		Ledger:           n.ledger,
		Quarantine:       n.quarantine,
		Fleet:            fleet{n, n.crashes},
		Metrics:          n.metrics,
		Log:              n.log,
		BodyLimits:       openai.Limits{MaxBodyBytes: int64(n.settings.MaxBodyBytes), MaxDepth: n.settings.MaxJSONDepth},
		MaxResponseBytes: int64(n.settings.MaxAnswerBytes),
		Callers:          n.clients.Account,
		CallerTimeout:    n.settings.CallerTimeout(),
		SilenceTimeout:   n.settings.Silence(),
	})
	mux := http.NewServeMux()
	handler.Register(mux)
	callers, err := n.listen(n.settings.Listen, server.Options{Name: "callers", Handler: mux, Leaving: n.leaving.Load})
	if err != nil {
		return err
	}
	control, err := n.listen(n.settings.ControlListen, server.Options{Name: "control", Handler: n.controlMux()})
	if err != nil {
		return err
	}
	n.callers = callers
	n.app = kratos.New(
		kratos.Name("hibiscuscove"),
		kratos.ID(n.settings.Name),
		kratos.Server(callers, control),
		kratos.StopTimeout(stopTimeout),
		kratos.Signal(noSignal{}),
		kratos.BeforeStop(n.drain),
	)
	return nil
}

// listen opens a server with the settings that both have in common.
func (n *Node) listen(address string, opts server.Options) (*server.Server, error) {
	opts.Now = n.opts.Now
	opts.MaxHeaderBytes = n.settings.MaxHeaderBytes
	opts.Times = connlimit.Times{Head: readHeaderTimeout, Idle: idleTimeout, Body: n.settings.CallerTimeout()}
	opts.Connections, opts.Report = n.clients.Table(opts.Name, connShare), n.clients.Report
	s, err := server.Listen(address, opts)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return s, nil
}

// noSignal is a signal that is never delivered. An empty list of signals would
// make kratos catch all of them, including those of the Go runtime. The process
// handles signals and cancels Run's context.
type noSignal struct{}

// Signal implements os.Signal.
func (noSignal) Signal() {}

// String implements os.Signal.
func (noSignal) String() string { return "none" }

// controlMux returns the handler of the control address: RPCs of other nodes and
// the operators' API.
func (n *Node) controlMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(link.PathPrefix, link.NewHandler(peerService{n}, n.settings.PeerToken.Reveal()))
	admin.NewHandler(admin.Options{
		Now:       n.opts.Now,
		Token:     n.settings.AdminToken.Reveal(),
		Publisher: n.publisher,
		Holder:    n.configuration,
		Node:      n,
	}).Register(mux)
	return mux
}

// Run serves until ctx ends or Stop is called, then stops gracefully: it returns
// when every open request has ended.
func (n *Node) Run(ctx context.Context) error {
	taskCtx, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTasks()
	var wg sync.WaitGroup
	wg.Go(func() {
		select {
		case <-ctx.Done():
			n.Stop()
		case <-taskCtx.Done():
		}
	})
	wg.Go(func() { n.runTasks(taskCtx) })
	n.log.Info().Str("listen", n.settings.Listen).Str("control_listen", n.settings.ControlListen).Msg("node starts")
	err := n.app.Run()
	stopTasks()
	wg.Wait()
	n.log.Info().Msg("node stopped")
	if err != nil {
		return fmt.Errorf("node: run: %w", err)
	}
	return nil
}

// Stop starts a graceful stop and returns at once. It may be called more than once.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { go func() { _ = n.app.Stop() }() })
}

// drain leaves the fleet, then waits until no caller can hold a cached response of
// /v1/entry that names this node and until every open request has ended.
func (n *Node) drain(ctx context.Context) error {
	const slack = 500 * time.Millisecond
	n.leaving.Store(true)
	n.members.MarkLeaving()
	n.log.Info().Msg("node is leaving")
	n.announceSelf(ctx)
	wait.For(ctx, n.settings.EntryTTL()+slack)
	n.callers.AwaitQuiet(ctx)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.Error().Err(err).Msg("server for callers did not stop in time")
	}
	flush, cancelFlush := context.WithTimeout(ctx, ledgerFlushTimeout)
	defer cancelFlush()
	n.ledger.Close(flush)
	n.log.Info().Msg("node has left")
	return nil
}

// gate returns the gate of a pool, which it creates on first use.
func (n *Node) gate(pool string) *limit.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := n.gates[pool]
	if g == nil {
		g = limit.NewGate(limit.GateOptions{Capacity: n.settings.MaxInFlight, MaxQueue: n.settings.MaxQueue})
		n.gates[pool] = g
	}
	return g
}
