package entryvm

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

// probeCheckInterval is the time between two looks for own links that are to be probed.
const probeCheckInterval = 100 * time.Millisecond

func (v *VM) buildRelay() {
	v.connector = relay.NewConnector(relay.ConnectorOptions{
		Now: v.opts.Now, Direct: v.dialer, ConnectTimeout: milliseconds(v.settings.ConnectTimeoutMS), Paths: v.paths,
		Known: v.knownUpstreams, Helpers: v.helpers, DataCentre: v.settings.DataCentre, Metrics: v.metrics, Log: v.log,
	})
	v.relayServer = relay.NewServer(relay.ServerOptions{
		Direct: v.dialer, Upstream: v.relayedUpstream, Observe: v.observeRelayed, Metrics: v.metrics, Log: v.log,
	})
}

// knownUpstreams returns the number of upstreams of a service.
func (v *VM) knownUpstreams(service string) int {
	n := 0
	for _, u := range v.upstreams.All() {
		if u.Service == service {
			n++
		}
	}
	return n
}

// cutOffFromEngines reports whether this VM reaches no engine by itself, while others do.
func (v *VM) cutOffFromEngines() bool {
	return v.paths.CutOffFrom(func(u roster.Upstream) bool { return u.Model != "" })
}

// helpers returns the VMs through which connections to upstreams may go.
func (v *VM) helpers() []relay.Helper {
	var list []relay.Helper
	for _, p := range v.beacon.Alive(v.opts.Now()) {
		if p.State != beacon.Serving || p.CutOff {
			continue
		}
		h := relay.Helper{Name: p.Name, Control: p.Control, DataCentre: p.DataCentre}
		for _, load := range p.Loads {
			h.Requests += load[0]
		}
		list = append(list, h)
	}
	return list
}

// relayedUpstream returns an upstream to which another VM wants a connection, if this VM
// would send it requests of its own.
func (v *VM) relayedUpstream(id, incarnation string) (roster.Upstream, bool) {
	now := v.opts.Now()
	for _, u := range v.upstreams.All() {
		if u.ID != id || u.Incarnation() != incarnation {
			continue
		}
		leaving := v.drains.Leaving(incarnation) && !v.drains.Serving(now, incarnation)
		return u, !leaving && v.backoffs.Available(now, incarnation)
	}
	return roster.Upstream{}, false
}

// observeRelayed records what a response to another VM's request says about its upstream.
func (v *VM) observeRelayed(u roster.Upstream, requestID string, resp exchange.Response) {
	v.handler.ObserveAvailability(u, resp.Status, platform.Codec{}.DecodeResponseHead(requestID, resp))
}

// serveRelay serves connections for other VMs. They count as requests under way, so that
// a stop waits for them.
func (v *VM) serveRelay(w http.ResponseWriter, r *http.Request) {
	v.countRequests(v.relayServer).ServeHTTP(w, r)
}

// probeLostLinks tries the links that this VM has lost until ctx ends.
func (v *VM) probeLostLinks(ctx context.Context) {
	for wait.For(ctx, probeCheckInterval) {
		v.connector.Probe(ctx)
	}
}
