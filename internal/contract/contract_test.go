package contract_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/strictjson"
)

const validSet = `{
 "organisations": [{"name":"first","key_hashes":["sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"],"share":1,"routes":["replies"]}],
 "model_versions": [{"name":"replies-v1","model":"replies","weights_version":"v1"}],
 "pools": [{"name":"engines","kind":"engine","model_version":"replies-v1","slots":4,"upstreams":[{"name":"e1","address":"10.0.0.1:80","data_centre":"dc"}]}],
 "routes": [{"name":"replies","kind":"model","pool":"engines","idempotent":true,"priority":"normal","first_byte_timeout_ms":10,"event_timeout_ms":10,"deadline_ms":100,"max_attempts":2}],
 "priorities": [{"name":"normal","level":3}]
}`

func applySet(t *testing.T, d contract.Document, text string) (contract.Document, contract.Outcome) {
	t.Helper()
	objects, base, problems := contract.Parse([]byte(text))
	if len(problems) > 0 {
		return d, contract.Outcome{Problems: problems}
	}
	return d.WithChange(contract.Change{Base: base, Upserts: objects})
}

func problemLines(problems []strictjson.Problem) []string {
	var list []string
	for _, p := range problems {
		list = append(list, p.String())
	}
	slices.Sort(list)
	return list
}

// TestProblems changes a valid set in one or more places. Every problem must be
// found at once, with its object, field and reason.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		replace []string
		want    []string
	}{
		"valid":            {nil, nil},
		"unknown route":    {[]string{`"routes":["replies"]`, `"routes":["nothing"]`}, []string{`organisation/first: routes[0]: no route is named "nothing"`}},
		"unknown pool":     {[]string{`"pool":"engines"`, `"pool":"nothing"`}, []string{`route/replies: pool: no pool is named "nothing"`}},
		"unknown version":  {[]string{`"model_version":"replies-v1"`, `"model_version":"x"`}, []string{`pool/engines: model_version: no model version is named "x"`}},
		"unknown priority": {[]string{`"priority":"normal"`, `"priority":"x"`}, []string{`route/replies: priority: no priority is named "x"`}},
		"host name":        {[]string{"10.0.0.1:80", "engine:80"}, []string{`pool/engines: upstreams[0].address: want an IP number and a port, got "engine:80"`}},
		"bad key hash":     {[]string{"sha256:9f", "md5:9f"}, []string{`organisation/first: key_hashes[0]: want "sha256:" and 64 lower-case hex digits`}},
		"out of range":     {[]string{`"level":3`, `"level":10`}, []string{`priority/normal: level: 10 is not between 0 and 9`}},
		"unknown field":    {[]string{`"share":1`, `"share":1,"colour":2`}, []string{`organisation/first: colour: unknown field`}},
		"unknown section":  {[]string{`"routes": [`, `"ways": [`}, []string{`configuration: ways: unknown field`}},
		"duplicate field":  {[]string{`"share":1`, `"share":1,"share":2`}, []string{`organisation/first: share: stands twice`}},
		"wrong type":       {[]string{`"slots":4`, `"slots":"four"`}, []string{`pool/engines: slots: want int, got string`}},
		"nested field":     {[]string{`"data_centre":"dc"`, `"data_centre":"dc","rack":1`}, []string{`pool/engines: upstreams[0].rack: unknown field`}},
		"bad name": {[]string{`"name":"normal"`, `"name":"Not Good"`}, []string{
			`priority/Not Good: name: want 1 to 63 lower-case letters, digits, dots, dashes and underscores`,
			`route/replies: priority: no priority is named "normal"`,
		}},
		"several at once": {[]string{`"level":3`, `"level":-1`, `"share":1`, `"share":0`, `"kind":"model"`, `"kind":"magic"`}, []string{
			`organisation/first: share: 0 is not between 1 and 1000`,
			`priority/normal: level: -1 is not between 0 and 9`,
			`route/replies: kind: "magic" is neither "model" nor "service"`,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.NewReplacer(tt.replace...).Replace(validSet)
			d, outcome := applySet(t, contract.Document{}, text)
			if diff := cmp.Diff(tt.want, problemLines(outcome.Problems)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if published := d.Generation > 0; published != (len(tt.want) == 0) {
				t.Errorf("published: %t", published)
			}
		})
	}
}

