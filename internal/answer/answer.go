// Package answer writes the events of a model's response to the caller, as an
// event stream or joined into one JSON body.
//
// # Usage
//
//	resp := answer.NewStream(answer.Options{W: w, Now: time.Now})
//	for data := range events {
//		if err := resp.WriteEvent(now, data); err != nil {
//			return err
//		}
//	}
//	return resp.End(now)
//
// A Response must be used by one goroutine only.
package answer

import (
	"errors"
	"net/http"
	"time"
)

// maxTranscriptBytes limits the events that a stream buffers so that another
// upstream can continue it. A longer stream can't be continued.
const maxTranscriptBytes = 256 << 10

// ErrCallerGone means that the caller can no longer be written to.
var ErrCallerGone = errors.New("answer: the caller has disconnected")

// Response writes a model's response to the caller. Its events must be written
// in order, each once.
type Response interface {
	// Started reports whether any part of the response was sent to the caller.
	Started() bool
	// Restart discards the events so far. It has no effect once Started.
	Restart()
	// Text returns the text so far if another upstream can continue the response
	// from it, and "" otherwise.
	Text() string
	// Finished reports whether the caller has all content of the response, so
	// that the response can be ended although the upstream's stream broke off.
	Finished() bool
	// SetClaimed marks the response as one for the ledger: it is recorded, and
	// completed even if its caller disconnects.
	SetClaimed()
	// WriteEvent adds the data of one event. The error wraps ErrCallerGone if the
	// caller can't be written to and the response is not claimed, and is a
	// *verdict.Error if a buffered response exceeds Options.MaxBytes.
	WriteEvent(now time.Time, data []byte) error
	// Flush sends the events written so far.
	Flush() error
	// End completes the response and sends it.
	End(now time.Time) error
	// SendError ends a stream that has started with an error event.
	SendError(err error)
	// Record returns the completed response for the ledger.
	Record() Record
}

// Record is a response as it is stored in the ledger.
type Record struct {
	Status      int
	ContentType string
	Body        []byte
}

// Options configures a Response. W and Now are required.
type Options struct {
	W   http.ResponseWriter
	Now func() time.Time
	// WriteTimeout limits one write to the caller. The default is 30 s.
	WriteTimeout time.Duration
	// MaxBytes limits a response that is buffered or recorded, in bytes. The
	// default is 16 MiB.
	MaxBytes int64
	// Continuable buffers the events of a stream so that another upstream can continue it.
	Continuable bool
	// Chat is set for chat completions and unset for completions.
	Chat bool
}

func (o Options) withDefaults() Options {
	const defaultMaxBytes = 16 << 20
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return o
}

// WriteRecord writes the status, content type and body of a response.
func WriteRecord(w http.ResponseWriter, r Record) {
	if r.ContentType != "" {
		w.Header().Set("Content-Type", r.ContentType)
	}
	w.WriteHeader(r.Status)
	_, _ = w.Write(r.Body)
}
