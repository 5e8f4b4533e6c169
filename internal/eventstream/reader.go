// Package eventstream splits a stream of server-sent events into its events and
// keeps their bytes unchanged.
//
// # Usage
//
//	events := eventstream.New(response.Body)
//	for {
//		event, err := events.Next()
//		if errors.Is(err, io.EOF) {
//			break // the stream ended after a complete event
//		}
//		if err != nil {
//			return err
//		}
//		w.Write(event.Raw)
//	}
//
// A Reader must be used by one goroutine only.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
)

// Sizes in bytes. maxEventBytes also limits a line.
const (
	bufferBytes    = 2 << 10
	maxEventBytes  = 128 << 10
	maxStreamBytes = 64 << 20
)

// ErrNoField means that the name of a field holds a blank or a control byte. Readers of
// events ignore such a line, but it comes from something else: the status line of a response,
// or the text of an error.
var ErrNoField = errors.New("eventstream: a line is no field of an event")

// Event is one server-sent event.
type Event struct {
	// Raw holds the bytes of the event with the empty line at its end.
	Raw []byte
	// ID is the value of the last id field, or empty.
	ID string
	// Comment is set if the event consists of comments.
	Comment bool
}

// Reader reads events of up to 128 KiB from a stream of up to 64 MiB.
type Reader struct {
	r *bufio.Reader
	// read is the number of bytes read of the stream.
	read int
	// begun is set once an event was returned.
	begun bool
}

// New returns a Reader of the events in r.
func New(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes)}
}

// Next returns the next event. Empty lines after the last event are returned as one
// without fields. It returns io.EOF if the stream ends after a complete event or has
// none, io.ErrUnexpectedEOF if it ends within one, a *readlimit.Error if the event or
// the stream is too long, and ErrNoField for a line that is none.
func (r *Reader) Next() (Event, error) {
	var event Event
	hasField, hasName := false, false
	lineStart := 0
	for {
		part, err := r.r.ReadSlice('\n')
		r.read += len(part)
		if len(event.Raw)+len(part) > maxEventBytes {
			return Event{}, readlimit.Bytes("event", maxEventBytes)
		}
		if r.read > maxStreamBytes {
			return Event{}, readlimit.Bytes("stream", maxStreamBytes)
		}
		event.Raw = append(event.Raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && (hasField || lineStart < len(event.Raw)) {
			return Event{}, io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) && r.begun && len(event.Raw) > 0 {
			return event, nil
		}
		if err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(event.Raw[lineStart:], "\r\n")
		lineStart = len(event.Raw)
		if len(line) == 0 && hasField {
			r.begun = true
			event.Comment = !hasName
			return event, nil
		}
		if !hasFieldName(line) {
			return Event{}, ErrNoField
		}
		hasField = hasField || len(line) > 0
		hasName = hasName || len(line) > 0 && line[0] != ':'
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// hasFieldName reports whether the name in a line, if there is one, may be that of a field.
func hasFieldName(line []byte) bool {
	for _, c := range line {
		switch {
		case c == ':':
			return true
		case c == '\r': // lines may also end with it alone
		case c <= ' ' || c == '\x7f':
			return false
		}
	}
	return true
}
