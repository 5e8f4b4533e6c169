package entryvm_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// Guards against a broken response of what runs at another VM's address that counts as that
// VM's state, as its answer for a stream, or as a permit.
func TestBrokenResponsesOfPeers(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\n{}"
	clients := map[string]func() *http.Client{"states": entryvm.NewPeerClient, "streams": entryvm.NewStreamsClient, "permits": entryvm.NewPermitClient}
	tests := map[string]struct {
		raw   string
		sound bool
	}{
		"000":                    {"HTTP/1.1 000 No\r\n" + length, false},
		"600":                    {"HTTP/1.1 600 No\r\n" + length, false},
		"protocol switched":      {"HTTP/1.1 101 No\r\n\r\nHTTP/1.1 200 OK\r\n" + length, false},
		"blank before the colon": {"HTTP/1.1 200 OK\r\nX : y\r\n" + length, false},
		"blank in a name":        {"HTTP/1.1 404 No\r\nX Y: z\r\n" + length, false},
		"length, blank":          {"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n{}", false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX\x01: y\r\n" + length, false},
		"head cut":               {"HTTP/1.1 200 OK\r\nX: y\r\n", false},
		"body cut":               {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", false},
		"sound":                  {"HTTP/1.1 200 OK\r\n" + length, true},
	}
	for clientName, client := range clients {
		for name, test := range tests {
			t.Run(clientName+"/"+name, func(t *testing.T) {
				t.Parallel()
				resp, err := client().Get("http://" + rawserver.Start(t, rawserver.Options{Raw: test.raw}))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if sound := err == nil; sound != test.sound {
					t.Errorf("the response counts as sound: %v, want %v (%v)", sound, test.sound, err)
				}
			})
		}
	}
}
