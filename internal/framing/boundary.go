package framing

import (
	"bytes"
	"errors"
	"strings"
)

// errChunks is the error of a chunked body that two servers could read in different ways.
var errChunks = errors.New("framing: the chunks of a body can be read in two ways")

const (
	// maxChunkLine limits the line with the size of a chunk, maxTrailerBytes all trailers of a
	// body, like in net/http.
	maxChunkLine    = 4 << 10
	maxTrailerBytes = 4 << 10
	// maxLengthDigits and maxSizeDigits keep lengths and sizes of chunks within an int64.
	maxLengthDigits = 18
	maxSizeDigits   = 15
)

// phase is what the next byte of a body belongs to.
type phase uint8

const (
	phaseEnd phase = iota // the body has ended
	phaseData
	phaseSize
	phaseChunk
	phaseChunkEnd
	phaseTrailer
)

// boundary finds the end of a body. The zero value is that of a request without one.
type boundary struct {
	phase phase
	// remaining is the number of bytes that are left of the data or the chunk.
	remaining int64
	// line holds the bytes so far of the current line, and trailers the number of bytes
	// of all lines after the last chunk.
	line     []byte
	trailers int
}

// newBoundary returns the boundary of the request with a head, without its last line end.
// clear is false if the head can be read in more than one way.
func newBoundary(head string) (b boundary, clear bool) {
	lengths, encodings := 0, 0
	lines := strings.Split(head, "\r\n")
	for i, line := range lines {
		if strings.ContainsAny(line, "\n\r\x00") || strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") {
			return b, false
		}
		if i == 0 {
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
			length, valid := parseNumber(value, 10, maxLengthDigits)
			if !valid {
				return b, false
			}
			if length > 0 {
				b.phase, b.remaining = phaseData, length
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") || !strings.HasSuffix(lines[0], " HTTP/1.1") {
				return b, false
			}
			b.phase = phaseSize
		default:
			continue
		}
		if strings.TrimSpace(name) != name {
			return b, false
		}
	}
	return b, lengths+encodings <= 1
}

// parseNumber parses a number that consists of digits only.
func parseNumber(text string, base int64, maxDigits int) (n int64, valid bool) {
	if text == "" || len(text) > maxDigits {
		return 0, false
	}
	for _, c := range []byte(text) {
		digit := base
		switch {
		case c >= '0' && c <= '9':
			digit = int64(c - '0')
		case c >= 'a' && c <= 'f':
			digit = int64(c-'a') + 10
		case c >= 'A' && c <= 'F':
			digit = int64(c-'A') + 10
		}
		if digit >= base {
			return 0, false
		}
		n = n*base + digit
	}
	return n, true
}

// ended reports whether all bytes of the body have been consumed.
func (b *boundary) ended() bool { return b.phase == phaseEnd }

// consume returns how many of the bytes belong to the body, up to the line that can be read in
// two ways if there is an error.
func (b *boundary) consume(p []byte) (n int, err error) {
	for n < len(p) && !b.ended() {
		if b.phase == phaseData || b.phase == phaseChunk {
			take := min(b.remaining, int64(len(p)-n))
			n += int(take)
			b.remaining -= take
			switch {
			case b.remaining > 0:
			case b.phase == phaseChunk:
				b.phase = phaseChunkEnd
			default:
				b.phase = phaseEnd
			}
			continue
		}
		rest := p[n:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			i = len(rest) - 1
		}
		b.line = append(b.line, rest[:i+1]...)
		if len(b.line) > maxChunkLine {
			return n, errChunks
		}
		if line, ended := bytes.CutSuffix(b.line, []byte("\n")); ended {
			line, found := bytes.CutSuffix(line, []byte("\r"))
			if !found || bytes.ContainsAny(line, "\r\x00") || !b.endLine(string(line)) {
				return n, errChunks
			}
			b.line = b.line[:0]
		}
		n += i + 1
	}
	return n, nil
}

// endLine goes on to what follows a line of a chunked body. It returns false if the line can
// be read in more than one way.
func (b *boundary) endLine(line string) bool {
	switch b.phase {
	case phaseSize:
		digits, _, _ := strings.Cut(line, ";")
		size, valid := parseNumber(digits, 16, maxSizeDigits)
		b.phase, b.remaining = phaseChunk, size
		if size == 0 {
			b.phase = phaseTrailer
		}
		return valid
	case phaseChunkEnd:
		b.phase = phaseSize
		return line == ""
	default:
		if line == "" {
			b.phase = phaseEnd
			return true
		}
		b.trailers += len(line)
		name, _, found := strings.Cut(line, ":")
		switch strings.ToLower(name) {
		case "content-length", "transfer-encoding":
			return false
		}
		return found && b.trailers <= maxTrailerBytes && !strings.ContainsAny(name, " \t")
	}
}
