package exchange

import (
	"fmt"
	"net/http"
)

// Transport is an http.RoundTripper that fails for responses that Check refuses. It is for
// clients that keep connections for several requests.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // ends the connection, whose bytes can't be trusted
		return nil, fmt.Errorf("exchange: read: %w", err)
	}
	return resp, nil
}
