package server

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
	// quietPeriod is the time without a new connection after which the listener
	// can be closed.
	quietPeriod = 300 * time.Millisecond
	// maxQuietWait limits the wait for a quiet period.
	maxQuietWait = 10 * time.Second
)

// quietListener records when the last connection was accepted. Closing a listener
// resets the connections in its accept queue, so a stopping node closes it only
// when no connection has arrived for a while.
type quietListener struct {
	net.Listener
	now func() time.Time
	// lastAccept is when the last connection was accepted, in Unix nanoseconds.
	lastAccept atomic.Int64
	// awaitingRequest holds the connections (net.Conn) that have not sent a request
	// yet.
	awaitingRequest sync.Map
}

// trackState keeps track of the connections that have not sent a request yet. It is
// the server's ConnState hook.
func (l *quietListener) trackState(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		l.awaitingRequest.Store(c, true)
		return
	}
	l.awaitingRequest.Delete(c)
}

// hasAwaiting reports whether any connection has not sent a request yet.
func (l *quietListener) hasAwaiting() bool {
	found := false
	l.awaitingRequest.Range(func(any, any) bool {
		found = true
		return false
	})
	return found
}

// Accept implements net.Listener.
func (l *quietListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.lastAccept.Store(l.now().UnixNano())
	return c, err
}

// awaitQuiet waits until no connection has been accepted for quietPeriod and every
// connection has sent a request, for at most maxQuietWait. A server that shuts down
// closes connections that have not sent one.
func (l *quietListener) awaitQuiet(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	end := l.now().Add(maxQuietWait)
	for wait.For(ctx, pollInterval) {
		now := l.now()
		quiet := now.UnixNano()-l.lastAccept.Load() >= int64(quietPeriod) && !l.hasAwaiting()
		if quiet || now.After(end) {
			return
		}
	}
}
