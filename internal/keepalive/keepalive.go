// Package keepalive notices TCP connections that have fallen silent: the path drops all
// packets, and no end ever arrives. Nothing but probes and unacknowledged data tell such a
// connection from an idle one. A peer whose process sends nothing still acknowledges, so that
// its connections last. One that does not read counts as silent too, once more waits to be
// sent than the buffers of both systems hold.
//
// # Usage
//
//	conn, err := keepalive.Dialer().DialContext(ctx, "tcp", address)
//	keepalive.Set(accepted) // for connections that were accepted
//
// Reads and writes of a silent connection fail with ETIMEDOUT after about Timeout.
package keepalive

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Timeout is how long a connection may carry nothing before it counts as silent. It
	// spans a few lost packets and the shorter partitions, and is below the time after
	// which VMs must have recovered from a reset of their connections.
	Timeout = 2500 * time.Millisecond
	// probeInterval is the shortest that the system takes.
	probeInterval = time.Second
)

var config = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(Timeout/probeInterval) + 1}

// Dialer returns a dialer whose connections notice silence.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: config, ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return limitUnacknowledged(raw)
	}}
}

// Set lets an open connection notice silence, also one that others wrap, if they have a
// method NetConn. It does nothing for other than TCP connections.
func Set(conn net.Conn) error {
	for {
		wrapper, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			break
		}
		conn = wrapper.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(config); err != nil {
		return fmt.Errorf("keepalive: %w", err)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("keepalive: %w", err)
	}
	return limitUnacknowledged(raw)
}

// limitUnacknowledged limits how long data and probes may go without an acknowledgement.
func limitUnacknowledged(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Timeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("keepalive: %w", err)
	}
	return nil
}
