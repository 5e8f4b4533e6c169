package request

import (
	"net/http"
	"strings"
)

// unforwardedHeaders are not forwarded between callers and upstreams: hop-by-hop
// fields (RFC 9110, section 7.6.1), credentials and fields that the router sets
// itself.
var unforwardedHeaders = map[string]bool{
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

// forwardedHeader returns the fields that are forwarded. It shares their values with h.
func forwardedHeader(h http.Header) http.Header {
	hopByHop := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		internal := strings.HasPrefix(name, "Hibiscuscove-")
		if unforwardedHeaders[name] || hopByHop[name] || internal {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionNames returns the fields that the Connection field lists.
func connectionNames(h http.Header) map[string]bool {
	names := make(map[string]bool)
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

// copyHeader copies the fields that are forwarded.
func copyHeader(dst, src http.Header) {
	for name, values := range forwardedHeader(src) {
		dst[name] = values
	}
}
