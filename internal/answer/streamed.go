package answer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
)

// streamedResponse forwards events to the caller as they arrive.
type streamedResponse struct {
	opts     Options
	writer   *stream.Writer
	headSent bool
	// transcript is nil if other upstreams must not continue the response.
	transcript *transcript
	claimed    bool
	record     bytes.Buffer
}

// NewStream returns a Response that is sent as an event stream.
func NewStream(opts Options) Response {
	opts = opts.withDefaults()
	writer := stream.NewWriter(opts.W, stream.WriterOptions{WriteTimeout: opts.WriteTimeout})
	s := &streamedResponse{opts: opts, writer: writer}
	if opts.Continuable {
		s.transcript = &transcript{limit: maxTranscriptBytes}
	}
	return s
}

// Started implements Response.
func (s *streamedResponse) Started() bool { return s.headSent }

// Restart implements Response.
func (s *streamedResponse) Restart() {}

// SetClaimed implements Response.
func (s *streamedResponse) SetClaimed() { s.claimed = true }

// Text implements Response.
func (s *streamedResponse) Text() string {
	if s.transcript == nil {
		return ""
	}
	return s.transcript.text()
}

// Finished implements Response.
func (s *streamedResponse) Finished() bool {
	if s.transcript == nil {
		return false
	}
	delta := s.transcript.parse()
	return delta.TextOnly && delta.Finished
}

// WriteEvent implements Response.
func (s *streamedResponse) WriteEvent(now time.Time, data []byte) error {
	s.sendHead()
	if s.transcript != nil {
		s.transcript.add(data)
	}
	return s.sendEvent(now, data)
}

// sendHead sends the head of the response, once.
func (s *streamedResponse) sendHead() {
	if !s.headSent {
		s.writer.WriteHeader(http.StatusOK)
		s.headSent = true
	}
}

// sendEvent sends one event, and records it if the response is for the ledger.
func (s *streamedResponse) sendEvent(now time.Time, data []byte) error {
	if s.claimed && int64(s.record.Len()) <= s.opts.MaxBytes {
		fmt.Fprintf(&s.record, "data: %s\n\n", data)
	}
	return s.callerError(s.writer.WriteData(now, data))
}

// callerError converts an error of writing to the caller. It returns nil if the
// response is for the ledger, because that is completed without its caller.
func (s *streamedResponse) callerError(err error) error {
	if err == nil || s.claimed {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, err)
}

// Flush implements Response.
func (s *streamedResponse) Flush() error {
	if !s.headSent {
		return nil
	}
	return s.callerError(s.writer.Flush())
}

// End implements Response.
func (s *streamedResponse) End(now time.Time) error {
	s.sendHead()
	if err := s.sendEvent(now, []byte(stream.Done)); err != nil {
		return err
	}
	return s.Flush()
}

// Record implements Response.
func (s *streamedResponse) Record() Record {
	return Record{Status: http.StatusOK, ContentType: "text/event-stream", Body: s.record.Bytes()}
}

// SendError implements Response.
func (s *streamedResponse) SendError(err error) {
	data, encodeErr := json.Marshal(openai.NewErrorBody(err))
	if encodeErr != nil {
		return
	}
	if s.writer.WriteData(s.opts.Now(), data) == nil {
		_ = s.writer.Flush()
	}
}
