// Package stream reads, checks and writes the server-sent events of the router's
// own API and its upstreams.
//
// The ID of an upstream's event is a Tag: the request, the attempt and the index
// within the attempt. A Sequencer drops events of other requests or attempts and
// duplicates, and restores the order of events that arrive early.
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
//		ready, err := sequencer.Accept(event)
//		if err != nil {
//			return err
//		}
//		for data := range ready {
//			_ = w.WriteData(now, data)
//		}
//	}
//
// Readers, sequencers and writers must each be used by one goroutine only.
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
	defaultMaxEventBytes = 128 << 10
	readBufferBytes      = 16 << 10
)

// ErrTooLong means that an event exceeds ReaderOptions.MaxEventBytes.
var ErrTooLong = errors.New("stream: event too long")

// Event is one server-sent event. Its fields are valid until the next call of
// Reader.Next.
type Event struct {
	ID   []byte
	Type []byte
	Data []byte
}

// ReaderOptions configures a Reader. The zero value is valid.
type ReaderOptions struct {
	// MaxEventBytes limits one event. The default is 128 KiB.
	MaxEventBytes int
}

// Reader reads server-sent events (HTML Living Standard, section 9.2.6).
type Reader struct {
	in            *bufio.Reader
	maxEventBytes int
	line          []byte
	id            []byte
	eventType     []byte
	data          []byte
	// size is the number of bytes read of the current event.
	size int
	// hasData is set if the current event has a data field.
	hasData bool
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader, opts ReaderOptions) *Reader {
	if opts.MaxEventBytes <= 0 {
		opts.MaxEventBytes = defaultMaxEventBytes
	}
	return &Reader{in: bufio.NewReaderSize(r, readBufferBytes), maxEventBytes: opts.MaxEventBytes}
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Next returns the next event that has data. It returns io.EOF if the input ends
// after a complete event, and io.ErrUnexpectedEOF if it ends within one.
func (r *Reader) Next() (Event, error) {
	r.id = r.id[:0]
	r.eventType = r.eventType[:0]
	r.data = r.data[:0]
	r.size = 0
	r.hasData = false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if len(line) > 0 {
			r.parseField(line)
			continue
		}
		if r.hasData {
			return Event{ID: r.id, Type: r.eventType, Data: r.data}, nil
		}
		r.id = r.id[:0]
		r.eventType = r.eventType[:0]
	}
}

// endError returns the error for an input that ended with err.
func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && (r.size > 0 || len(r.line) > 0) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readLine returns the next line without its line break.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.line = append(r.line, part...)
		r.size += len(part)
		if r.size > r.maxEventBytes {
			return nil, fmt.Errorf("%w: exceeds %d bytes", ErrTooLong, r.maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimSuffix(r.line, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 && !r.hasData {
			r.size = 0
		}
		return line, nil
	}
}

// parseField parses one line and stores its value. Unknown fields are ignored.
func (r *Reader) parseField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		r.hasData = true
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.eventType = append(r.eventType[:0], value...)
	}
}
