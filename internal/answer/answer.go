// Package answer gives the events of a model's answer to the caller: as a
// stream, or joined into one.
//
// # Usage
//
//	a := answer.NewStream(answer.Options{W: w, Now: time.Now})
//	for data := range events {
//		if err := a.Event(now, data); err != nil {
//			return err
//		}
//	}
//	return a.End(now)
//
// An Answer is for one goroutine.
package answer

import (
	"errors"
	"net/http"
	"time"
)

// maxKeptBytes bounds what a stream keeps to go on from elsewhere.
const maxKeptBytes = 256 << 10

// ErrCallerGone means that the caller can't be written to any more.
var ErrCallerGone = errors.New("answer: the caller has gone")

// Answer takes the events of a model's answer, in order and each once.
type Answer interface {
	// Begun reports whether the caller has seen any of the answer.
	Begun() bool
	// Restart forgets the answer so far. It has no effect once Begun.
	Restart()
	// Text is the text so far, if the answer can go on from it elsewhere.
	Text() string
	// Finished reports whether the caller has all of the answer's content, so
	// that it can end although the upstream's stream did not.
	Finished() bool
	// Claimed says that the answer goes to the ledger: it is recorded, and goes
	// on without its caller.
	Claimed()
	// Event takes the data of one event.
	Event(now time.Time, data []byte) error
	// Flush sends what has been taken.
	Flush() error
	// End ends the answer.
	End(now time.Time) error
	// Fail ends an answer that has begun with an explicit error.
	Fail(err error)
	// Recorded returns an answer that has ended, for the ledger.
	Recorded() Record
}

// Record is an answer as the ledger keeps it.
type Record struct {
	Status      int
	ContentType string
	Body        []byte
}

// Options sets up an Answer. W and Now are required.
type Options struct {
	W   http.ResponseWriter
	Now func() time.Time
	// WriteTimeout bounds one write to the caller. The default is 30 s.
	WriteTimeout time.Duration
	// MaxBytes bounds an answer that is held whole. The default is 16 MiB.
	MaxBytes int64
	// KeepText says that an answer may go on elsewhere from its text.
	KeepText bool
	// Chat tells chat completions from completions.
	Chat bool
}

func (o Options) withDefaults() Options {
	const defaultMaxBytes = 16 << 20
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return o
}

// WriteWhole writes a status, a content type and a body.
func WriteWhole(w http.ResponseWriter, r Record) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
