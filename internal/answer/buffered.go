package answer

import (
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// bufferedResponse buffers the events and sends them as one JSON body.
type bufferedResponse struct {
	opts       Options
	transcript transcript
	sent       bool
	body       []byte
}

// NewBuffered returns a Response that is sent as one JSON body when it ends.
func NewBuffered(opts Options) Response { return &bufferedResponse{opts: opts.withDefaults()} }

// Started implements Response.
func (s *bufferedResponse) Started() bool { return s.sent }

// Restart implements Response.
func (s *bufferedResponse) Restart() { s.transcript.reset() }

// SetClaimed implements Response.
func (s *bufferedResponse) SetClaimed() {}

// Text implements Response.
func (s *bufferedResponse) Text() string { return s.transcript.text() }

// Finished implements Response. It returns false because a buffered response
// can be restarted instead.
func (s *bufferedResponse) Finished() bool { return false }

// Flush implements Response.
func (s *bufferedResponse) Flush() error { return nil }

// SendError implements Response.
func (s *bufferedResponse) SendError(error) {}

// WriteEvent implements Response.
func (s *bufferedResponse) WriteEvent(_ time.Time, data []byte) error {
	s.transcript.add(data)
	if int64(len(s.transcript.raw)) > s.opts.MaxBytes {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	return nil
}

// End implements Response.
func (s *bufferedResponse) End(time.Time) error {
	body, err := s.transcript.assemble(s.opts.Chat)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad_answer", "the upstream's answer can't be joined").WithCause(err)
	}
	s.sent = true
	s.body = body
	s.opts.W.Header().Set(verdict.Header, verdict.Ran.String())
	WriteRecord(s.opts.W, s.Record())
	return nil
}

// Record implements Response.
func (s *bufferedResponse) Record() Record {
	return Record{Status: http.StatusOK, ContentType: "application/json", Body: s.body}
}
