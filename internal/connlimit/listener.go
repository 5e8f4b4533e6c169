package connlimit

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ServerTimeout is the ReadHeaderTimeout and IdleTimeout of a server behind a Listener,
// which puts its own times in place of them.
const ServerTimeout = time.Hour

const (
	// frozenMargin is how late a deadline may be noticed. If it is later, the machine was
	// suspended and may have received bytes meanwhile, which are read within
	// frozenExtension.
	frozenMargin    = 200 * time.Millisecond
	frozenExtension = 500 * time.Millisecond
	// safeIdleShare is the share of the idle timeout after which clients don't use a
	// connection again.
	safeIdleShare = 0.8
)

// Times are the time limits on clients.
type Times struct {
	// Head is the time from the first byte of a head to its last one, and Idle that from
	// the opening of a connection or the end of a response to the next byte.
	Head, Idle time.Duration
	// Body is how long a body may go without a byte, 10 s if it is 0.
	Body time.Duration
}

func (t Times) body() time.Duration {
	if t.Body > 0 {
		return t.Body
	}
	return bodySilence
}

// Options sets up a Listener. All fields are required.
type Options struct {
	// Name names the listener in counters and log lines.
	Name string
	Now  func() time.Time
	// Times returns the time limits in force.
	Times  func() Times
	Table  *Table
	Report *Reporter
}

// Listener applies limits to the connections that it accepts.
type Listener struct {
	net.Listener
	Options
}

// LimitReceiveBuffer limits what the system receives of each connection that a listener
// accepts. It does nothing if the system does not allow that.
func LimitReceiveBuffer(l net.Listener, bytes int) {
	system, ok := l.(syscall.Conn)
	if !ok || bytes <= 0 {
		return
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return
	}
	// Accepted connections take it over. Without it the system's own limit holds.
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				now := l.Now()
				l.Report.Report(now, l.Name, "no_descriptors", netip.Addr{})
				l.Table.CloseLeastUseful(now, l.safeIdle())
			}
			return nil, err
		}
		now, source := l.Now(), SourceOf(inner.RemoteAddr())
		entry, evicted := l.Table.Add(now, source, l.safeIdle(), func() { _ = inner.Close() })
		if entry == nil {
			l.Report.Report(now, l.Name, "too_many_connections", source)
			_ = inner.Close()
			continue
		}
		if evicted {
			l.Report.Report(now, l.Name, "connection_replaced", source)
		}
		return &conn{Conn: inner, options: l.Options, entry: entry, source: source, phase: fresh}, nil
	}
}

func (l Listener) safeIdle() time.Duration {
	return time.Duration(safeIdleShare * float64(l.Times().Idle))
}

// ConnState is the hook of http.Server with the same name. The connection may be wrapped by
// others that have a method NetConn.
func (l Listener) ConnState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle && state != http.StateHijacked {
		return
	}
	own := unwrap(c)
	if own == nil {
		return
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	if state == http.StateHijacked {
		own.phase = hijacked
		return
	}
	own.phase = idle
	own.entry.SetState(l.Now(), Idle)
}

