package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/keepalive"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// errNoHelper means that no VM could be asked for a connection.
var errNoHelper = errors.New("relay: no other VM takes the connection")

// errUnreachable means that another VM can't open a connection to the upstream either.
var errUnreachable = errors.New("relay: another VM does not reach the upstream")

// helperMargin is how long a VM's answer may take beyond the time in which it opens a
// connection.
const helperMargin = 100 * time.Millisecond

// ConnectorOptions configures a Connector. All fields but Log are required.
type ConnectorOptions struct {
	Now func() time.Time
	// Direct opens this VM's own connections to upstreams, within ConnectTimeout.
	Direct         *exchange.Dialer
	ConnectTimeout time.Duration
	Paths          *Paths
	// Known returns the number of upstreams of a service.
	Known func(service string) int
	// Helpers returns the VMs that are not cut off, without this one.
	Helpers    func() []Helper
	DataCentre string
	Metrics    metrics.Registry
	Log        zerolog.Logger
}

// Connector opens connections to upstreams, through other VMs where this one has none.
type Connector struct {
	opts ConnectorOptions
}

// NewConnector returns a Connector.
func NewConnector(opts ConnectorOptions) *Connector { return &Connector{opts} }

// Connect opens a connection for one request. An error means that nothing was sent.
func (c *Connector) Connect(ctx context.Context, u roster.Upstream, requestID string) (*exchange.Conn, error) {
	if c.opts.Paths.Relayed(u) {
		conn, err := c.connectThrough(ctx, u, requestID)
		if !errors.Is(err, errNoHelper) {
			return conn, err
		}
	}
	conn, err := c.opts.Direct.Connect(ctx, u.Address)
	if err == nil {
		c.recordReached(u)
		return conn, nil
	}
	if ctx.Err() != nil || !c.opts.Paths.RecordFailed(c.opts.Now(), u, c.opts.Known(u.Service)) {
		return nil, err
	}
	if conn, relayErr := c.connectThrough(ctx, u, requestID); relayErr == nil {
		return conn, nil
	}
	return nil, err
}

// Probe tries this VM's own links that were lost and returns when it has.
func (c *Connector) Probe(ctx context.Context) {
	for _, u := range c.opts.Paths.Probes(c.opts.Now()) {
		c.count("probes")
		if conn, err := c.opts.Direct.Dial(ctx, u.Address); err == nil {
			_ = conn.Close()
			c.recordReached(u)
		}
	}
}

func (c *Connector) recordReached(u roster.Upstream) {
	if c.opts.Paths.RecordReached(c.opts.Now(), u) {
		c.opts.Log.Info().Str("upstream", u.ID).Msg("upstream reached again")
	}
}

// connectThrough opens a connection through another VM.
func (c *Connector) connectThrough(ctx context.Context, u roster.Upstream, requestID string) (*exchange.Conn, error) {
	err := errNoHelper
	for _, h := range OrderHelpers(c.opts.Helpers(), c.opts.DataCentre, u.DataCentre, rand.IntN) {
		var conn net.Conn
		if conn, err = c.dialThrough(ctx, h, u, requestID); err == nil {
			c.count("connections")
			if c.opts.Paths.RecordRelayed(c.opts.Now(), u, true) {
				c.opts.Log.Warn().Str("upstream", u.ID).Str("service", u.Service).Str("through", h.Name).Msg("upstream reached through another VM only")
			}
			return exchange.NewConn(ctx, conn), nil
		}
		if errors.Is(err, errUnreachable) || ctx.Err() != nil {
			break
		}
	}
	c.count("failures")
	if errors.Is(err, errUnreachable) {
		c.opts.Paths.RecordRelayed(c.opts.Now(), u, false)
	}
	return nil, err
}

// dialThrough asks one VM for a connection. Its error is errUnreachable if that VM has no
// way to the upstream, and wraps errNoHelper otherwise.
func (c *Connector) dialThrough(ctx context.Context, h Helper, u roster.Upstream, requestID string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ConnectTimeout+helperMargin)
	defer cancel()
	conn, err := keepalive.Dialer().DialContext(ctx, "tcp", h.Control)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoHelper, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	query := url.Values{"upstream": {u.ID}, "incarnation": {u.Incarnation()}, "request": {requestID}}
	r := bufio.NewReader(conn)
	resp, err := c.handshake(conn, r, h.Control, query)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols && resp.Header.Get("Upgrade") == protocol {
		return &tunnel{Conn: conn, r: r}, nil
	}
	_ = conn.Close()
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errNoHelper, err)
	case resp.StatusCode == http.StatusBadGateway:
		return nil, errUnreachable
	}
	return nil, fmt.Errorf("%w: status %d", errNoHelper, resp.StatusCode)
}

func (c *Connector) handshake(conn net.Conn, r *bufio.Reader, host string, query url.Values) (*http.Response, error) {
	head := "GET " + Path + "?" + query.Encode() + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err := conn.Write([]byte(head)); err != nil {
		return nil, err
	}
	return http.ReadResponse(r, nil)
}

func (c *Connector) count(what string) {
	metrics.GetOrRegisterCounter("relayed."+what, c.opts.Metrics).Inc(1)
}
