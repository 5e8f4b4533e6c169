// Package logline writes log lines without ever holding up those who log: lines
// go through a bounded ring to a duty of its own, at a bounded rate. Lines that
// find no room are counted, and the count is told in a line of its own.
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
	batch            = 64
	flushPeriod      = 50 * time.Millisecond
)

// Options sets up a Writer. The zero value works.
type Options struct {
	// Capacity is the largest number of lines that wait. The default is 2048.
	Capacity int
	// PerSecond is the largest number of lines written in a second. The default is 400.
	PerSecond int
}

// Writer takes lines.
type Writer struct {
	out     io.Writer
	opts    Options
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer, opts Options) *Writer {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultCapacity
	}
	if opts.PerSecond <= 0 {
		opts.PerSecond = defaultPerSecond
	}
	return &Writer{out: out, opts: opts, lines: ring.New[[]byte](ring.Options{Capacity: opts.Capacity})}
}

// Write implements io.Writer. It takes one line and never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.lines.TryPush(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have found no room.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, then what is left.
func (w *Writer) Run(ctx context.Context) {
	told := int64(0)
	for ctx.Err() == nil {
		lines, err := w.lines.PopBatch(ctx, batch)
		if err != nil {
			break
		}
		w.write(lines)
		if dropped := w.dropped.Load(); dropped > told {
			w.write([][]byte{fmt.Appendf(nil, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log lines dropped\"}\n", dropped-told)})
			told = dropped
		}
		wait.For(ctx, max(flushPeriod, time.Duration(len(lines))*time.Second/time.Duration(w.opts.PerSecond)))
	}
	for {
		lines, err := w.lines.PopBatch(ctx, batch)
		if err != nil || len(lines) == 0 {
			return
		}
		w.write(lines)
	}
}

func (w *Writer) write(lines [][]byte) {
	var all []byte
	for _, line := range lines {
		all = append(all, line...)
	}
	if _, err := w.out.Write(all); err != nil {
		w.dropped.Add(int64(len(lines)))
	}
}
