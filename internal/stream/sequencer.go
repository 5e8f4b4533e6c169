package stream

import (
	"bytes"
	"errors"
	"fmt"
	"iter"
	"strconv"
)

const maxEarlyEvents = 64

// ErrGap means that so many events are missing that the stream must be resumed.
var ErrGap = errors.New("stream: events missing")

// Tag says which request, attempt and index an event belongs to.
type Tag struct {
	Request string
	Attempt int
	Index   int
}

// String returns the tag as the ID of an event.
func (t Tag) String() string {
	return fmt.Sprintf("%s/%d/%d", t.Request, t.Attempt, t.Index)
}

// ParseTag parses the ID of an event.
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

// Sequencer puts the events of one attempt in order.
type Sequencer struct {
	prefix  []byte
	next    int
	early   map[int][]byte
	dropped int
}

// NewSequencer returns a Sequencer that expects the attempt's event 0 first.
func NewSequencer(request string, attempt int) *Sequencer {
	prefix := fmt.Appendf(nil, "%s/%d/", request, attempt)
	return &Sequencer{prefix: prefix}
}

// Next returns the index that is expected next.
func (s *Sequencer) Next() int { return s.next }

// Dropped returns how many foreign, doubled and untagged events were dropped.
func (s *Sequencer) Dropped() int { return s.dropped }

// Waiting reports whether early events wait for one that is missing.
func (s *Sequencer) Waiting() bool { return len(s.early) > 0 }

// Accept takes one event and yields the data that is now in order. Yielded
// data is valid until the next call. It returns ErrGap when too many events
// wait for a missing one.
func (s *Sequencer) Accept(event Event) (iter.Seq[[]byte], error) {
	index, mine := s.index(event.ID)
	switch {
	case !mine || index < s.next:
		s.dropped++
		return none, nil
	case index > s.next:
		return none, s.hold(index, event.Data)
	default:
		return s.ready(event.Data), nil
	}
}

func none(func([]byte) bool) {}

func (s *Sequencer) index(id []byte) (int, bool) {
	digits, mine := bytes.CutPrefix(id, s.prefix)
	if !mine || len(digits) == 0 {
		return 0, false
	}
	index := 0
	for _, c := range digits {
		if c < '0' || c > '9' || index > 1<<40 {
			return 0, false
		}
		index = index*10 + int(c-'0')
	}
	return index, true
}

func (s *Sequencer) hold(index int, data []byte) error {
	if s.early == nil {
		s.early = make(map[int][]byte)
	}
	if _, twice := s.early[index]; twice {
		s.dropped++
		return nil
	}
	if len(s.early) == maxEarlyEvents {
		return fmt.Errorf("%w: index %d", ErrGap, s.next)
	}
	s.early[index] = bytes.Clone(data)
	return nil
}

func (s *Sequencer) ready(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for held := true; held; {
			s.next++
			if !yield(data) {
				return
			}
			data, held = s.early[s.next]
			delete(s.early, s.next)
		}
	}
}
