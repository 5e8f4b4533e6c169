package eventstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/eventstream"
)

var errEndless = errors.New("read on without end")

// repeated is a reader of a text over and over, which fails after some megabytes.
type repeated struct {
	text string
	read int
}

func (r *repeated) Read(p []byte) (int, error) {
	if r.read > 128<<20 {
		return 0, errEndless
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], r.text[(r.read+n)%len(r.text):])
	}
	r.read += n
	return n, nil
}

// Guards against events and streams without end, which took a VM to several times its
// memory.
func TestEndlessBytesAreBounded(t *testing.T) {
	tests := map[string]struct {
		text    string
		maxRead int
	}{
		"line":        {"data", 130 << 10},
		"event":       {"data: x\n", 130 << 10},
		"empty lines": {"\n", 130 << 10},
		"ID":          {"id:", 130 << 10},
		"stream":      {"data: " + strings.Repeat("x", 1000) + "\n\n", 65 << 20},
		"comments":    {":" + strings.Repeat("x", 1000) + "\n\n", 65 << 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in := &repeated{text: test.text}
			events := eventstream.New(in)
			var err error
			for err == nil {
				_, err = events.Next()
			}
			if errors.Is(err, errEndless) || in.read > test.maxRead {
				t.Errorf("%d bytes read until %v, want %d at most", in.read, err, test.maxRead)
			}
		})
	}
}

// TestEvents checks the events of a stream and how it ends.
func TestEvents(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	one := eventstream.Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: "1"}
	tests := map[string]struct {
		in   string
		want []eventstream.Event
		err  error
	}{
		"two events":               {"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n", []eventstream.Event{{Raw: []byte("id: 1\ndata: a\n\n"), ID: "1"}, {Raw: []byte("id:2\r\ndata: b\r\n\r\n"), ID: "2"}}, io.EOF},
		"comments":                 {": wait\n\n:\ndata: a\n\n", []eventstream.Event{{Raw: []byte(": wait\n\n"), Comment: true}, {Raw: []byte(":\ndata: a\n\n")}}, io.EOF},
		"other fields":             {"weight-versions: 5\nid: 1\nx\n\n", []eventstream.Event{{Raw: []byte("weight-versions: 5\nid: 1\nx\n\n"), ID: "1"}}, io.EOF},
		"blanks in a value":        {"data:  a b \n\n", []eventstream.Event{{Raw: []byte("data:  a b \n\n")}}, io.EOF},
		"blank in a comment":       {": a b\ndata\n\n", []eventstream.Event{{Raw: []byte(": a b\ndata\n\n")}}, io.EOF},
		"no ASCII in a name":       {"\ufeffdata: a\n\n", []eventstream.Event{{Raw: []byte("\ufeffdata: a\n\n")}}, io.EOF},
		"status line":              {"id: 1\ndata: a\n\nHTTP/1.1 500 No\r\nid: 2\n\n", []eventstream.Event{one}, eventstream.ErrNoField},
		"status line in an event":  {"id: 1\ndata: a\n\nid: 2\nHTTP/1.1 500 No\r\n\r\n", []eventstream.Event{one}, eventstream.ErrNoField},
		"text":                     {"id: 1\ndata: a\n\nan error\n\n", []eventstream.Event{one}, eventstream.ErrNoField},
		"blank before the colon":   {"data : a\n\n", nil, eventstream.ErrNoField},
		"blank before the name":    {" data: a\n\n", nil, eventstream.ErrNoField},
		"nothing but a blank":      {"id: 1\ndata: a\n\n \n\n", []eventstream.Event{one}, eventstream.ErrNoField},
		"control byte in a name":   {"da\x00ta: a\n\n", nil, eventstream.ErrNoField},
		"delete in a name":         {"data\x7f: a\n\n", nil, eventstream.ErrNoField},
		"long":                     {long, []eventstream.Event{{Raw: []byte(long)}}, io.EOF},
		"empty":                    {"", nil, io.EOF},
		"empty lines at the end":   {"id: 1\ndata: a\n\n\r\n\n", []eventstream.Event{one, {Raw: []byte("\r\n\n")}}, io.EOF},
		"only empty lines":         {"\n\n", nil, io.EOF},
		"cut between lines":        {"id: 1\ndata: a\n\nid: 2\n", []eventstream.Event{one}, io.ErrUnexpectedEOF},
		"cut in the last line end": {"id: 1\ndata: a\n\nid: 2\r\n\r", []eventstream.Event{one}, io.ErrUnexpectedEOF},
		"cut after a full buffer":  {"id: 1\ndata: a\n\n" + strings.Repeat("x", 2048), []eventstream.Event{one}, io.ErrUnexpectedEOF},
		"no empty line at the end": {"id: 1\ndata: a\n\ndata: b\n", []eventstream.Event{one}, io.ErrUnexpectedEOF},
		"ends in line":             {"data: a", nil, io.ErrUnexpectedEOF},
		"ends early":               {"data: a\n", nil, io.ErrUnexpectedEOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := readAll(strings.NewReader(test.in))
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if !errors.Is(err, test.err) {
				t.Errorf("stream ended with %v, want %v", err, test.err)
			}
		})
	}
}

func readAll(r io.Reader) ([]eventstream.Event, error) {
	events := eventstream.New(r)
	var all []eventstream.Event
	for {
		event, err := events.Next()
		if err != nil {
			return all, err
		}
		all = append(all, event)
	}
}

// Guards against a line of the length of the buffer whose end was taken for an empty
// line, and against an ID in the middle of a line.
func TestLineAcrossBuffers(t *testing.T) {
	padding := strings.Repeat("x", 2048-len("data: "))
	tests := map[string]string{
		"line break in the next buffer": "data: " + padding + "\ndata: a\n\n",
		"ID in the next buffer":         "data: " + padding + "id: 7\n\n",
	}
	for name, in := range tests {
		t.Run(name, func(t *testing.T) {
			got, _ := readAll(strings.NewReader(in))
			if diff := cmp.Diff([]eventstream.Event{{Raw: []byte(in)}}, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzReader checks that the events are the bytes of the stream, unchanged.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\n", "data: a\r\n\r\n:\n\n", "\n\n\ndata", "id:\n\nid: 1\nid: 2\n\n"} {
		f.Add([]byte(seed), 0)
	}
	f.Add([]byte("id: 1\ndata: a\n\n"), 2048-6)
	f.Fuzz(func(t *testing.T, raw []byte, padding int) {
		in := append(append([]byte("data: "), bytes.Repeat([]byte("x"), min(max(padding, 0), 8<<10))...), raw...)
		all, _ := readAll(bytes.NewReader(in))
		rest := in
		for i, event := range all {
			if !bytes.HasPrefix(rest, event.Raw) {
				t.Fatalf("event %q is not next in the stream", event.Raw)
			}
			rest = rest[len(event.Raw):]
			if i > 0 && len(rest) == 0 && len(bytes.Trim(event.Raw, "\r\n")) == 0 {
				continue // empty lines after the last event
			}
			lines := strings.Split(strings.ReplaceAll(string(event.Raw), "\r\n", "\n"), "\n")
			if len(lines) < 3 || strings.Trim(lines[len(lines)-2], "\r") != "" {
				t.Errorf("event %q does not end with an empty line", event.Raw)
			}
		}
	})
}
