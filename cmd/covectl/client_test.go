package main

import (
	"bytes"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
)

// Guards against a command that reports success for a broken response of a node.
func TestBrokenResponses(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\n{}"
	tests := map[string]struct {
		raw   string
		sound bool
	}{
		"000":                    {"HTTP/1.1 000 No\r\n" + length, false},
		"099":                    {"HTTP/1.1 099 No\r\n" + length, false},
		"600":                    {"HTTP/1.1 600 No\r\n" + length, false},
		"protocol switched":      {"HTTP/1.1 101 No\r\n\r\n{}", false},
		"blank before the colon": {"HTTP/1.1 200 OK\r\nX : y\r\n" + length, false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX\x01: y\r\n" + length, false},
		"head cut":               {"HTTP/1.1 200 OK\r\nX: y\r\n", false},
		"body cut":               {"HTTP/1.1 200 OK\r\n\r\n{", false},
		"sound":                  {"HTTP/1.1 200 OK\r\n" + length, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run([]string{"-node", rawserver.Start(t, rawserver.Options{Raw: test.raw}), "-json", "status"}, &stdout, &stderr)
			if sound := code == 0; sound != test.sound {
				t.Errorf("exit code %d, output %q, %q", code, stdout.String(), stderr.String())
			}
		})
	}
}
