package answer

import (
	"bytes"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/openai"
)

// transcript buffers the data of a response's events unparsed. It is parsed only
// when the response ends or has to be continued by another upstream, so that
// forwarding an event needs no parsing. The zero value is empty and without a
// limit.
type transcript struct {
	// raw holds one event per line.
	raw []byte
	// limit is the maximum length of raw in bytes, or 0 for none.
	limit int
	// overflowed is set if the limit was exceeded. raw is then empty.
	overflowed bool
}

// add appends the data of one event, which must not contain line breaks.
func (t *transcript) add(data []byte) {
	if t.limit > 0 && len(t.raw)+len(data) > t.limit {
		t.overflowed = true
		t.raw = nil
	}
	if t.overflowed {
		return
	}
	t.raw = append(t.raw, data...)
	t.raw = append(t.raw, '\n')
}

func (t *transcript) reset() {
	t.raw = t.raw[:0]
	t.overflowed = false
}

// parse joins the events so far into one Delta. Its TextOnly is set only if all
// events add nothing but text and the limit was not exceeded.
func (t *transcript) parse() openai.Delta {
	joined := openai.Delta{TextOnly: !t.overflowed}
	var text strings.Builder
	for line := range bytes.Lines(t.raw) {
		delta := openai.ParseDelta(line)
		text.WriteString(delta.Text)
		joined.TextOnly = joined.TextOnly && delta.TextOnly
		joined.Finished = joined.Finished || delta.Finished
	}
	joined.Text = text.String()
	return joined
}

// text returns the text so far if the response can be continued from it, which
// means that it consists only of text and is not finished. It returns ""
// otherwise.
func (t *transcript) text() string {
	delta := t.parse()
	if !delta.TextOnly || delta.Finished {
		return ""
	}
	return delta.Text
}

// assemble joins the events into the body of a response that is not streamed.
func (t *transcript) assemble(chat bool) ([]byte, error) {
	assembler := openai.NewAssembler(chat)
	for line := range bytes.Lines(t.raw) {
		if err := assembler.Add(line); err != nil {
			return nil, err
		}
	}
	return assembler.Response()
}
