package request

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// maxKeptBytes bounds what a stream keeps to go on from elsewhere.
const maxKeptBytes = 256 << 10

// sink takes the events of a model's answer, in order and each once.
type sink interface {
	// begun reports whether the caller has seen any of the answer.
	begun() bool
	// restartable reports whether the answer can start anew.
	restartable() bool
	// restart forgets the answer so far.
	restart()
	// text is the text so far, if it is kept.
	text() string
	event(now time.Time, data []byte) error
	flush() error
	end(now time.Time) error
	// fail ends an answer that has begun with an explicit error.
	fail(err error)
}

// streamSink passes events on to the caller.
type streamSink struct {
	j      *job
	writer *stream.Writer
	open   bool
	// kept is what an answer goes on from elsewhere, if the pool allows that.
	kept *transcript
	// record keeps the answer of a claimed request for the ledger.
	record bytes.Buffer
}

func newStreamSink(j *job) *streamSink {
	writer := stream.NewWriter(j.w, stream.WriterOptions{WriteTimeout: j.h.callerTimeout()})
	s := &streamSink{j: j, writer: writer}
	if j.pool.ContinuesAnswers {
		s.kept = &transcript{limit: maxKeptBytes}
	}
	return s
}

func (s *streamSink) begun() bool       { return s.open }
func (s *streamSink) restartable() bool { return !s.open }
func (s *streamSink) restart()          {}

func (s *streamSink) text() string {
	if s.kept == nil {
		return ""
	}
	return s.kept.text()
}

func (s *streamSink) event(now time.Time, data []byte) error {
	if !s.open {
		s.writer.WriteHeader(http.StatusOK)
		s.open = true
	}
	if s.kept != nil {
		s.kept.add(data)
	}
	return s.write(now, data)
}

func (s *streamSink) write(now time.Time, data []byte) error {
	if s.j.grant != nil && s.record.Len() <= int(s.j.h.opts.MaxAnswerBytes) {
		fmt.Fprintf(&s.record, "data: %s\n\n", data)
	}
	if err := s.writer.WriteData(now, data); err != nil {
		return s.lost(err)
	}
	return nil
}

// lost handles a caller that can't be written to. A claimed request goes on
// without its caller.
func (s *streamSink) lost(err error) error {
	if s.j.grant != nil {
		return nil
	}
	return fmt.Errorf("%w: %w", errCallerGone, err)
}

func (s *streamSink) flush() error {
	if !s.open {
		return nil
	}
	if err := s.writer.Flush(); err != nil {
		return s.lost(err)
	}
	return nil
}

func (s *streamSink) end(now time.Time) error {
	if !s.open {
		s.writer.WriteHeader(http.StatusOK)
		s.open = true
	}
	if err := s.write(now, []byte(stream.Done)); err != nil {
		return err
	}
	s.j.outcome = ledger.Outcome{
		Verdict:     verdict.Ran,
		Status:      http.StatusOK,
		ContentType: "text/event-stream",
		Body:        s.record.Bytes(),
	}
	return s.flush()
}

func (s *streamSink) fail(err error) {
	data, encodeErr := json.Marshal(openai.NewErrorBody(err))
	if encodeErr != nil {
		return
	}
	if s.writer.WriteData(s.j.h.opts.Now(), data) == nil {
		_ = s.writer.Flush()
	}
}

// wholeSink joins the events into one answer.
type wholeSink struct {
	j    *job
	chat bool
	kept transcript
	sent bool
}

func newWholeSink(j *job, chat bool) *wholeSink { return &wholeSink{j: j, chat: chat} }

func (s *wholeSink) begun() bool       { return s.sent }
func (s *wholeSink) restartable() bool { return !s.sent }
func (s *wholeSink) restart()          { s.kept.reset() }
func (s *wholeSink) text() string      { return s.kept.text() }
func (s *wholeSink) flush() error      { return nil }
func (s *wholeSink) fail(error)        {}

func (s *wholeSink) event(_ time.Time, data []byte) error {
	s.kept.add(data)
	if int64(len(s.kept.raw)) > s.j.h.opts.MaxAnswerBytes {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	return nil
}

func (s *wholeSink) end(time.Time) error {
	body, err := s.kept.whole(s.chat)
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "bad_answer", "the upstream's answer can't be joined").WithCause(err)
	}
	s.sent = true
	s.j.outcome = ledger.Outcome{Verdict: verdict.Ran, Status: http.StatusOK, ContentType: "application/json", Body: body}
	s.j.w.Header().Set(verdict.Header, verdict.Ran.String())
	s.j.writeWhole(http.StatusOK, "application/json", body)
	return nil
}
