package stream

import (
	"fmt"
	"net/http"
	"time"
)

const defaultWriteTimeout = 30 * time.Second

// WriterOptions configures a Writer. The zero value is valid.
type WriterOptions struct {
	// WriteTimeout limits one write to a slow caller. The default is 30 s.
	WriteTimeout time.Duration
}

// Writer writes events to a caller. It buffers at most one event.
type Writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	deadline   time.Time
	buf        []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w http.ResponseWriter, opts WriterOptions) *Writer {
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	return &Writer{w: w, controller: http.NewResponseController(w), timeout: opts.WriteTimeout}
}

// WriteHeader writes the status and header fields of an event stream.
func (w *Writer) WriteHeader(status int) {
	h := w.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.w.WriteHeader(status)
}

// WriteData writes an event with the given data, which must not contain line breaks.
func (w *Writer) WriteData(now time.Time, data []byte) error {
	w.extendDeadline(now)
	w.buf = append(w.buf[:0], "data: "...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\n\n"...)
	if _, err := w.w.Write(w.buf); err != nil {
		return fmt.Errorf("stream: write: %w", err)
	}
	return nil
}

// extendDeadline extends the write deadline, at most once per quarter of the timeout.
func (w *Writer) extendDeadline(now time.Time) {
	if w.deadline.Sub(now) > w.timeout {
		return
	}
	w.deadline = now.Add(w.timeout + w.timeout/4)
	_ = w.controller.SetWriteDeadline(w.deadline)
}

// Flush sends the events written so far.
func (w *Writer) Flush() error {
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("stream: flush: %w", err)
	}
	return nil
}
