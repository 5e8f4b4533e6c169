package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a template of settings as DEPLOY.md says.
func render(text string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		if tag == "" {
			continue
		}
		switch tag[0] {
		case '#', '^':
			body, tail := section(text, tag[1:])
			text = tail
			out.WriteString(renderSection(tag, body, scopes))
		default:
			out.WriteString(renderValue(tag, scopes))
		}
	}
}

// section splits a text behind the end of the section with a name.
func section(text, name string) (body, tail string) {
	body, tail, _ = strings.Cut(text, "{{/"+name+"}}")
	return body, tail
}

func renderSection(tag, body string, scopes []any) string {
	value, found := lookUp(tag[1:], scopes)
	present := found && value != nil && value != false
	if tag[0] == '^' {
		if present {
			return ""
		}
		return render(body, scopes...)
	}
	list, isList := value.([]any)
	if !isList {
		if !present {
			return ""
		}
		return render(body, append(scopes, value)...)
	}
	var out strings.Builder
	for i, v := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(render(strings.ReplaceAll(body, "{{,}}", comma), append(scopes, v)...))
	}
	return out.String()
}

func renderValue(tag string, scopes []any) string {
	path, asJSON := strings.CutSuffix(tag, "|json")
	value, found := lookUp(path, scopes)
	if asJSON {
		raw, _ := json.Marshal(value)
		return string(raw)
	}
	if !found || value == nil {
		return ""
	}
	switch v := value.(type) {
	case string:
		return v
	case []any:
		var parts []string
		for _, e := range v {
			parts = append(parts, fmt.Sprint(e))
		}
		return strings.Join(parts, ",")
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	default:
		raw, _ := json.Marshal(v)
		return string(raw)
	}
}

// lookUp finds a path in the innermost scope that has it.
func lookUp(path string, scopes []any) (any, bool) {
	if path == "." {
		return scopes[len(scopes)-1], true
	}
	for i := len(scopes) - 1; i >= 0; i-- {
		if v, found := walk(strings.Split(path, "."), scopes[i]); found {
			return v, true
		}
	}
	return nil, false
}

func walk(path []string, v any) (any, bool) {
	for _, name := range path {
		switch t := v.(type) {
		case map[string]any:
			next, found := t[name]
			if !found {
				return nil, false
			}
			v = next
		case []any:
			n, err := strconv.Atoi(name)
			if err != nil || n >= len(t) {
				return nil, false
			}
			v = t[n]
		default:
			return nil, false
		}
	}
	return v, true
}
