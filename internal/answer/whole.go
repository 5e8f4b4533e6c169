package answer

import (
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// whole joins the events into one answer.
type whole struct {
	opts Options
	kept transcript
	sent bool
	body []byte
}

// NewWhole returns an Answer that the caller gets in one piece.
func NewWhole(opts Options) Answer { return &whole{opts: opts.withDefaults()} }

// Begun implements Answer.
func (s *whole) Begun() bool { return s.sent }

// Restart implements Answer.
func (s *whole) Restart() { s.kept.reset() }

// Claimed implements Answer.
func (s *whole) Claimed() {}

// Text implements Answer.
func (s *whole) Text() string { return s.kept.text() }

// Finished implements Answer. An answer in one piece can start anew instead.
func (s *whole) Finished() bool { return false }

// Flush implements Answer.
func (s *whole) Flush() error { return nil }

// Fail implements Answer.
func (s *whole) Fail(error) {}

// Event implements Answer.
func (s *whole) Event(_ time.Time, data []byte) error {
	s.kept.add(data)
	if int64(len(s.kept.raw)) > s.opts.MaxBytes {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	return nil
}

// End implements Answer.
func (s *whole) End(time.Time) error {
	body, err := s.kept.whole(s.opts.Chat)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad_answer", "the upstream's answer can't be joined").WithCause(err)
	}
	s.sent = true
	s.body = body
	s.opts.W.Header().Set(verdict.Header, verdict.Ran.String())
	WriteWhole(s.opts.W, s.Recorded())
	return nil
}

// Recorded implements Answer.
func (s *whole) Recorded() Record {
	return Record{Status: http.StatusOK, ContentType: "application/json", Body: s.body}
}
