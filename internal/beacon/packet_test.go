package beacon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
)

// rolloutMessage is the message of a VM of a large fleet during a rollout.
func rolloutMessage() beacon.Message {
	m := beacon.Message{
		Name: "edge-durban-a-11", Incarnation: 1_767_815_109_539, Sequence: 412, Address: "10.1.0.30:7340", Control: "10.1.0.30:8783",
		Callers: "10.1.0.30:8782", DataCentre: "durban-a", State: beacon.Serving, Loads: make(map[string][3]int),
	}
	for i := range 12 {
		m.Loads[fmt.Sprintf("i-%08x", i*7919)] = [3]int{1, 2_890, 9_190}
	}
	for i := range 40 {
		id := fmt.Sprintf("i-%08x", i*104_729)
		m.Changing = append(m.Changing, roster.Announcement{ID: id, Version: 3, AgeMS: int64(i * 11)})
		m.Updated = append(m.Updated, roster.ObservedVersion{ID: id, Born: 1_767_815_109_000 + int64(i), Version: 3})
	}
	return m
}

// TestPacking checks that encoding and decoding preserve a message, and that the
// datagram takes at most half of JSON's size.
func TestPacking(t *testing.T) {
	for _, m := range []beacon.Message{message("vm-1", 1, 1), rolloutMessage(), message("vm-2", 3, 4)} {
		datagram, err := beacon.Pack(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := beacon.Unpack(datagram)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("message (-want +got):\n%s", diff)
		}
	}
	datagram, err := beacon.Pack(rolloutMessage())
	if err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(rolloutMessage())
	if err != nil {
		t.Fatal(err)
	}
	if len(datagram) > len(asJSON)/2 {
		t.Errorf("datagram of %d bytes, JSON takes %d", len(datagram), len(asJSON))
	}
	large := rolloutMessage()
	large.Known, large.LetGo, large.Leader = 195, &leader.LetGo{Holder: "edge-capetown-a-22", Incarnation: start.UnixMilli(), Fence: 7, AgeMS: 900}, &leader.Leading{Name: "edge-pe-a-3", Fence: 8}
	for range 4 {
		large.Watchers = append(large.Watchers, watchers.Report{Name: "edge-capetown-a-22", LinkMbps: 200, Stamp: start.UnixMilli(), AgeMS: 450})
	}
	withNews, err := beacon.Pack(large)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes, %d with what passes from VM to VM in a large fleet", len(datagram), len(withNews))
}

// FuzzUnpack checks that no datagram makes Unpack panic, and that a decoded
// message has a name.
func FuzzUnpack(f *testing.F) {
	for _, m := range []beacon.Message{rolloutMessage(), message("vm-1", 1, 1), {}} {
		datagram, err := beacon.Pack(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.Clone(datagram))
	}
	f.Add([]byte(`{"name":"plain"}`))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if m, err := beacon.Unpack(datagram); err == nil && m.Name == "" {
			t.Error("a message without a name was decoded")
		}
	})
}

// BenchmarkPacking measures the encoding and the decoding of one message.
func BenchmarkPacking(b *testing.B) {
	datagram, err := beacon.Pack(rolloutMessage())
	if err != nil {
		b.Fatal(err)
	}
	datagram = bytes.Clone(datagram)
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			_, _ = beacon.Pack(rolloutMessage())
		}
	})
	b.Run("unpack", func(b *testing.B) {
		b.ReportMetric(float64(len(datagram)), "bytes")
		for b.Loop() {
			_, _ = beacon.Unpack(datagram)
		}
	})
}
