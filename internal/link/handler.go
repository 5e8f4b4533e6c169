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

// PathPrefix is where the calls between nodes are served.
const PathPrefix = peerrpc.PeerPathPrefix

const maxCallBytes = 16 << 20

// NewHandler serves the calls of other nodes that know the token.
func NewHandler(service peerrpc.Peer, token string) http.Handler {
	server := peerrpc.NewPeerServer(service)
	return RequireToken(token, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxCallBytes)
		server.ServeHTTP(w, r)
	}))
}

// RequireToken passes on the requests that carry the bearer token and refuses
// the others. Tokens are compared in constant time.
func RequireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		sum := sha256.Sum256([]byte(got))
		if subtle.ConstantTimeCompare(want[:], sum[:]) != 1 {
			openai.WriteError(w, verdict.New(verdict.NotRun, http.StatusUnauthorized, "bad_token",
				"the token is missing or wrong").WithObject("header", "Authorization"))
			return
		}
		next.ServeHTTP(w, r)
	})
}
