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

// streamed passes events on to the caller.
type streamed struct {
	opts   Options
	writer *stream.Writer
	open   bool
	// kept is what the answer goes on from elsewhere, if it may.
	kept    *transcript
	claimed bool
	record  bytes.Buffer
}

// NewStream returns an Answer that the caller gets as a stream.
func NewStream(opts Options) Answer {
	opts = opts.withDefaults()
	writer := stream.NewWriter(opts.W, stream.WriterOptions{WriteTimeout: opts.WriteTimeout})
	s := &streamed{opts: opts, writer: writer}
	if opts.KeepText {
		s.kept = &transcript{limit: maxKeptBytes}
	}
	return s
}

// Begun implements Answer.
func (s *streamed) Begun() bool { return s.open }

// Restart implements Answer.
func (s *streamed) Restart() {}

// Claimed implements Answer.
func (s *streamed) Claimed() { s.claimed = true }

// Text implements Answer.
func (s *streamed) Text() string {
	if s.kept == nil {
		return ""
	}
	return s.kept.text()
}

// Finished implements Answer.
func (s *streamed) Finished() bool {
	if s.kept == nil {
		return false
	}
	piece := s.kept.read()
	return piece.Plain && piece.Finished
}

// Event implements Answer.
func (s *streamed) Event(now time.Time, data []byte) error {
	s.begin()
	if s.kept != nil {
		s.kept.add(data)
	}
	return s.write(now, data)
}

func (s *streamed) begin() {
	if !s.open {
		s.writer.WriteHeader(http.StatusOK)
		s.open = true
	}
}

func (s *streamed) write(now time.Time, data []byte) error {
	if s.claimed && int64(s.record.Len()) <= s.opts.MaxBytes {
		fmt.Fprintf(&s.record, "data: %s\n\n", data)
	}
	return s.lost(s.writer.WriteData(now, data))
}

// lost handles a caller that can't be written to. A claimed answer goes on
// without its caller.
func (s *streamed) lost(err error) error {
	if err == nil || s.claimed {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, err)
}

// Flush implements Answer.
func (s *streamed) Flush() error {
	if !s.open {
		return nil
	}
	return s.lost(s.writer.Flush())
}

// End implements Answer.
func (s *streamed) End(now time.Time) error {
	s.begin()
	if err := s.write(now, []byte(stream.Done)); err != nil {
		return err
	}
	return s.Flush()
}

// Recorded implements Answer.
func (s *streamed) Recorded() Record {
	return Record{Status: http.StatusOK, ContentType: "text/event-stream", Body: s.record.Bytes()}
}

// Fail implements Answer.
func (s *streamed) Fail(err error) {
	data, encodeErr := json.Marshal(openai.NewErrorBody(err))
	if encodeErr != nil {
		return
	}
	if s.writer.WriteData(s.opts.Now(), data) == nil {
		_ = s.writer.Flush()
	}
}
