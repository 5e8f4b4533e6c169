package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/keepalive"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// maxTunnels limits the connections for other VMs, each with the buffers of two
	// directions.
	maxTunnels = 256
	// maxObservedBytes limits the head of a response that is looked at.
	maxObservedBytes = 8 << 10
	copyBufferBytes  = 8 << 10
	// closeTimeout is how long the other VM may take to close after the end.
	closeTimeout = 5 * time.Second
)

// ServerOptions configures a Server. All fields but Log are required.
type ServerOptions struct {
	// Direct opens this VM's own connections to upstreams.
	Direct *exchange.Dialer
	// Upstream returns an upstream that this VM would send requests to itself.
	Upstream func(id, incarnation string) (roster.Upstream, bool)
	// Observe is called with the head of a response to the request with an ID. The
	// upstream counts the requests of other VMs as this one's.
	Observe func(u roster.Upstream, requestID string, resp exchange.Response)
	Metrics metrics.Registry
	Log     zerolog.Logger
}

// Server opens connections to upstreams for other VMs. It is an http.Handler.
type Server struct {
	opts    ServerOptions
	tunnels atomic.Int64
}

// NewServer returns a Server.
func NewServer(opts ServerOptions) *Server { return &Server{opts: opts} }

// Tunnels returns the number of open connections for other VMs.
func (s *Server) Tunnels() int64 { return s.tunnels.Load() }

// ServeHTTP implements http.Handler. It answers 502 if the upstream can't be reached, and
// 503 if this VM does not take the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	u, found := s.opts.Upstream(query.Get("upstream"), query.Get("incarnation"))
	defer s.tunnels.Add(-1)
	if s.tunnels.Add(1) > maxTunnels || !found || r.Header.Get("Upgrade") != protocol {
		s.count("refused")
		http.Error(w, "not taken", http.StatusServiceUnavailable)
		return
	}
	upstream, err := s.opts.Direct.Dial(r.Context(), u.Address)
	if err != nil {
		s.count("unreachable")
		http.Error(w, "upstream unreachable", http.StatusBadGateway)
		return
	}
	defer func() { _ = upstream.Close() }()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "can't switch protocols", http.StatusInternalServerError)
		return
	}
	defer func() { _ = conn.Close() }()
	// The other VM may go without an end that arrives here, and the upstream would work on.
	if err := keepalive.Set(conn); err != nil {
		s.opts.Log.Warn().Err(err).Msg("relayed connection does not notice silence")
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	s.count("served")
	copied := make(chan error, 1)
	go func() { copied <- copyRequest(upstream, conn, buffered.Reader) }()
	observer := &headObserver{observe: func(resp exchange.Response) { s.opts.Observe(u, query.Get("request"), resp) }}
	err = writeFrames(conn, upstream, observer.add) // fails if the other VM has closed
	// Closing before the whole request has been read would reset what was written.
	select {
	case readErr := <-copied:
		err = errors.Join(err, readErr)
	case <-time.After(closeTimeout):
	}
	if errors.Is(err, syscall.ETIMEDOUT) {
		s.count("silent")
		s.opts.Log.Warn().Str("upstream", u.ID).Str("request", query.Get("request")).Str("peer", r.RemoteAddr).Msg("relayed connection fell silent")
	}
}

// copyRequest copies what the other VM sends until it closes, and closes both sides then. It
// returns the error with which its side has ended.
func copyRequest(upstream, conn net.Conn, buffered *bufio.Reader) error {
	defer func() { _ = upstream.Close() }()
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := buffered.Read(buffer)
		if n > 0 {
			if _, writeErr := upstream.Write(buffer[:n]); writeErr != nil {
				// The upstream may have responded all the same: read until it ends.
				_, err = io.Copy(io.Discard, buffered)
				_ = conn.Close()
				return err
			}
		}
		if err != nil {
			_ = conn.Close()
			return err
		}
	}
}

// headObserver passes on the head of the final response once it is complete.
type headObserver struct {
	observe func(resp exchange.Response)
	// received holds the bytes up to the end of that head.
	received []byte
	done     bool
}

func (o *headObserver) add(part []byte) {
	if o.done {
		return
	}
	o.received = append(o.received, part[:min(len(part), maxObservedBytes-len(o.received))]...)
	full := len(o.received) == maxObservedBytes
	if !full && bytes.IndexByte(part, '\n') < 0 {
		return // no line ends here
	}
	resp, err := exchange.Read(bytes.NewReader(o.received), http.MethodGet)
	if errors.Is(err, io.ErrUnexpectedEOF) && !full {
		return
	}
	o.done, o.received = true, nil
	if err == nil {
		o.observe(exchange.Response{Status: resp.Status, Header: resp.Header})
	}
}

func (s *Server) count(what string) {
	metrics.GetOrRegisterCounter("relay."+what, s.opts.Metrics).Inc(1)
}
