//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a consumer's channel to a machine, which it keeps for its requests.
type channel struct {
	lab  *lab
	vm   *vm
	conn net.Conn
	r    *bufio.Reader
}

// dial opens a channel.
func (v *vm) dial() (*channel, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, fmt.Errorf("channel to %s: %w", v.name, err)
	}
	return &channel{lab: v.lab, vm: v, conn: conn, r: bufio.NewReader(conn)}, nil
}

// request is one attempt of a consumer.
type request struct {
	id, method, path, prefix string
	timeLimit                time.Duration
	body                     string
}

// answer is what a consumer gets. whole is set if it arrived to its end.
type answer struct {
	status    int
	header    http.Header
	body      string
	whole     bool
	closeSeen bool
	err       error
	at        time.Time
}

// send sends a request with its length. The head and the body are written one after the other.
func (c *channel) send(q request) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Attempt-Id: %s\r\nCredential: key-of-planta\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.id, q.timeLimit.Milliseconds())
	if q.prefix != "" {
		fmt.Fprintf(&head, "Model: m0\r\nToken-Count: 900,80\r\nPrompt-Prefix: %s\r\n", q.prefix)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	c.lab.record("%s: a consumer sends %s %s, time limit %v, %d bytes", c.vm.name, q.id, q.path, q.timeLimit, len(q.body))
	if _, err := io.WriteString(c.conn, head.String()+"\r\n"); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, q.body)
	return err
}

// receive reads the answer to a request.
func (c *channel) receive(q request) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(q.timeLimit + time.Second))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	a := answer{err: err, at: time.Now()}
	if err == nil {
		var raw []byte
		raw, a.err = io.ReadAll(resp.Body)
		a.status, a.header, a.body, a.whole, a.closeSeen, a.at = resp.StatusCode, resp.Header, string(raw), a.err == nil, resp.Close, time.Now()
	}
	c.lab.record("%s: the consumer of %s has status %d, %d bytes, whole %v, signature %q, error %v", c.vm.name, q.id, a.status, len(a.body), a.whole, a.header.Get("Response-Signature"), a.err)
	return a
}

func (c *channel) close() { _ = c.conn.Close() }
