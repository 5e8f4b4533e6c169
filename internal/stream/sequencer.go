package stream

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strconv"
)

// maxEarlyEvents limits the events that are buffered while one before them is
// missing.
const maxEarlyEvents = 64

// ErrGap means that an event is missing and too many later ones have arrived, so
// that the stream must be resumed.
var ErrGap = errors.New("stream: events missing")

// Tag identifies an event by its request, its attempt and its index in the attempt.
type Tag struct {
	Request string
	Attempt int
	Index   int
}

// String encodes the tag as the ID of an event.
func (t Tag) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Request, t.Attempt, t.Index)
}

// ParseTag decodes the ID of an event. It returns false if the ID is not a tag.
func ParseTag(id []byte) (Tag, bool) {
	last := bytes.LastIndexByte(id, '/')
	if last < 0 {
		return Tag{}, false
	}
	middle := bytes.LastIndexByte(id[:last], '/')
	if middle < 0 {
		return Tag{}, false
	}
	attempt, attemptErr := strconv.Atoi(string(id[middle+1 : last]))
	index, indexErr := strconv.Atoi(string(id[last+1:]))
	if attemptErr != nil || indexErr != nil || attempt < 0 || index < 0 {
		return Tag{}, false
	}
	return Tag{Request: string(id[:middle]), Attempt: attempt, Index: index}, true
}

// Sequencer restores the order of the events of one attempt.
type Sequencer struct {
	// prefix is the part of the ID before the index.
	prefix []byte
	next   int
	// early holds the data of events after next, by index.
	early   map[int][]byte
	dropped int
}

// NewSequencer returns a Sequencer that expects event 0 of the attempt first.
func NewSequencer(request string, attempt int) *Sequencer {
	prefix := fmt.Appendf(nil, "%s/%d/", request, attempt)
	return &Sequencer{prefix: prefix}
}

// Next returns the index of the next expected event.
func (s *Sequencer) Next() int { return s.next }

// Dropped returns the number of dropped events: duplicates, those of other
// attempts and those without a tag.
func (s *Sequencer) Dropped() int { return s.dropped }

// HasGap reports whether events are buffered because one before them is missing.
func (s *Sequencer) HasGap() bool { return len(s.early) > 0 }

// Accept adds one event and returns the data that can now be delivered in order.
// The sequence must be consumed before the next call of Accept or Reader.Next,
// and its data must not be used after that. The error wraps ErrGap if too many
// events are buffered because one before them is missing.
func (s *Sequencer) Accept(event Event) (iter.Seq[[]byte], error) {
	index, ok := s.parseIndex(event.ID)
	switch {
	case !ok || index < s.next:
		s.dropped++
		return emptySeq, nil
	case index > s.next:
		return emptySeq, s.bufferEarly(index, event.Data)
	default:
		return s.inOrder(event.Data), nil
	}
}

// emptySeq yields nothing.
func emptySeq(func([]byte) bool) {}

// parseIndex returns the index in an event ID, or false if the event belongs to
// another attempt or has no tag.
func (s *Sequencer) parseIndex(id []byte) (int, bool) {
	digits, ok := bytes.CutPrefix(id, s.prefix)
	if !ok || len(digits) == 0 {
		return 0, false
	}
	index := 0
	for _, c := range digits {
		// The limit on the index prevents an overflow.
		if c < '0' || c > '9' || index > 1<<40 {
			return 0, false
		}
		index = index*10 + int(c-'0')
	}
	return index, true
}

// bufferEarly buffers an event that arrived early.
func (s *Sequencer) bufferEarly(index int, data []byte) error {
	if s.early == nil {
		s.early = make(map[int][]byte)
	}
	if _, duplicate := s.early[index]; duplicate {
		s.dropped++
		return nil
	}
	if len(s.early) == maxEarlyEvents {
		return fmt.Errorf("%w: index %d", ErrGap, s.next)
	}
	s.early[index] = bytes.Clone(data)
	return nil
}

// inOrder yields the data of the next event, followed by the buffered events that
// are now in order.
func (s *Sequencer) inOrder(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for found := true; found; {
			s.next++
			if !yield(data) {
				return
			}
			data, found = s.early[s.next]
			delete(s.early, s.next)
		}
	}
}
