package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
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
	// fresh holds the connections that have not sent a request yet.
	fresh sync.Map
}

// noteState keeps account of the connections that have not sent a request yet.
// It is the server's ConnState hook.
func (l *quietListener) noteState(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		l.fresh.Store(c, true)
		return
	}
	l.fresh.Delete(c)
}

func (l *quietListener) awaitsRequest() bool {
	waiting := false
	l.fresh.Range(func(any, any) bool {
		waiting = true
		return false
	})
	return waiting
}

// Accept implements net.Listener.
func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.last.Store(l.now().UnixNano())
	return c, err
}

// awaitQuiet waits until no connection has been accepted for the quiet period
// and each has sent its request, at most for the quiet limit. A server that
// shuts down closes connections that have not.
func (l *quietListener) awaitQuiet(ctx context.Context) {
	const pause = 20 * time.Millisecond
	end := l.now().Add(quietLimit)
	for wait.For(ctx, pause) {
		now := l.now()
		quiet := now.UnixNano()-l.last.Load() >= int64(quietPeriod) && !l.awaitsRequest()
		if quiet || now.After(end) {
			return
		}
	}
}
