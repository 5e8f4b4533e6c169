// Package strictjson decodes JSON from operators and reports every mistake in one
// pass: unknown and duplicate fields, wrong types and trailing text. Each mistake
// is reported with the object, the field and the reason.
//
// # Usage
//
//	var s Settings
//	problems := strictjson.Decode("settings", raw, &s)
//	for _, p := range problems {
//		fmt.Fprintln(os.Stderr, p)
//	}
//
// All functions are safe for concurrent use.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/rawjson"
)

// Problem is one mistake in a document.
type Problem struct {
	// Object names the object that has the mistake, such as "route/filings".
	Object string `json:"object"`
	// Field is the path of the field inside the object. It may be empty.
	Field string `json:"field,omitempty"`
	// Reason is a human-readable message.
	Reason string `json:"reason"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Object + ": " + p.Reason
	}
	return p.Object + ": " + p.Field + ": " + p.Reason
}

// Decode decodes raw into the struct that dst points to and returns every problem
// found. Field names must match the json tags exactly, including case. Fields
// without a problem are set even if others have one. An integral number in any
// spelling is an integer, and a fraction in a field that ends in _ms is rounded.
func Decode(object string, raw []byte, dst any) []Problem {
	d := decoder{object: object}
	d.decodeValue("", rawjson.Integers(raw), reflect.ValueOf(dst).Elem())
	return d.problems
}

type decoder struct {
	object   string
	problems []Problem
}

func (d *decoder) addProblem(field, format string, args ...any) {
	d.problems = append(d.problems, Problem{Object: d.object, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeValue(field string, raw []byte, dst reflect.Value) {
	if _, custom := dst.Addr().Interface().(json.Unmarshaler); custom {
		d.decodeLeaf(field, raw, dst)
		return
	}
	switch {
	case dst.Kind() == reflect.Struct:
		d.decodeStruct(field, raw, dst)
	case dst.Kind() == reflect.Slice && dst.Type().Elem().Kind() == reflect.Struct:
		d.decodeSlice(field, raw, dst)
	default:
		d.decodeLeaf(field, raw, dst)
	}
}

func (d *decoder) decodeLeaf(field string, raw []byte, dst reflect.Value) {
	err := json.Unmarshal(raw, dst.Addr().Interface())
	if err == nil {
		return
	}
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		if n, rounded := roundedMilliseconds(field, raw); rounded && dst.CanInt() && !dst.OverflowInt(n) {
			dst.SetInt(n)
			return
		}
		d.addProblem(field, "want %s, got %s", e.Type, e.Value)
		return
	}
	d.addProblem(field, "%s", err)
}

// roundedMilliseconds returns a number of milliseconds with a fraction as a whole number.
func roundedMilliseconds(field string, raw []byte) (n int64, rounded bool) {
	var value float64
	if !strings.HasSuffix(field, "_ms") || json.Unmarshal(raw, &value) != nil || math.Abs(value) > math.MaxInt32 {
		return 0, false
	}
	return int64(math.Round(value)), true
}

func (d *decoder) decodeSlice(field string, raw []byte, dst reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addProblem(field, "want a list")
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", field, i), item, out.Index(i))
	}
	dst.Set(out)
}

func (d *decoder) decodeStruct(field string, raw []byte, dst reflect.Value) {
	members, err := Members(raw)
	if err != nil {
		d.addProblem(field, "%s", err)
		return
	}
	fields := fieldsByName(dst)
	seen := make(map[string]bool, len(members))
	for _, m := range members {
		path := joinPath(field, m.Name)
		if seen[m.Name] {
			d.addProblem(path, "stands twice")
			continue
		}
		seen[m.Name] = true
		target, known := fields[m.Name]
		if !known {
			d.addProblem(path, "unknown field")
			continue
		}
		d.decodeValue(path, m.Value, target)
	}
}

func fieldsByName(dst reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range dst.NumField() {
		name, _, _ := strings.Cut(dst.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = dst.Field(i)
		}
	}
	return fields
}

func joinPath(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

// Member is one name and value of a JSON object, in document order.
type Member struct {
	Name  string
	Value json.RawMessage
}

// Members splits a JSON object into its members. Members with duplicate names are
// all returned. Text after the object is an error.
func Members(raw []byte) ([]Member, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	open, err := dec.Token()
	if err != nil {
		return nil, fmt.Errorf("strictjson: %w", err)
	}
	if open != json.Delim('{') {
		return nil, fmt.Errorf("strictjson: want an object")
	}
	var members []Member
	for dec.More() {
		name, err := dec.Token()
		if err != nil {
			return nil, fmt.Errorf("strictjson: %w", err)
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return nil, fmt.Errorf("strictjson: %w", err)
		}
		members = append(members, Member{Name: name.(string), Value: value})
	}
	if _, err := dec.Token(); err != nil {
		return nil, fmt.Errorf("strictjson: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, fmt.Errorf("strictjson: text after the end of the object")
	}
	return members, nil
}

// Depth returns the maximum nesting depth of arrays and objects in raw. It does not
// use recursion and does not check that raw is valid JSON.
func Depth(raw []byte) int {
	depth, maxDepth := 0, 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			maxDepth = max(maxDepth, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return maxDepth
}
