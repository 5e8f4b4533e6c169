package rawjson_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/rawjson"
)

// TestIntegers checks which spellings are taken for integers, and that texts are left alone.
func TestIntegers(t *testing.T) {
	tests := map[string]string{
		`4000.0`: `4000`, `4e3`: `4000`, `4E+3`: `4000`, `-2.50e1`: `-25`, `0.0`: `0`, `-0.0`: `0`, `4000`: `4000`,
		`7.5`: `7.5`, `4e-3`: `4e-3`, `1e300`: `1e300`, `9007199254740993.0`: `9007199254740993.0`, `1.`: `1.`, `1e`: `1e`,
		`{"a":4000.0,"b":["4000.0",1e1,{"c\"1.0":"x"}],"d":0.5}`: `{"a":4000,"b":["4000.0",10,{"c\"1.0":"x"}],"d":0.5}`,
		`"open 1.0`: `"open 1.0`,
	}
	for text, want := range tests {
		if diff := cmp.Diff(want, string(rawjson.Integers([]byte(text)))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", text, diff)
		}
	}
}

// Guards against CONFIG: a configuration with the number 4000.0 is never applied. What is
// no integer is still an error that names the field.
func TestUnmarshalTakesIntegersInAnySpelling(t *testing.T) {
	type document struct {
		TimeoutMS int64 `json:"timeout_ms"`
		List      []int `json:"list"`
	}
	tests := map[string]struct {
		text  string
		want  document
		error string
	}{
		"integers":    {`{"timeout_ms":4000,"list":[1,2]}`, document{4000, []int{1, 2}}, ""},
		"with points": {`{"timeout_ms":4000.0,"list":[1,2.0]}`, document{4000, []int{1, 2}}, ""},
		"exponents":   {`{"timeout_ms":4e3,"list":[1e0]}`, document{4000, []int{1}}, ""},
		"a fraction":  {`{"timeout_ms":4000.5}`, document{}, "json: cannot unmarshal number 4000.5 into Go struct field document.timeout_ms of type int64"},
		"a text":      {`{"timeout_ms":"4000.0"}`, document{}, "json: cannot unmarshal string into Go struct field document.timeout_ms of type int64"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got document
			problem := ""
			if err := rawjson.Unmarshal([]byte(test.text), &got); err != nil {
				problem = err.Error()
			}
			if diff := cmp.Diff([]any{test.want, test.error}, []any{got, problem}); diff != "" {
				t.Errorf("document and error (-want +got):\n%s", diff)
			}
		})
	}
}
