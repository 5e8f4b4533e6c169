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
func (b *bufferedResponse) Started() bool { return b.sent }

// Restart implements Response.
func (b *bufferedResponse) Restart() { b.transcript.reset() }

// SetClaimed implements Response.
func (b *bufferedResponse) SetClaimed() {}

// Text implements Response.
func (b *bufferedResponse) Text() string { return b.transcript.text() }

// Finished implements Response. It returns false because a buffered response
// can be restarted instead.
func (b *bufferedResponse) Finished() bool { return false }

// Flush implements Response.
func (b *bufferedResponse) Flush() error { return nil }

// SendError implements Response.
func (b *bufferedResponse) SendError(error) {}

// WriteEvent implements Response.
func (b *bufferedResponse) WriteEvent(_ time.Time, data []byte) error {
	b.transcript.add(data)
	if int64(len(b.transcript.raw)) > b.opts.MaxBytes {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	return nil
}

// End implements Response.
func (b *bufferedResponse) End(time.Time) error {
	body, err := b.transcript.assemble(b.opts.Chat)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad_answer", "the upstream's answer can't be joined").WithCause(err)
	}
	b.sent = true
	b.body = body
	b.opts.W.Header().Set(verdict.Header, verdict.Ran.String())
	WriteRecord(b.opts.W, b.Record())
	return nil
}

// Record implements Response.
func (b *bufferedResponse) Record() Record {
	return Record{Status: http.StatusOK, ContentType: "application/json", Body: b.body}
}
