// Package leg sends one attempt of a request to one upstream and reads the response in a
// goroutine of its own. All decisions are its owner's.
//
// # Usage
//
//	l := leg.New(leg.Options{Upstream: u, InFlight: inFlight, SentAt: now, ...})
//	defer l.End()
//	go l.Run(ctx, conn, request, id, queue)
//	<-queue.Ready()
//	received, found := queue.Take() // again until its Err is set
//
// A Leg's Options don't change. Its other fields belong to its owner, which calls all
// methods but Run in one goroutine.
package leg

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/eventstream"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// ErrWithheld is the error of a leg whose request was not sent, see Options.Withhold.
var ErrWithheld = errors.New("leg: withheld")

// maxSendDelay is the time after Options.SentAt from which on Options.Withhold is asked.
const maxSendDelay = 20 * time.Millisecond

// Options configures a Leg. All fields but Beside, Lease and Withhold are required.
type Options struct {
	Upstream roster.Upstream
	Choice   roster.Choice
	// InFlight is what the request occupies at the upstream. End finishes it.
	InFlight *roster.InFlight
	// Lease is what a dispatcher counts of it, nil if none does. End ends it.
	Lease  *dispatch.Lease
	SentAt time.Time
	// Beside is set if it was sent beside another leg.
	Beside bool
	// Cancel ends the context of Run.
	Cancel context.CancelFunc
	// Withhold, if it is set, reports whether a request that Run sends late need not be sent
	// any more: the process may have stood still since SentAt.
	Withhold func() bool
	// Observe is called by Run with the head of the response, also if the owner takes
	// no more of it.
	Observe func(u roster.Upstream, status int, head message.ResponseHead)
	// Now returns the current time.
	Now   func() time.Time
	Codec message.Codec
	// Bodies buffers responses that are read whole.
	Bodies *readlimit.Pool
}

// Leg is one attempt on one upstream.
type Leg struct {
	Options

	// AliveAt is when the upstream last sent something for this request, or when
	// the request was sent.
	AliveAt time.Time
	// Response, Head and BegunAt are set once the upstream has begun to respond.
	Response exchange.Response
	Head     message.ResponseHead
	Begun    bool
	BegunAt  time.Time
	// Forwarded is set once the caller has an event of it.
	Forwarded bool

	// readAt is when bytes of the body last arrived, in Unix nanoseconds.
	readAt atomic.Int64

	mu sync.Mutex
	// body holds a response that was read whole. It takes room from other responses
	// until it is released. It is nil once ended is set.
	body  *readlimit.Body
	ended bool
}

// New returns a Leg whose request is sent by Run.
func New(opts Options) *Leg { return &Leg{Options: opts, AliveAt: opts.SentAt} }

// keepBody keeps the body for TakeBody, or releases it if nobody will take it.
func (l *Leg) keepBody(body *readlimit.Body) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		body.Release()
		return
	}
	l.body = body
}

// TakeBody returns a response that was read whole, which the caller must release.
func (l *Leg) TakeBody() *readlimit.Body {
	l.mu.Lock()
	defer l.mu.Unlock()
	body := l.body
	l.body = nil
	return body
}

// End stops the leg's goroutine and releases what it holds.
func (l *Leg) End() {
	l.Cancel()
	l.InFlight.Finish()
	l.Lease.End()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	if l.body != nil {
		l.body.Release()
		l.body = nil
	}
}

// LastSign returns the time of the upstream's last sign of life for this request.
func (l *Leg) LastSign() time.Time {
	if at := l.readAt.Load(); at > l.AliveAt.UnixNano() {
		return time.Unix(0, at)
	}
	return l.AliveAt
}

// timedReader notes when bytes arrive.
type timedReader struct {
	io.Reader
	now func() time.Time
	at  *atomic.Int64
}

// Read implements io.Reader.
func (r timedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.at.Store(r.now().UnixNano())
	}
	return n, err
}

// Received is what a leg has read: the head of the response, then either events or,
// with neither, the whole body, for TakeBody. With Err it is the leg's last one.
type Received struct {
	Leg      *Leg
	Response *exchange.Response
	Head     message.ResponseHead
	Event    *eventstream.Event
	Err      error
}

// PanicError is the error of a leg whose goroutine panicked.
type PanicError struct {
	Cause any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("leg: panic: %v", e.Cause) }

// Run sends the request and passes on to out what it reads until the response or ctx ends.
// If it panics, that is a *PanicError, so that the other requests go on.
func (l *Leg) Run(ctx context.Context, conn *exchange.Conn, request exchange.Request, id string, out *Queue) {
	defer conn.Close()
	pass := func(r Received) bool {
		r.Leg = l
		return out.Add(ctx, r) && r.Err == nil
	}
	defer func() {
		if cause := recover(); cause != nil {
			pass(Received{Err: &PanicError{cause, debug.Stack()}})
		}
	}()
	if l.Withhold != nil && l.Now().Sub(l.SentAt) > maxSendDelay && l.Withhold() {
		pass(Received{Err: ErrWithheld})
		return
	}
	resp, err := conn.Do(request)
	if err != nil {
		pass(Received{Err: err})
		return
	}
	head := l.Codec.DecodeResponseHead(id, resp)
	l.Observe(l.Upstream, resp.Status, head)
	if !pass(Received{Response: &resp, Head: head}) || head.Foreign || head.NotRun {
		return
	}
	content := timedReader{resp.Body, l.Now, &l.readAt}
	if !head.IsStream(resp) {
		body, err := l.Bodies.ReadAll(ctx, content, resp.Length)
		if err == nil {
			l.keepBody(body)
		}
		pass(Received{Err: err})
		return
	}
	events := eventstream.New(content)
	for {
		event, err := events.Next()
		if !pass(Received{Event: &event, Err: err}) {
			return
		}
	}
}
