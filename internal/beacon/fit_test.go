package beacon_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// maxDatagram is what VMs of all builds accept.
const maxDatagram = 16 << 10

// longPrompts returns prompts of many parts with long IDs.
func longPrompts(prompts, parts, digits int) []roster.Sent {
	list := make([]roster.Sent, prompts)
	for i := range list {
		list[i] = roster.Sent{Upstream: fmt.Sprint("i-", i), Unshared: i}
		for j := range parts {
			list[i].Parts = append(list[i].Parts, roster.Part{ID: strings.Repeat("f", max(0, digits-4)) + fmt.Sprintf("%04x", j), Tokens: 48})
		}
	}
	return list
}

// essential returns a message without what may be left out.
func essential(m beacon.Message) beacon.Message {
	m.Sequence, m.Sent, m.Loads, m.Avoided = 0, nil, nil, nil
	return m
}

// Guards against CONFIG: VMs lose one another's beacons when prompts have many parts, and one
// that the store turns away goes on with a configuration that was replaced. Whatever callers,
// upstreams and operators choose, a beacon is accepted and has what VMs must know, and each
// prompt has its turn.
func TestLongBeaconsArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message("vm-1", 7, 1)
		m.Revisions = beacon.Revisions{Configuration: 41, Upstreams: 977, Versions: 12}
		m.Leading, m.LastFence, m.Leader = 9, 9, &leader.Leading{Name: "vm-1", Fence: 9, Renewal: 3}
		for i := range rapid.IntRange(0, 40).Draw(t, "versions") {
			m.Desired = append(m.Desired, roster.DesiredAge{Model: "daka510000", Version: int64(i), AgeMS: 13_000})
		}
		for i := range rapid.IntRange(0, 60).Draw(t, "leaving") {
			m.UpstreamsLeaving = append(m.UpstreamsLeaving, health.DrainReport{Incarnation: fmt.Sprintf("i-%08x", i), AgeMS: 400})
		}
		m.Loads = make(map[string][3]int)
		for i := range rapid.IntRange(0, 800).Draw(t, "loads") {
			m.Loads[fmt.Sprintf("i-%010x", i)] = [3]int{i, 2_890, 9_190}
		}
		for i := range rapid.IntRange(0, 200).Draw(t, "avoided") {
			m.Avoided = append(m.Avoided, strings.Repeat("y", rapid.IntRange(1, 200).Draw(t, "ID"))+fmt.Sprint(i))
		}
		m.Sent = longPrompts(rapid.IntRange(0, 96).Draw(t, "prompts"), rapid.IntRange(1, 60).Draw(t, "parts"), rapid.IntRange(8, 64).Draw(t, "digits"))
		sent := make(map[int]bool)
		for range max(1, len(m.Sent)) {
			m.Sequence++
			raw, cut, err := beacon.Fit(m)
			if err != nil {
				t.Fatal(err)
			}
			if len(raw) > maxDatagram {
				t.Fatalf("a beacon of %d bytes", len(raw))
			}
			got, err := beacon.Unpack(raw)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(essential(m), essential(got)); diff != "" {
				t.Fatalf("what VMs must know (-want +got):\n%s", diff)
			}
			left := len(m.Sent) + len(m.Loads) + len(m.Avoided) - len(got.Sent) - len(got.Loads) - len(got.Avoided)
			if diff := cmp.Diff(left, cut); diff != "" {
				t.Fatalf("entries left out (-want +got):\n%s", diff)
			}
			for _, s := range got.Sent {
				sent[s.Unshared] = true
			}
		}
		if len(m.Loads)+len(m.Avoided) == 0 && len(sent) < len(m.Sent) {
			t.Fatalf("%d of %d prompts had their turn", len(sent), len(m.Sent))
		}
	})
}

// TestShortBeaconsAreSentWhole checks that a beacon that fits is sent as it is.
func TestShortBeaconsAreSentWhole(t *testing.T) {
	m := rolloutMessage()
	raw, cut, err := beacon.Fit(m)
	if err != nil {
		t.Fatal(err)
	}
	got, err := beacon.Unpack(raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, got); diff != "" || cut > 0 {
		t.Errorf("%d entries left out, message (-want +got):\n%s", cut, diff)
	}
}
