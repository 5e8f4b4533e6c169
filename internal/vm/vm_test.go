package vm_test

import (
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/standin/rawserver"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
)

// Guards against a broken response that counts as the list of VMs.
func TestBrokenLists(t *testing.T) {
	const length = "Content-Length: 10\r\n\r\n{\"vms\":[]}"
	tests := map[string]struct {
		raw   string
		sound bool
	}{
		"000":                    {"HTTP/1.1 000 No\r\n" + length, false},
		"600":                    {"HTTP/1.1 600 No\r\n" + length, false},
		"blank before the colon": {"HTTP/1.1 200 OK\r\nX : y\r\n" + length, false},
		"length, blank":          {"HTTP/1.1 200 OK\r\nContent-Length : 10\r\n\r\n{\"vms\":[]}", false},
		"control byte in a name": {"HTTP/1.1 200 OK\r\nX\x01: y\r\n" + length, false},
		"head cut":               {"HTTP/1.1 200 OK\r\nX: y\r\n", false},
		"body cut":               {"HTTP/1.1 200 OK\r\n\r\n{\"vms\":[", false},
		"sound":                  {"HTTP/1.1 200 OK\r\n" + length, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := vm.NewHTTPLister("http://" + rawserver.Start(t, rawserver.Options{Raw: test.raw})).List(t.Context())
			if sound := err == nil; sound != test.sound {
				t.Errorf("the list counts as sound: %v, want %v (%v)", sound, test.sound, err)
			}
		})
	}
}
