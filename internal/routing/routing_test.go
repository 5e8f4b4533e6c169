package routing_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

func document() routing.Document {
	urgent := 0
	return routing.Document{
		Version: 3,
		Routes: []routing.Route{
			{Name: "short", Host: "desk.example", Prefix: "/filings/", Targets: []routing.Target{{Service: "desk", Weight: 1}}},
			{Name: "long", Host: "desk.example", Prefix: "/filings/permits/", Targets: []routing.Target{{Service: "desk", Weight: 1}}},
			{Name: "open", Host: "open.example", Prefix: "/", Public: true},
		},
		Organisations: []routing.Organisation{{Name: "acme", Keys: []string{"k1", "k2"}, Priority: &urgent}},
	}
}

func TestMatch(t *testing.T) {
	c := routing.New(7, document())
	tests := map[string]struct {
		host, path, want string
	}{
		"longest prefix":            {"desk.example", "/filings/permits/9", "long"},
		"shorter prefix":            {"desk.example", "/filings/9", "short"},
		"upper-case host with port": {"DESK.example:8080", "/filings/9", "short"},
		"no trailing slash":         {"desk.example", "/filings", ""},
		"other host":                {"else.example", "/filings/9", ""},
		"every path":                {"open.example", "/", "open"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r, _ := c.Match(test.host, test.path)
			if diff := cmp.Diff(test.want, r.Name); diff != "" {
				t.Errorf("route (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAuthenticate checks that an empty or unknown key belongs to no
// organisation, and that public routes need no key.
func TestAuthenticate(t *testing.T) {
	c := routing.New(7, document())
	for key, want := range map[string]string{"k1": "acme", "k2": "acme", "k3": "", "": ""} {
		o, known := c.Authenticate(key)
		if diff := cmp.Diff(want, o.Name); diff != "" || known != (want != "") {
			t.Errorf("key %q: known %v (-want +got):\n%s", key, known, diff)
		}
	}
	open, _ := c.Match("open.example", "/")
	if c.NeedsKey(open) {
		t.Error("a public route needs a key")
	}
}

// TestHolderRejectsOlderRevisions checks that neither an older nor the same
// revision replaces the current configuration.
func TestHolderRejectsOlderRevisions(t *testing.T) {
	var h routing.Holder
	for _, step := range []struct {
		revision uint64
		accepted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {8, false}} {
		if accepted := h.Offer(routing.New(step.revision, document())); accepted != step.accepted {
			t.Errorf("revision %d accepted: %v, want %v", step.revision, accepted, step.accepted)
		}
	}
	if diff := cmp.Diff(uint64(9), h.Revision()); diff != "" {
		t.Errorf("revision (-want +got):\n%s", diff)
	}
}

// TestConfigurationStaysInForceAfterReturn checks that a store that has come back from
// a copy does not replace the configuration in force by an older version, and that the
// same or a newer version does, although its revision is lower.
func TestConfigurationStaysInForceAfterReturn(t *testing.T) {
	var h routing.Holder
	for _, step := range []struct {
		era, revision uint64
		version       int64
		accepted      bool
	}{
		{1, 50, 6, true}, {1, 60, 7, true},
		{2, 40, 5, false}, {2, 41, 6, false},
		{2, 42, 7, true}, {2, 43, 9, true},
		{1, 90, 12, false}, {2, 41, 10, false},
		{4, 10, 8, false}, {4, 11, 9, true}, {3, 99, 11, false},
	} {
		d := document()
		d.Version = step.version
		if accepted := h.Offer(routing.New(step.revision, d).WithEra(step.era)); accepted != step.accepted {
			t.Errorf("%+v accepted: %v", step, accepted)
		}
	}
}

// TestRetainedConfiguration checks that a VM that starts with an older configuration of
// a copy takes the newer one that its peers retain, and then only the same or newer
// versions of the store.
func TestRetainedConfiguration(t *testing.T) {
	config := func(era, revision uint64, version int64) *routing.Config {
		d := document()
		d.Version = version
		return routing.New(revision, d).WithEra(era)
	}
	var h routing.Holder
	got := []bool{
		h.Offer(config(2, 40, 5)), h.Retain(config(1, 60, 5)), h.Retain(config(1, 60, 7)),
		h.Offer(config(2, 41, 6)), h.Offer(config(2, 42, 7)), h.Offer(config(2, 43, 8)), h.Retain(config(1, 60, 7)),
	}
	if diff := cmp.Diff([]bool{true, false, true, false, true, true, false}, got); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if diff := cmp.Diff(want, r.PickService(draw)); diff != "" {
			t.Errorf("draw %v (-want +got):\n%s", draw, diff)
		}
	}
}

// TestRepeatable checks that streams may run again only if they are resumable,
// and that resumable does not matter for other requests.
func TestRepeatable(t *testing.T) {
	tests := map[string]struct {
		route routing.Route
		want  bool
	}{
		"idempotent":       {routing.Route{Kind: routing.Idempotent}, true},
		"non-idempotent":   {routing.Route{Kind: routing.NonIdempotent, Resumable: true}, false},
		"stream":           {routing.Route{Kind: routing.Streaming}, false},
		"resumable stream": {routing.Route{Kind: routing.Streaming, Resumable: true}, true},
	}
	for name, test := range tests {
		if diff := cmp.Diff(test.want, test.route.Repeatable()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}
