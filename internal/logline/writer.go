// Package logline provides a log writer that never blocks. Lines go through a
// bounded queue to a goroutine that writes them at a limited rate. Lines that do
// not fit in the queue are dropped and counted, and the count is logged.
//
// # Usage
//
//	w := logline.NewWriter(os.Stdout, logline.Options{})
//	go w.Run(ctx)
//	log := zerolog.New(w)
//
// A Writer is safe for concurrent use.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/ring"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	defaultCapacity  = 2048
	defaultPerSecond = 400
	maxBatch         = 64
	flushInterval    = 50 * time.Millisecond
)

// Options configures a Writer. The zero value selects the defaults.
type Options struct {
	// Capacity is the maximum number of queued lines. The default is 2048.
	Capacity int
	// PerSecond is the maximum number of lines written per second. The default is 400.
	PerSecond int
}

// Writer queues log lines, which Run writes to an io.Writer.
type Writer struct {
	out     io.Writer
	opts    Options
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer, opts Options) *Writer {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.PerSecond <= 0 {
		opts.PerSecond = defaultPerSecond
	}
	return &Writer{out: out, opts: opts, lines: ring.New[[]byte](ring.Options{Capacity: opts.Capacity})}
}

// Write implements io.Writer. It queues one line, or drops it if the queue is full.
// It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full or the
// write failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then the lines that are still queued.
func (w *Writer) Run(ctx context.Context) {
	reported := int64(0)
	for ctx.Err() == nil {
		lines, err := w.lines.PopBatch(ctx, maxBatch)
		if err != nil {
			break
		}
		w.writeLines(lines)
		if dropped := w.dropped.Load(); dropped > reported {
			w.writeLines([][]byte{fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped-reported)})
			reported = dropped
		}
		wait.For(ctx, max(flushInterval, time.Duration(len(lines))*time.Second/time.Duration(w.opts.PerSecond)))
	}
	for {
		lines, err := w.lines.PopBatch(ctx, maxBatch)
		if err != nil || len(lines) == 0 {
			return
		}
		w.writeLines(lines)
	}
}

func (w *Writer) writeLines(lines [][]byte) {
	var buf []byte
	for _, line := range lines {
		buf = append(buf, line...)
	}
	if _, err := w.out.Write(buf); err != nil {
		w.dropped.Add(int64(len(lines)))
	}
}
