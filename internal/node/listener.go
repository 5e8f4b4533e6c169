package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	quietPeriod = 300 * time.Millisecond
	quietLimit  = 10 * time.Second
)

// quietListener notes when the last connection was accepted. Closing a
// listener resets the connections that wait to be accepted, so a node that
// stops closes it only after a quiet time.
type quietListener struct {
	net.Listener
	now  func() time.Time
	last atomic.Int64
}

// Accept implements net.Listener.
func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.last.Store(l.now().UnixNano())
	return c, err
}

// awaitQuiet waits until no connection has been accepted for the quiet
// period, at most for the quiet limit.
func (l *quietListener) awaitQuiet(ctx context.Context) {
	const pause = 20 * time.Millisecond
	end := l.now().Add(quietLimit)
	for sleep(ctx, pause) {
		now := l.now()
		if now.After(end) || now.UnixNano()-l.last.Load() >= int64(quietPeriod) {
			return
		}
	}
}
