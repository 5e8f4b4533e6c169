package answer

import (
	"bytes"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/openai"
)

// transcript keeps the data of an answer's events as it came. It is read only
// when the answer ends or has to go on elsewhere, so that events cost no
// parsing on their way. Its zero value is empty and without a bound.
type transcript struct {
	raw   []byte
	limit int
	over  bool
}

// add appends the data of one event, which has no line breaks.
func (t *transcript) add(data []byte) {
	if t.limit > 0 && len(t.raw)+len(data) > t.limit {
		t.over = true
		t.raw = nil
	}
	if t.over {
		return
	}
	t.raw = append(t.raw, data...)
	t.raw = append(t.raw, '\n')
}

func (t *transcript) reset() {
	t.raw = t.raw[:0]
	t.over = false
}

// text returns the text of the answer so far, or nothing if it was too long to keep.
func (t *transcript) text() string {
	var words strings.Builder
	for line := range bytes.Lines(t.raw) {
		words.WriteString(openai.Text(line))
	}
	return words.String()
}

// whole joins the events into the answer that an unstreamed request gets.
func (t *transcript) whole(chat bool) ([]byte, error) {
	parts := openai.NewAssembler(chat)
	for line := range bytes.Lines(t.raw) {
		if err := parts.Add(line); err != nil {
			return nil, err
		}
	}
	return parts.Answer()
}
