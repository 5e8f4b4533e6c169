package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	eventBuffer   = 2 << 10
	maxEventBytes = 1 << 20
)

// streamEvent is one event, to the letter.
type streamEvent struct {
	raw []byte
	id  string
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next event. It returns io.EOF only at the end of a whole
// event, and io.ErrUnexpectedEOF where the stream breaks off within one.
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
			return streamEvent{}, fmt.Errorf("event over %d bytes", maxEventBytes)
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