// unwrap returns the connection of a Listener that others wrap, or nil.
func unwrap(c net.Conn) *conn {
	for {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// SourceOf returns the IP address of a network address, or the zero one.
func SourceOf(a net.Addr) netip.Addr {
	if a == nil {
		return netip.Addr{}
	}
	parsed, err := netip.ParseAddrPort(a.String())
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// SourceOfRequest returns the IP address that a request came from, or the zero one.
func SourceOfRequest(r *http.Request) netip.Addr {
	parsed, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// phase is what a server of net/http does with a connection. It shows in the deadlines
// that the server sets.
type phase uint8

const (
	// fresh connections have not sent a byte.
	fresh phase = iota
	head
	// handling is from the end of a head to the end of its response.
	handling
	// idle is from the end of a response on. Once the server has armed its idle timeout
	// the phase is idleArmed.
	idle
	idleArmed
	hijacked
)

// reasons are the reasons of a read that takes too long, by phase.
var reasons = map[phase]string{fresh: "idle", head: "slow_head", handling: "slow_body", idleArmed: "idle"}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	options Options
	entry   *Entry
	source  netip.Addr

	mu    sync.Mutex
	phase phase
	// own is the read deadline that the limits have set, zero if there is none or the
	// server has set its own.
	own time.Time
	// foreign is set while the read deadline is one that the server or a handler has set,
	// also if that has passed.
	foreign bool
	pace    Pace
	// writeOwn and writeForeign are the write deadlines of the limits and of handlers.
	writeOwn, writeForeign time.Time
}

// NetConn returns the connection to which limits apply.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	system, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connlimit: no system connection")
	}
	return system.SyscallConn()
}

// CloseWrite ends the sending side. Package net/http uses it to let a client read a
// response before its connection is closed.
func (c *conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return closer.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.entry.Remove()
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. Where the server sets the timeout of a head or of an
// idle connection, the limits in force take its place.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own, c.foreign = time.Time{}, false
	now := c.options.Now()
	switch {
	case t.IsZero():
		if c.phase == head || c.phase == fresh || c.phase == idleArmed {
			c.phase = handling
			c.entry.SetState(now, Active)
		}
		return c.Conn.SetReadDeadline(t)
	case c.phase == hijacked || c.phase == handling || !t.After(now):
		c.foreign = true
		return c.Conn.SetReadDeadline(t)
	}
	switch c.phase {
	case fresh:
		return c.setOwn(now.Add(c.options.Times().Idle))
	case idle:
		c.phase = idleArmed
		return c.setOwn(now.Add(c.options.Times().Idle))
	default: // the next head has begun
		c.phase = head
		c.entry.SetState(now, Waiting)
		return c.setOwn(now.Add(c.options.Times().Head))
	}
}

// setOwn sets a read deadline of the limits. The caller holds the lock.
func (c *conn) setOwn(t time.Time) error {
	c.own = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn. The server reads single bytes to notice that the client has
// gone, to which no limit applies.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) > 1 {
		c.armBody()
	}
	n, err := c.Conn.Read(p)
	for err != nil && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extend() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.received(n) {
		c.report("slow_body")
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the next read fails
	}
	return n, err
}

// armBody sets the deadline for the next bytes of a body, unless there is one.
func (c *conn) armBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != handling || c.foreign || !c.own.IsZero() {
		return
	}
	now := c.options.Now()
	c.pace = NewPace(now)
	_ = c.setOwn(now.Add(c.options.Times().body())) // the read fails as well
}

// received records bytes that were read and reports whether the client sends too slowly.
func (c *conn) received(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == fresh:
		c.phase = head
		now := c.options.Now()
		if !c.foreign {
			_ = c.setOwn(now.Add(c.options.Times().Head)) // the next read fails as well
		}
	case c.phase == handling && !c.own.IsZero():
		now := c.options.Now()
		if c.pace.Received(now, n) {
			c.own, c.foreign = time.Time{}, true
			return true
		}
		// Setting the deadline anew for each read would cost more than the margin matters.
		if silence := c.options.Times().body(); c.own.Sub(now) < silence/2 {
			_ = c.setOwn(now.Add(silence)) // the next read fails as well
		}
	}
	return false
}

// extend is called when a read deadline has passed. It reports whether to read once more,
// since the machine was suspended.
func (c *conn) extend() bool {
	c.mu.Lock()
	if c.own.IsZero() {
		c.mu.Unlock()
		return false
	}
	now := c.options.Now()
	if late := now.Sub(c.own); late >= frozenMargin {
		_ = c.setOwn(now.Add(frozenExtension)) // the next read fails as well
		c.mu.Unlock()
		return true
	}
	reason := reasons[c.phase]
	c.mu.Unlock()
	if reason == "idle" {
		c.options.Report.Count(c.options.Name, reason)
	} else if reason != "" {
		c.report(reason)
	}
	return false
}

func (c *conn) report(reason string) {
	c.options.Report.Report(c.options.Now(), c.options.Name, reason, c.source)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeOwn, c.writeForeign = time.Time{}, t
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. A client that takes nothing for a while is cut off.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePiece)]
		c.armWrite(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && c.ownWriteTimeout() {
				c.report("slow_reader")
			}
			return written, err
		}
		if written >= len(p) {
			return written, nil
		}
	}
}

// ownWriteTimeout reports whether the write deadline is one of the limits.
func (c *conn) ownWriteTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writeOwn.IsZero()
}

// armWrite makes sure that a write has a deadline. It sets one anew only if half of the
// time of the last one is over, so that most writes leave it as it is.
func (c *conn) armWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == hijacked {
		return
	}
	now := c.options.Now()
	timeout := WriteTimeout(n)
	if !c.writeForeign.IsZero() && c.writeForeign.Sub(now) <= timeout {
		if !c.writeOwn.IsZero() {
			c.writeOwn = time.Time{}
			_ = c.Conn.SetWriteDeadline(c.writeForeign) // the write fails as well
		}
		return
	}
	if c.writeOwn.Sub(now) >= timeout/2 {
		return
	}
	c.writeOwn = now.Add(timeout)
	_ = c.Conn.SetWriteDeadline(c.writeOwn) // the write fails as well
}
