package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
)

// Read reads the head of the final response to a request of the given method. The body is
// read from r later. The error is a *readlimit.Error if the head is too long, and wraps
// io.ErrUnexpectedEOF if r ends before it does.
func Read(r io.Reader, method string) (Response, error) {
	heads := headReader{r: bufio.NewReaderSize(r, headBufferBytes)}
	for range maxInterimResponses {
		head, err := heads.next()
		if err != nil {
			return Response{}, fmt.Errorf("exchange: read: %w", err)
		}
		resp, err := parse(head, heads.r, method)
		if err != nil {
			return Response{}, fmt.Errorf("exchange: read: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			length := resp.ContentLength
			if method == http.MethodHead {
				length = 0
			}
			return Response{
				Status: resp.StatusCode, Header: resp.Header, Length: length,
				Delimited: length >= 0 || len(resp.TransferEncoding) > 0, Body: checkedBody{resp},
			}, nil
		}
	}
	return Response{}, fmt.Errorf("exchange: read: %w", &readlimit.Error{Kind: "head", Limit: maxInterimResponses, Unit: "interim responses"})
}

// parse returns the response with a head, whose body follows in body.
func parse(head []byte, body io.Reader, method string) (*http.Response, error) {
	r := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(head), body), bodyBufferBytes)
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.ProtoMajor != 1 {
		return nil, fmt.Errorf("malformed response: version %q", resp.Proto)
	}
	if err := Check(resp); err != nil {
		return nil, err
	}
	if err := checkCoding(head, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Check returns an error for a response that net/http accepts although HTTP has no such
// response, and for one that switches protocols, which no request here asks for.
func Check(resp *http.Response) error {
	const minStatus, maxStatus = 100, 599
	switch status := resp.StatusCode; {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("malformed response: status %q is out of range", resp.Status)
	case status == http.StatusSwitchingProtocols:
		return errors.New("malformed response: the protocol is switched without a request for it")
	case strings.ContainsFunc(resp.Status, isControl):
		return fmt.Errorf("malformed response: status %q", resp.Status)
	}
	return checkNames(resp.Header)
}

// checkNames returns an error for a name with a blank. Other names that are no tokens are
// refused by net/http.
func checkNames(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return fmt.Errorf("malformed response: field name %q", name)
		}
	}
	return nil
}

// isControl reports whether a status line must not hold the byte.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }

// checkCoding returns an error for a response in HTTP/1.0 with a transfer coding, which that
// does not have: net/http ignores it, so that the body would be the coded one (RFC 9112,
// section 6.1).
func checkCoding(head []byte, resp *http.Response) error {
	if resp.ProtoAtLeast(1, 1) {
		return nil
	}
	for line := range bytes.Lines(head) {
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("malformed response: a transfer coding in %s", resp.Proto)
		}
	}
	return nil
}

// checkedBody is the body of a response, which is not complete if its trailers are malformed.
type checkedBody struct{ resp *http.Response }

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.resp.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// headReader reads the heads of the responses on a connection.
type headReader struct {
	r *bufio.Reader
	// bytes and lines count what was read of all heads.
	bytes, lines int
}

// next returns the bytes of the next head, with the empty line at its end.
func (h *headReader) next() ([]byte, error) {
	var head []byte
	lineStart := 0
	for {
		part, err := h.r.ReadSlice('\n')
		head = append(head, part...)
		if h.bytes += len(part); h.bytes > maxHeadBytes {
			return nil, readlimit.Bytes("head", maxHeadBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if h.lines++; h.lines > maxHeadLines {
			return nil, &readlimit.Error{Kind: "head", Limit: maxHeadLines, Unit: "lines"}
		}
		if line := head[lineStart:]; len(bytes.TrimRight(line, "\r\n")) == 0 {
			return head, nil
		}
		lineStart = len(head)
	}
}
