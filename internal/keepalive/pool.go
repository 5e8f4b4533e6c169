package keepalive

import (
	"io"
	"net/http"
)

// Pool is a Transport that trusts none of its idle connections after a call without a whole
// response: they may have fallen silent together. So a client loses one call at a time, and
// not one for each kept connection. It is safe for concurrent use.
type Pool struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (p Pool) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := p.Transport.RoundTrip(r)
	if err != nil {
		p.CloseIdleConnections()
		return nil, err
	}
	resp.Body = poolBody{resp.Body, p}
	return resp, nil
}

// poolBody is the body of a response of a Pool.
type poolBody struct {
	io.ReadCloser
	pool Pool
}

// Read implements io.Reader.
func (b poolBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.pool.CloseIdleConnections()
	}
	return n, err
}
