package stream

import (
	"fmt"
	"net/http"
	"time"
)

const defaultWriteTimeout = 30 * time.Second

// WriterOptions sets up a Writer. The zero value works.
type WriterOptions struct {
	// WriteTimeout bounds one write to a slow caller. The default is 30 s.
	WriteTimeout time.Duration
}

// Writer writes events to a caller. It holds no more than one event.
type Writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	deadline   time.Time
	buf        []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w http.ResponseWriter, opts WriterOptions) *Writer {
	if opts.WriteTimeout <= 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	return &Writer{w: w, controller: http.NewResponseController(w), timeout: opts.WriteTimeout}
}

// WriteHeader sends the status and headers of an event stream.
func (w *Writer) WriteHeader(status int) {
	h := w.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.w.WriteHeader(status)
}

// WriteData writes an event with the given data, which has no line breaks.
func (w *Writer) WriteData(now time.Time, data []byte) error {
	w.extend(now)
	w.buf = append(w.buf[:0], "data: "...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\n\n"...)
	if _, err := w.w.Write(w.buf); err != nil {
		return fmt.Errorf("stream: write: %w", err)
	}
	return nil
}

// extend moves the write deadline at most once in a quarter of the timeout.
func (w *Writer) extend(now time.Time) {
	if w.deadline.Sub(now) > w.timeout {
		return
	}
	w.deadline = now.Add(w.timeout + w.timeout/4)
	_ = w.controller.SetWriteDeadline(w.deadline)
}

// Flush sends what has been written.
func (w *Writer) Flush() error {
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("stream: flush: %w", err)
	}
	return nil
}
