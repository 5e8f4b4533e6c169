package beacon_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
)

// startPeer starts a VM that serves direct messages, and returns it and its address.
func startPeer(t *testing.T, name string, serve func(now time.Time, from, kind string, body []byte) []byte) (*beacon.Beacon, string) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().String()
	b := beacon.New(beacon.Options{
		Name: name, Conn: conn, Now: time.Now, Interval: time.Hour, Serve: serve, Log: zerolog.Nop(),
		Compose: func(time.Time) beacon.Message {
			return beacon.Message{Name: name, Incarnation: 1, Address: address, State: beacon.Serving}
		},
		Receive: func(time.Time, beacon.Message) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; _ = conn.Close() })
	return b, address
}

// TestCall guards against replies that reach the wrong call and against calls that wait for
// VMs that do not answer.
func TestCall(t *testing.T) {
	caller, _ := startPeer(t, "vm-1", nil)
	_, address := startPeer(t, "vm-2", func(_ time.Time, from, kind string, body []byte) []byte {
		if kind == "silent" {
			return nil
		}
		return append([]byte(from+" "+kind+" "), body...)
	})
	ctx := t.Context()
	if _, err := caller.Call(ctx, "vm-2", "echo", nil); !errors.Is(err, beacon.ErrUnknownPeer) {
		t.Errorf("call to an unknown VM: %v", err)
	}
	caller.Accept(time.Now(), beacon.Message{Name: "vm-2", Incarnation: 1, Sequence: 1, Address: address})
	replies := make(chan string, 8)
	for i := range 8 {
		go func() {
			body, err := caller.Call(ctx, "vm-2", "echo", []byte{byte('0' + i)})
			replies <- string(body)
			if err != nil || !bytes.HasSuffix(body, []byte{byte('0' + i)}) {
				t.Errorf("call %d: reply %q, %v", i, body, err)
			}
		}()
	}
	for range 8 {
		<-replies
	}
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if _, err := caller.Call(short, "vm-2", "silent", nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call without a reply: %v", err)
	}
	if err := caller.Notify("vm-2", "echo", make([]byte, 2000)); err == nil {
		t.Error("a message that would be fragmented was sent")
	}
}

// TestDirectMessageIsNoState guards against builds that know no direct messages taking one
// for the state of a VM: they ignore what has no name.
func TestDirectMessageIsNoState(t *testing.T) {
	raw, err := cbor.Marshal(map[int]any{36: map[int]any{1: "vm-1", 2: "echo", 3: 7}})
	if err != nil {
		t.Fatal(err)
	}
	m, err := beacon.Unpack(raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&beacon.Direct{From: "vm-1", Kind: "echo", ID: 7}, m.Direct); diff != "" {
		t.Errorf("message (-want +got):\n%s", diff)
	}
	if _, named := fields(t, raw)[1]; named {
		t.Error("the message has a name at its top level")
	}
}
