package intake

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// overloadRetryAfter is the Retry-After of a request for whose body there is no room.
	overloadRetryAfter = 500 * time.Millisecond
	// unreadTimeout is how long the rest of a body may take to arrive that is not used. It
	// is read so that a caller that still sends it gets the response.
	unreadTimeout = 500 * time.Millisecond
)

// Bodies is what bodies are read with.
type Bodies struct {
	// Account is the memory for callers. If it is nil, there is no limit in total.
	Account *memaccount.Account
	// Now returns the current time.
	Now func() time.Time
}

// Unread prepares for a response to a request whose body is not read to its end.
func Unread(now time.Time, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(now.Add(unreadTimeout)) // fails only without a connection
	}
}

// Read reads the request's body within the limits on its size (0: none) and on the memory
// for all. The memory is held until release is called, which is never nil. The error is a
// *verdict.Error.
func (b Bodies) Read(w http.ResponseWriter, r *http.Request, organisation string, maxBytes int64) (raw []byte, release func(), err error) {
	release = func() {}
	if r.ContentLength == 0 {
		return nil, release, nil
	}
	if maxBytes > 0 && r.ContentLength > maxBytes {
		linger(b.Now(), w, r)
		return nil, release, tooLarge()
	}
	account := b.Account
	if account == nil {
		account = memaccount.New(1 << 62)
	}
	controller := http.NewResponseController(w)
	owner := memaccount.Owner{Source: connlimit.SourceOfRequest(r).String(), Organisation: organisation}
	held := account.Open(b.Now(), owner, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	kept := false
	defer func() {
		if !kept {
			held.Release()
		}
	}()
	// What the end of the caller's connection means is decided later.
	raw, err = held.ReadAll(context.WithoutCancel(r.Context()), b.Now, r.Body, r.ContentLength, maxBytes)
	if err == nil {
		kept = true
		return raw, held.Release, nil
	}
	var tooLong *readlimit.Error
	switch {
	case errors.As(err, &tooLong):
		linger(b.Now(), w, r)
		return nil, release, tooLarge()
	case errors.Is(err, memaccount.ErrFull), errors.Is(err, memaccount.ErrEvicted):
		account.RecordRefused()
		return nil, release, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_memory", "there is no memory for the body").
			WithRetryAfter(overloadRetryAfter).WithCause(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, release, verdict.New(verdict.NotRun, http.StatusRequestTimeout, "body_too_slow", "the body arrives too slowly").WithCause(err)
	}
	return nil, release, verdict.New(verdict.NotRun, http.StatusBadRequest, "body_cut", "the body did not arrive whole").WithCause(err)
}

// linger makes net/http keep the connection open for a moment after the response to a body
// that is too large. Closing it at once would reset it, and the caller might not get the
// response. One byte over a limit of none tells net/http.
func linger(now time.Time, w http.ResponseWriter, r *http.Request) {
	Unread(now, w, r)
	_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1)) // the error is meant
}

func tooLarge() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
}