// TestExamples checks that the example configurations are valid.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/configuration.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("files %v, err %v", files, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, outcome := applySet(t, contract.Document{}, string(raw)); !outcome.OK() {
			t.Errorf("%s: %v", file, problemLines(outcome.Problems))
		}
	}
}

// TestConflicts applies changes based on a generation that another change has
// replaced. Only different changes to the same object conflict.
func TestConflicts(t *testing.T) {
	base, outcome := applySet(t, contract.Document{}, validSet)
	if !outcome.OK() {
		t.Fatal(problemLines(outcome.Problems))
	}
	const first = `{"generation":1,"priorities":[{"name":"normal","level":4}]}`
	after, _ := applySet(t, base, first)
	tests := map[string]struct {
		text       string
		conflicts  []string
		generation uint64
	}{
		"another object":            {`{"generation":1,"priorities":[{"name":"batch","level":9}]}`, nil, 3},
		"the same object":           {`{"generation":1,"priorities":[{"name":"normal","level":5}]}`, []string{"priority/normal"}, 2},
		"the same change":           {first, nil, 2},
		"the same object, new base": {`{"generation":2,"priorities":[{"name":"normal","level":5}]}`, nil, 3},
		"one of two objects":        {`{"generation":1,"priorities":[{"name":"normal","level":5},{"name":"batch","level":9}]}`, []string{"priority/normal"}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, outcome := applySet(t, after, tt.text)
			if diff := cmp.Diff(tt.conflicts, outcome.Conflicts); diff != "" {
				t.Errorf("conflicts (-want +got):\n%s", diff)
			}
			if d.Generation != tt.generation {
				t.Errorf("generation %d, want %d", d.Generation, tt.generation)
			}
		})
	}
}

// TestDeltas checks that deltas from every earlier generation lead to the newest
// document, and that Revert restores the content of an older one.
func TestDeltas(t *testing.T) {
	d, _ := applySet(t, contract.Document{}, validSet)
	history := []contract.Document{{}, d}
	for _, text := range []string{
		`{"priorities":[{"name":"batch","level":9}]}`,
		`{"priorities":[{"name":"normal","level":1}]}`,
	} {
		d, _ = applySet(t, d, text)
		history = append(history, d)
	}
	d, _ = d.WithChange(contract.Change{Deletes: []string{"priority/batch"}})
	history = append(history, d)
	for _, from := range history {
		raw, err := json.Marshal(d.Since(from.Generation))
		if err != nil {
			t.Fatal(err)
		}
		var delta contract.Delta
		if err := json.Unmarshal(raw, &delta); err != nil {
			t.Fatal(err)
		}
		if got := from.WithDelta(delta); got.Digest() != d.Digest() {
			t.Errorf("from generation %d: digest %x, want %x", from.Generation, got.Digest(), d.Digest())
		}
	}
	back, outcome := d.WithChange(contract.Revert(d, history[2]))
	if !outcome.OK() || back.Generation != d.Generation+1 {
		t.Errorf("revert: %+v", outcome)
	}
	set, _ := back.Set()
	want, _ := history[2].Set()
	set.Generation, want.Generation = 0, 0
	if diff := cmp.Diff(want, set); diff != "" {
		t.Errorf("revert (-want +got):\n%s", diff)
	}
}

func TestAuthenticate(t *testing.T) {
	d, _ := applySet(t, contract.Document{}, validSet)
	c, problems := contract.NewCatalogue(d)
	if len(problems) > 0 {
		t.Fatal(problemLines(problems))
	}
	for key, want := range map[string]bool{"test": true, "Test": false, "": false} {
		if _, got := c.Authenticate(key); got != want {
			t.Errorf("API key %q accepted: %t", key, got)
		}
	}
}
