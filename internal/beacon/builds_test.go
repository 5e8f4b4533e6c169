package beacon_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/sample"
)

// fields decodes a datagram without its Go type.
func fields(t *testing.T, raw []byte) map[uint64]any {
	t.Helper()
	var m map[uint64]any
	if err := cbor.Unmarshal(raw, &m); err != nil {
		t.Fatal(err)
	}
	return m
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Guards against builds of the router that misunderstand one another while VMs are replaced
// one after the other. The files hold what the build of a commit sent with all fields set.
func TestBuildsUnderstandOneAnother(t *testing.T) {
	for _, build := range []string{"0e55ea2"} {
		t.Run(build, func(t *testing.T) {
			sent := readFile(t, build+"-beacon.cbor")
			m, err := beacon.Unpack(sent)
			if err != nil {
				t.Fatal(err)
			}
			got, err := json.MarshalIndent(m, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(readFile(t, build+"-beacon.json")), string(got)+"\n"); diff != "" {
				t.Errorf("what this build reads of the beacon (-want +got):\n%s", diff)
			}
			facts, err := beacon.Unpack(readFile(t, build+"-facts.cbor"))
			if err != nil || facts.FactsFrom != "vm-1" || len(facts.Streams) != 1 {
				t.Errorf("facts read as %+v, %v", facts, err)
			}

			// That build reads the fields that it knows and ignores the others.
			var own beacon.Message
			sample.Fill(&own)
			own.FactsFrom = ""
			raw, err := beacon.Pack(own)
			if err != nil {
				t.Fatal(err)
			}
			written := fields(t, raw)
			for number, value := range fields(t, sent) {
				if diff := cmp.Diff(value, written[number]); diff != "" {
					t.Errorf("field %d of this build's beacon (-%s +now):\n%s", number, build, diff)
				}
			}
		})
	}
}

// TestAddressListIsNoState checks that builds that know no address lists take one for facts
// without any: it has no name, and no streams.
func TestAddressListIsNoState(t *testing.T) {
	raw, err := beacon.Pack(beacon.Message{FactsFrom: "10.0.0.1:7340", Peers: []string{"10.0.0.2:7340"}})
	if err != nil {
		t.Fatal(err)
	}
	got := fields(t, raw)
	want := map[uint64]any{21: []any{"10.0.0.2:7340"}, 26: nil, 27: "10.0.0.1:7340"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fields (-want +got):\n%s", diff)
	}
}
