// Package verdict says whether a request may have run on an upstream.
//
// Every error on the way of a request carries exactly one of three verdicts.
// A caller may repeat a request that is not idempotent only after NotRun.
//
// # Usage
//
//	err := verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no_upstream", "no live upstream").
//		WithObject("route", "lot-replies").
//		WithRetryAfter(time.Second)
//	if verdict.Of(err) == verdict.NotRun {
//		// Another attempt is safe.
//	}
//
// All types of this package are immutable values and safe for concurrent use.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the response header that carries the verdict of a request.
const Header = "Hibiscuscove-Verdict"

// Verdict says whether a request may have run. The zero value is MayHaveRun,
// the answer that is safe when nothing is known.
type Verdict uint8

const (
	// MayHaveRun means that an upstream may have received the request.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request has reached or can still reach an upstream.
	NotRun
	// Ran means that an upstream has answered the request.
	Ran
)

// String returns the verdict's name in headers and JSON.
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

// UnmarshalText implements encoding.TextUnmarshaler. It refuses unknown names.
func (v *Verdict) UnmarshalText(text []byte) error {
	for _, known := range []Verdict{MayHaveRun, NotRun, Ran} {
		if known.String() == string(text) {
			*v = known
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}

// Error is an error with a verdict and all that a caller's answer needs.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status of the answer.
	Status int
	// Code is a stable machine-readable word, in snake case.
	Code string
	// Reason is a sentence for a person.
	Reason string
	// Object and Field name what the error is about. Both may be empty.
	Object, Field string
	// RetryAfter says when to come back. Zero means that coming back is no use.
	RetryAfter time.Duration
	// Err is the cause. It is for logs and is not shown to callers.
	Err error
}

// New returns an error with the given verdict, HTTP status, code and reason.
func New(v Verdict, status int, code, reason string) *Error {
	return &Error{Verdict: v, Status: status, Code: code, Reason: reason}
}

// WithObject returns a copy that names the object and field at fault.
func (e Error) WithObject(object, field string) *Error {
	e.Object = object
	e.Field = field
	return &e
}

// WithRetryAfter returns a copy that says when to come back.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return &e
}

// WithCause returns a copy that wraps err.
func (e Error) WithCause(err error) *Error {
	e.Err = err
	return &e
}

// WithVerdict returns a copy with another verdict.
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

// Of returns the verdict that err carries, and MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// FromError returns the *Error in err's chain, or wraps err in an internal error with
// the verdict MayHaveRun.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	const internalServerError = 500
	return New(MayHaveRun, internalServerError, "internal", "internal error").WithCause(err)
}
