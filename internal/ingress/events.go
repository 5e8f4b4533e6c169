package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Sizes in bytes.
const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

// streamEvent is one server-sent event as received.
type streamEvent struct {
	raw []byte
	id  string
}

// eventReader splits a stream into complete events without changing them.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next event. It returns io.EOF if the stream ends after a
// complete event, and io.ErrUnexpectedEOF if it ends within one.
func (e *eventReader) next() (streamEvent, error) {
	var event streamEvent
	for {
		line, err := e.r.ReadSlice('\n')
		event.raw = append(event.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event.raw) > 0 {
			return streamEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return streamEvent{}, err
		}
		if len(event.raw) > maxEventBytes {
			return streamEvent{}, fmt.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(bytes.TrimRight(event.raw, "\r\n")) > 0 {
			return event, nil
		}
		if id, found := strings.CutPrefix(string(line), "id:"); found {
			event.id = strings.TrimSpace(id)
		}
	}
}
