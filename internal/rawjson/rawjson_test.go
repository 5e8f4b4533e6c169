package rawjson_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/rawjson"
)

func TestSplit(t *testing.T) {
	deep := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := map[string]struct {
		text    string
		members map[string]json.RawMessage
		valid   bool
	}{
		"empty":                {`{}`, map[string]json.RawMessage{}, true},
		"white space":          {"\n{ \"a\" :\t1 , \"b\":[2, 3] }\r", map[string]json.RawMessage{"a": json.RawMessage("1"), "b": json.RawMessage("[2, 3]")}, true},
		"brackets in text":     {`{"a":"]},{\"","b":"\\"}`, map[string]json.RawMessage{"a": json.RawMessage(`"]},{\""`), "b": json.RawMessage(`"\\"`)}, true},
		"escaped name":         {`{"\u0061":1}`, map[string]json.RawMessage{"a": json.RawMessage("1")}, true},
		"deep":                 {`{"a":` + deep + `,"b":1}`, map[string]json.RawMessage{"a": json.RawMessage(deep), "b": json.RawMessage("1")}, true},
		"not closed":           {`{"a":[1}`, nil, false},
		"closed twice":         {`{"a":1]}`, nil, false},
		"text not closed":      {`{"a":"1}`, nil, false},
		"no name":              {`{1:2}`, nil, false},
		"no colon":             {`{"a" 1}`, nil, false},
		"comma without member": {`{"a":1,}`, nil, false},
		"an array":             {`[1]`, nil, false},
		"nothing":              {``, nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := rawjson.Members([]byte(test.text))
			if (err == nil) != test.valid {
				t.Errorf("error %v, want valid %v", err, test.valid)
			}
			if diff := cmp.Diff(test.members, got); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
		})
	}
}

// FuzzElements checks that valid arrays are split as encoding/json does.
func FuzzElements(f *testing.F) {
	for _, seed := range []string{`[]`, `[1, "a,]", {"b":[2]}, null]`, `["\\\"",[[]]]`, `[`, `{"a":1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := rawjson.Elements(raw)
		var want []json.RawMessage
		if json.Unmarshal(raw, &want) != nil || want == nil {
			return
		}
		if err != nil {
			t.Fatalf("valid text: %v", err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("elements (-want +got):\n%s", diff)
		}
	})
}
