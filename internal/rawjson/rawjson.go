// Package rawjson splits JSON texts into the raw texts of their members and elements
// without reading what is inside them. So one value that encoding/json can't read, such as
// one that is nested too deeply, does not spoil those beside it.
//
// # Usage
//
//	members, err := rawjson.Members(raw)
//	elements, err := rawjson.Elements(members["items"])
//
// Only quotes and brackets are looked at: a part that is returned may be no valid JSON. The
// parts share the memory of the text. All functions are safe for concurrent use.
package rawjson

import (
	"encoding/json"
	"errors"
	"fmt"
)

var errSyntax = errors.New("rawjson: not an object or array, or not closed")

// Members returns the raw values of an object by their names. Of members with the same name
// it returns the last one.
func Members(raw []byte) (map[string]json.RawMessage, error) {
	parts, err := split(raw, '{', '}')
	if err != nil {
		return nil, err
	}
	members := make(map[string]json.RawMessage, len(parts))
	for _, part := range parts {
		end := endOfString(part)
		if end < 0 {
			return nil, errSyntax
		}
		var name string
		if err := json.Unmarshal(part[:end], &name); err != nil {
			return nil, fmt.Errorf("rawjson: name of a member: %w", err)
		}
		value := trimSpace(part[end:])
		if len(value) == 0 || value[0] != ':' {
			return nil, errSyntax
		}
		members[name] = trimSpace(value[1:])
	}
	return members, nil
}

// Elements returns the raw elements of an array.
func Elements(raw []byte) ([]json.RawMessage, error) {
	parts, err := split(raw, '[', ']')
	if err != nil {
		return nil, err
	}
	elements := make([]json.RawMessage, len(parts))
	for i, part := range parts {
		elements[i] = part
	}
	return elements, nil
}

// split returns the texts between the commas directly inside a pair of brackets.
func split(raw []byte, opening, closing byte) ([][]byte, error) {
	raw = trimSpace(raw)
	if len(raw) < 2 || raw[0] != opening || raw[len(raw)-1] != closing {
		return nil, errSyntax
	}
	raw = raw[1 : len(raw)-1]
	var parts [][]byte
	depth, start := 0, 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			end := endOfString(raw[i:])
			if end < 0 {
				return nil, errSyntax
			}
			i += end - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return nil, errSyntax
			}
		case ',':
			if depth == 0 {
				parts = append(parts, trimSpace(raw[start:i]))
				start = i + 1
			}
		}
	}
	last := trimSpace(raw[start:])
	if depth != 0 || len(last) == 0 && len(parts) > 0 {
		return nil, errSyntax
	}
	if len(last) > 0 {
		parts = append(parts, last)
	}
	return parts, nil
}

// endOfString returns the length of the quoted string at the start of a text, or -1.
func endOfString(text []byte) int {
	if len(text) == 0 || text[0] != '"' {
		return -1
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return -1
}

// trimSpace removes JSON's white space at both ends.
func trimSpace(text []byte) []byte {
	space := func(b byte) bool { return b == ' ' || b == '\t' || b == '\n' || b == '\r' }
	for len(text) > 0 && space(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && space(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	return text
}
