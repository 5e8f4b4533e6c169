// Package connend records how the connections of a server end, which net/http only
// shows as the cancelled context of a request. For connections to servers, it tells an end
// from a reset.
//
// # Usage
//
//	listener := connend.Listener{Listener: listener, Now: time.Now}
//	server.ConnContext = connend.ConnContext
//	server.Serve(listener)
//
// and then in a handler, once the context of its request is cancelled:
//
//	state := connend.Of(r.Context())
//
// For a connection to a server:
//
//	conn := connend.Dialed(conn)
//	n, err := conn.Read(p) // io.EOF only if the server has ended the connection
//
// All functions are safe for concurrent use.
package connend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// End is how a connection has ended.
type End string

const (
	// Open connections have not ended, as far as is known.
	Open End = "open"
	// EndOfFile means that the peer sends nothing more. It has closed the connection
	// or only its sending side: only a write can tell.
	EndOfFile End = "end_of_file"
	// Reset means that the peer has closed the connection in both directions.
	Reset End = "reset"
	// Timeout means that a deadline of the connection has passed.
	Timeout End = "timeout"
	// Closed means that this side has closed it.
	Closed End = "closed"
	// Failed means any other error.
	Failed End = "failed"
)

// State describes a connection.
type State struct {
	// Read and Write are how its two directions have ended.
	Read, Write End
	// WrittenAt is when something was last written, zero for never.
	WrittenAt time.Time
}

// IsHalfOpen reports whether the peer has ended its sending side and may still receive.
func (s State) IsHalfOpen() bool { return s.Read == EndOfFile && s.Write == Open }

// Listener records how the connections that it accepts end.
type Listener struct {
	net.Listener
	// Now returns the current time.
	Now func() time.Time
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, now: l.Now, state: State{Read: Open, Write: Open}}, nil
}

type conn struct {
	net.Conn
	now func() time.Time

	mu    sync.Mutex
	state State
}

// NetConn returns the connection whose end is recorded.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the sending side, with which package net/http lets a caller read a
// response before its connection is closed.
func (c *conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// Servers interrupt their own reads by a deadline and go on later.
	if end := classify(err); end != Open && end != Timeout {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state.Read = end
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.state.WrittenAt = c.now()
	}
	if end := classify(err); end != Open {
		c.state.Write = end
	}
	return n, err
}

// classify returns what an error of a connection says about its end.
func classify(err error) End {
	switch {
	case err == nil:
		return Open
	case errors.Is(err, io.EOF):
		return EndOfFile
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Timeout
	case errors.Is(err, net.ErrClosed):
		return Closed
	default:
		return Failed
	}
}

// ReceivedAgo returns how long ago the system received the last data of the peer, which
// the process may have read later. known is false if the system does not tell: some fill
// in zeros.
func ReceivedAgo(ctx context.Context) (ago time.Duration, known bool) {
	info, ok := tcpInfo(ctx)
	if !ok || info.Bytes_received == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// PeerEnded reports whether the system knows that the peer sends nothing more. The
// server's read that cancels the context of the request may still be waiting for its turn:
// a process that has been stopped starts all its requests before it has read every end.
func PeerEnded(ctx context.Context) bool {
	info, ok := tcpInfo(ctx)
	return ok && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
}

// ResetOnClose lets the connection of a request be reset when it is closed, so that its peer
// does not take that for the end of the answer. It does nothing for requests that came through
// no Listener.
func ResetOnClose(ctx context.Context) {
	control(ctx, func(fd int) error {
		return unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// tcpInfo returns what the system knows of the connection of a request.
func tcpInfo(ctx context.Context) (info *unix.TCPInfo, ok bool) {
	ok = control(ctx, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, ok
}

// control calls f with the descriptor of the connection of a request, and reports whether
// there is one and f has succeeded.
func control(ctx context.Context, f func(fd int) error) (ok bool) {
	c, found := ctx.Value(connKey{}).(*conn)
	if !found {
		return false
	}
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return err == nil && failed == nil
}

type connKey struct{}

// ConnContext adds a connection of a Listener to the context of its requests. Other
// connections may wrap it, if they have a method NetConn.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	for {
		if own, ok := c.(*conn); ok {
			return context.WithValue(ctx, connKey{}, own)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return ctx
		}
		c = wrapper.NetConn()
	}
}

// Of returns the state of the connection of a request with this context. It is Open for
// requests that came through no Listener.
func Of(ctx context.Context) State {
	c, found := ctx.Value(connKey{}).(*conn)
	if !found {
		return State{Read: Open, Write: Open}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}
