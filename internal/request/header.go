package request

import (
	"net/http"
	"strings"
)

// privateHeaders never pass between callers and upstreams: those of one
// connection (RFC 9110, section 7.6.1), credentials and what the router sets itself.
var privateHeaders = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Authorization":       true,
	"Cookie":              true,
	"Set-Cookie":          true,
	"Idempotency-Key":     true,
	"X-Idempotency-Key":   true,
	"Accept-Encoding":     true,
	"Expect":              true,
	"Host":                true,
}

// forwardedHeader returns the headers that pass on.
func forwardedHeader(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		internal := strings.HasPrefix(name, "Hibiscuscove-")
		if privateHeaders[name] || named[name] || internal {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
	named := make(map[string]bool)
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// copyHeader adds the headers that pass on to an answer.
func copyHeader(into, from http.Header) {
	for name, values := range forwardedHeader(from) {
		into[name] = values
	}
}
