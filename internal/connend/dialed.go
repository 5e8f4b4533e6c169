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
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Dialed wraps a connection to a server so that its Read returns io.EOF only if the server
// has ended its sending side. The system reports a reset, or a timeout, to one direction only:
// if a concurrent Write gets the error, the Read of the plain connection sees an end. Once Read
// has returned io.EOF, writes fail.
func Dialed(c net.Conn) net.Conn { return &dialed{Conn: c} }

// DialFunc opens connections, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext opens a connection and wraps it by Dialed.
func (d DialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Dialed(c), nil
}

type dialed struct {
	net.Conn

	// mu is held during a write, so that its error is known to a read that sees an end.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// NetConn returns the connection that is wrapped.
func (c *dialed) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *dialed) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *dialed) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.endWrites(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// endWrites ends a write that is under way and returns the error with which the connection
// was lost, nil if the server has ended it.
func (c *dialed) endWrites() error {
	_ = c.SetWriteDeadline(longAgo) // fails only if the connection is closed
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	// After an end, a reset is reported as EPIPE.
	case errors.Is(c.writeErr, syscall.EPIPE), errors.Is(c.writeErr, os.ErrDeadlineExceeded), errors.Is(c.writeErr, net.ErrClosed):
		return nil
	}
	return c.writeErr
}
