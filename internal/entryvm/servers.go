package entryvm

import (
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/framing"
	"github.com/hibiscuscove/hibiscuscove/internal/metricpage"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

const (
	// defaultHeadTimeout and defaultIdleTimeout hold where the configuration names none, the
	// latter always for clients that are no callers: other VMs close idle connections
	// first.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 2 * time.Minute

	// receiveRoundTrip is the longest round trip to a client for which the receive buffer
	// allows the whole bandwidth of the link. Callers are at most 6 ms away.
	receiveRoundTrip = 10 * time.Millisecond
	minReceiveBuffer = 64 << 10
	maxReceiveBuffer = 256 << 10

	// Clients of the addresses without bodies have unusedBodyTimeout for one, other VMs
	// controlBodyTimeout.
	unusedBodyTimeout  = 500 * time.Millisecond
	controlBodyTimeout = 5 * time.Second
	maxUnusedBody      = 4 << 10
	maxControlBody     = mebibyte
)

// Shares of the listeners in all connections. The least one is 89 connections at 112 MB.
const (
	callersConns   = 0.5
	controlConns   = 0.2
	readyConns     = 0.15
	directoryConns = 0.1
	metricsConns   = 0.05
)

// endpoint is an address of the VM.
type endpoint struct {
	name, address string
	handler       http.Handler
	// share is the share in all connections.
	share float64
	// callers is set if clients are callers, to which the configured idle timeout applies.
	callers bool
}

// listenAll opens the VM's addresses. The metrics page is left out, with a warning, if its
// address can't be opened, since the VM can serve callers without it.
func (v *VM) listenAll() ([]transport.Server, error) {
	var servers []transport.Server
	if v.settings.MetricsListen != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", metricpage.Handler(v.metrics))
		server, err := v.listen(endpoint{name: "metrics", address: v.settings.MetricsListen, handler: limitBody(mux, maxUnusedBody, unusedBodyTimeout, v.opts.Now), share: metricsConns})
		if err != nil {
			v.log.Warn().Str("address", v.settings.MetricsListen).Err(err).Msg("metrics page not served")
		} else {
			servers = append(servers, server)
		}
	}
	for _, e := range []endpoint{
		{"callers", v.settings.CallersListen, v.countRequests(v.handler), callersConns, true},
		{"ready", v.settings.ReadyListen, limitBody(platform.ReadinessHandler(v.ready), maxUnusedBody, unusedBodyTimeout, v.opts.Now), readyConns, true},
		{"directory", v.settings.DirectoryListen, limitBody(platform.DirectoryHandler(v.opts.Now, v.findVMs), maxUnusedBody, unusedBodyTimeout, v.opts.Now), directoryConns, true},
		{"control", v.settings.ControlListen, limitBody(v.controlHandler(), maxControlBody, controlBodyTimeout, v.opts.Now), controlConns, false},
	} {
		server, err := v.listen(e)
		if err != nil {
			return nil, fmt.Errorf("entryvm: listen on %s: %w", e.address, err)
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// listen opens an address and returns a kratos HTTP server for it, without a request
// timeout, since callers' requests end at their deadlines.
func (v *VM) listen(e endpoint) (*khttp.Server, error) {
	inner, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	connlimit.LimitReceiveBuffer(inner, receiveBuffer(v.settings.LinkMbps))
	table := v.clients.Table(e.name, e.share)
	limited := connlimit.Listener{Listener: inner, Options: connlimit.Options{
		Name: e.name, Now: v.opts.Now, Times: func() connlimit.Times { return v.clientTimes(e.callers) }, Table: table, Report: v.clients.Report,
	}}
	checked := framing.Listener{
		Listener: connend.Listener{Listener: limited, Now: v.opts.Now}, Now: v.opts.Now, Limits: v.headLimits,
		TooLarge: func(c net.Conn, reason string) {
			v.clients.Report.Report(v.opts.Now(), e.name, reason, connlimit.SourceOf(c.RemoteAddr()))
		},
	}
	// Without an explicit endpoint kratos enumerates the machine's network
	// interfaces, which not every platform allows.
	server := khttp.NewServer(khttp.Listener(checked), khttp.Timeout(0), khttp.Endpoint(&url.URL{Scheme: "http", Host: e.address}))
	// Bypass kratos's router, which would clean the paths that callers send.
	server.Handler = e.handler
	// Otherwise net/http responds to "OPTIONS *" itself.
	server.DisableGeneralOptionsHandler = true
	server.ReadHeaderTimeout, server.IdleTimeout = connlimit.ServerTimeout, connlimit.ServerTimeout
	server.MaxHeaderBytes = framing.MaxHeadBytes
	server.ErrorLog = log.New(serverErrors{v, e.address}, "", 0)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return connend.ConnContext(checked.ConnContext(ctx, c), c)
	}
	server.ConnState = limited.ConnState
	return server, nil
}

// receiveBuffer returns the size of the buffer for what is received of a connection.
func receiveBuffer(linkMbps float64) int {
	return int(min(maxReceiveBuffer, max(minReceiveBuffer, linkMbps*bytesPerMbit*receiveRoundTrip.Seconds())))
}

// clientTimes returns the time limits for clients, from the configuration in force.
func (v *VM) clientTimes(callers bool) connlimit.Times {
	times := connlimit.Times{Head: defaultHeadTimeout, Idle: defaultIdleTimeout}
	c := v.configuration.Current()
	if c == nil {
		return times
	}
	if limit := c.Limits().HeaderTimeout; limit > 0 {
		times.Head = limit
	}
	if limit := c.Limits().IdleTimeout; limit > 0 && callers {
		times.Idle = limit
	}
	return times
}

// headLimits returns the limits on heads, from the configuration in force.
func (v *VM) headLimits() framing.Limits {
	c := v.configuration.Current()
	if c == nil {
		return framing.Limits{}
	}
	return framing.Limits{Bytes: min(c.Limits().MaxHeaderBytes, framing.MaxHeadBytes)}
}

// limitBody limits the size of bodies, and the time in which they must have arrived. It
// refuses requests that can be read in two ways.
func limitBody(next http.Handler, maxBytes int64, timeout time.Duration, now func() time.Time) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(now().Add(timeout)) // fails only without a connection
			r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
		}
		if framing.Check(r.Context()) != framing.Clear {
			w.Header().Set("Connection", "close")
			http.Error(w, "the request can be read in two ways", http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// rejectDatagram counts a datagram to the port for other VMs that is no message.
func (v *VM) rejectDatagram(now time.Time, from net.Addr) {
	v.clients.Report.Report(now, "peers", "not_a_message", connlimit.SourceOf(from))
}
