package link

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// PathPrefix is the path prefix under which the calls between nodes are served.
const PathPrefix = peerrpc.PeerPathPrefix

const maxRequestBytes = 16 << 20

// NewHandler returns a handler for the calls of other nodes. Calls must carry the
// bearer token and a body of at most 16 MiB.
func NewHandler(service peerrpc.Peer, token string) http.Handler {
	server := peerrpc.NewPeerServer(service)
	return RequireToken(token, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r)
	}))
}

// RequireToken passes requests with the bearer token (RFC 6750; the scheme in any
// case) to next and responds to others with status 401. Tokens are compared in
// constant time.
func RequireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, got, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		sum := sha256.Sum256([]byte(strings.TrimLeft(got, " ")))
		if !strings.EqualFold(scheme, bearerScheme) || subtle.ConstantTimeCompare(want[:], sum[:]) != 1 {
			w.Header().Set("WWW-Authenticate", bearerScheme)
			openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusUnauthorized, "bad_token",
				"the token is missing or wrong").WithObject("header", "Authorization"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
