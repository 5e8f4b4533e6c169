// Package stream reads, checks and writes server-sent events.
//
// The events of an upstream carry a Tag: the request, the attempt and the
// index in the attempt. A Sequencer drops what belongs to another request or
// attempt, drops what comes twice, and puts early events back in order.
//
// # Usage
//
//	reader := stream.NewReader(body, stream.ReaderOptions{})
//	sequencer := stream.NewSequencer(requestID, attempt)
//	for {
//		event, err := reader.Next()
//		if err != nil {
//			return err
//		}
//		for data := range sequencer.Accept(event) {
//			_ = w.WriteData(data)
//		}
//	}
//
// Readers, sequencers and writers are for one goroutine each.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Done is the data of the event that ends an OpenAI-style stream.
const Done = "[DONE]"

const (
	defaultMaxEventBytes = 1 << 20
	readBufferBytes      = 16 << 10
)

// ErrTooLong means that an event is over the reader's bound.
var ErrTooLong = errors.New("stream: event too long")

// Event is one server-sent event. Its fields are valid until the next call of Reader.Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
}

// ReaderOptions sets up a Reader. The zero value works.
type ReaderOptions struct {
	// MaxEventBytes bounds one event. The default is 1 MiB.
	MaxEventBytes int
}

// Reader reads events (HTML Living Standard, section 9.2.6).
type Reader struct {
	in    *bufio.Reader
	limit int
	line  []byte
	id    []byte
	name  []byte
	data  []byte
	size  int
	any   bool
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader, opts ReaderOptions) *Reader {
	if opts.MaxEventBytes <= 0 {
		opts.MaxEventBytes = defaultMaxEventBytes
	}
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes), limit: opts.MaxEventBytes}
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Next returns the next event that has data. It returns io.EOF at the end
// between two events and io.ErrUnexpectedEOF inside one.
func (r *Reader) Next() (Event, error) {
	r.id = r.id[:0]
	r.name = r.name[:0]
	r.data = r.data[:0]
	r.size = 0
	r.any = false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) > 0 {
			r.field(line)
			continue
		}
		if r.any {
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		}
		r.id = r.id[:0]
		r.name = r.name[:0]
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && (r.size > 0 || len(r.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.line = append(r.line, part...)
		r.size += len(part)
		if r.size > r.limit {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, r.limit)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimSuffix(r.line, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 && !r.any {
			r.size = 0
		}
		return line, nil
	}
}

func (r *Reader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if r.any {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.any = true
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	}
}
