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

// read returns the answer so far as one piece. It is plain only if all of it
// is, and was not too long to keep.
func (t *transcript) read() openai.Piece {
	whole := openai.Piece{Plain: !t.over}
	var words strings.Builder
	for line := range bytes.Lines(t.raw) {
		piece := openai.ReadPiece(line)
		words.WriteString(piece.Text)
		whole.Plain = whole.Plain && piece.Plain
		whole.Finished = whole.Finished || piece.Finished
	}
	whole.Text = words.String()
	return whole
}

// text returns the text of the answer so far, if the answer can go on from it:
// it is nothing but text and has not come to its end.
func (t *transcript) text() string {
	piece := t.read()
	if !piece.Plain || piece.Finished {
		return ""
	}
	return piece.Text
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
