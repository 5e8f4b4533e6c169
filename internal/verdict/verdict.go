// Package verdict defines errors that state whether a request may have run on an
// upstream.
//
// Every error of a request carries exactly one of three verdicts. A caller may
// retry a request that is not idempotent only after NotRun.
//
// # Usage
//
//	err := verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_upstream", "no live upstream").
//		WithObject("route/lot-replies", "").
//		WithRetryAfter(time.Second)
//	if verdict.Of(err) == verdict.NotRun {
//		// It is safe to retry the request.
//	}
//
// All types of this package are immutable values and safe for concurrent use.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the response header that holds the verdict of a request.
const Header = "Hibiscuscove-Verdict"

// Verdict states whether a request may have run. The zero value is MayHaveRun,
// which is the safe assumption when nothing is known.
type Verdict uint8

const (
	// MayHaveRun means that an upstream may have received the request.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has run the request or can still run it: no byte
	// of it has reached or can still reach an upstream, or the upstream rejected it
	// without starting it.
	NotRun
	// Ran means that an upstream has responded to the request.
	Ran
)

// String returns the name of the verdict as used in headers and JSON.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for
// unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{MayHaveRun, NotRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Error is an error with a verdict and the content of the response to the caller.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status of the response.
	Status int
	// Code is a stable machine-readable identifier in snake case.
	Code string
	// Reason is a human-readable message.
	Reason string
	// Object and Field name the object that the error is about and the field in
	// it. Both may be empty.
	Object, Field string
	// RetryAfter is how long the caller should wait before a retry. Zero means
	// that a retry will not help.
	RetryAfter time.Duration
	// Err is the cause. It is logged and not sent to callers.
	Err error
}

// New returns an error with the given verdict, HTTP status, code and reason.
func New(v Verdict, status int, code, reason string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Reason: reason}
}

// WithObject returns a copy with the object and field that caused the error.
func (e Error) WithObject(object, field string) *Error {
	e.Object = object
	e.Field = field
	return &e
}

// WithRetryAfter returns a copy with the time to wait before a retry.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return &e
}

// WithCause returns a copy that wraps err.
func (e Error) WithCause(err error) *Error {
	e.Err = err
	return &e
}

// WithVerdict returns a copy with the given verdict.
func (e Error) WithVerdict(v Verdict) *Error {
	e.Verdict = v
	return &e
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Code + ": " + e.Reason
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Object != "" {
		text = e.Object + ": " + text
	}
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %v", text, e.Verdict, e.Err)
	}
	return fmt.Sprintf("%s (%s)", text, e.Verdict)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of the *Error in err's chain, or MayHaveRun if there is
// none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// FromError returns the *Error in err's chain. If there is none, it wraps err in
// an internal error with status 500 and the verdict MayHaveRun.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	const internalServerError = 500
	return New(MayHaveRun, internalServerError, "internal", "internal error").WithCause(err)
}
