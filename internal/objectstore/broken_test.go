package objectstore_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// Guards against a broken response of the store that counts as an object, or as proof of what
// a write has done.
func TestBrokenResponses(t *testing.T) {
	const tag, length = "ETag: \"7\"\r\n", "Content-Length: 4\r\n\r\nfine"
	tests := map[string]struct {
		raw   string
		sound bool
	}{
		"000":                       {"HTTP/1.1 000 No\r\n" + tag + length, false},
		"600":                       {"HTTP/1.1 600 No\r\n" + tag + length, false},
		"protocol switched":         {"HTTP/1.1 101 No\r\n\r\nHTTP/1.1 200 OK\r\n" + tag + length, false},
		"version, blank":            {"HTTP/1.1 200 OK\r\nETag : \"7\"\r\n" + length, false},
		"length, blank":             {"HTTP/1.1 200 OK\r\n" + tag + "Content-Length : 2\r\n\r\nfine", false},
		"blank in a name":           {"HTTP/1.1 200 OK\r\nX Y: z\r\n" + tag + length, false},
		"control byte in a name":    {"HTTP/1.1 200 OK\r\nX\x01: z\r\n" + tag + length, false},
		"conflict, blank in a name": {"HTTP/1.1 412 No\r\nX Y: z\r\nContent-Length: 0\r\n\r\n", false},
		"full, blank in a name":     {"HTTP/1.1 429 No\r\nX Y: z\r\nContent-Length: 0\r\n\r\n", false},
		"head cut":                  {"HTTP/1.1 200 OK\r\n" + tag, false},
		"no response":               {"good day\r\n\r\n", false},
		"sound":                     {"HTTP/1.1 200 OK\r\n" + tag + length, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			store := objectstore.NewHTTPStore(objectstore.HTTPStoreOptions{URL: "http://" + rawserver.Start(t, rawserver.Options{Raw: test.raw})})
			_, getErr := store.Get(ctx, "k")
			_, putErr := store.Put(ctx, "k", []byte("value"), 6)
			deleteErr := store.Delete(ctx, "k", 6)
			for what, err := range map[string]error{"get": getErr, "put": putErr, "delete": deleteErr} {
				if sound := err == nil; sound != test.sound {
					t.Errorf("%s: the response counts as sound: %v, want %v (%v)", what, sound, test.sound, err)
				}
			}
			for what, err := range map[string]error{"put": putErr, "delete": deleteErr} {
				if err != nil && !errors.Is(err, objectstore.ErrOutcomeUnknown) {
					t.Errorf("%s: %v, want an unknown outcome", what, err)
				}
			}
		})
	}
}
