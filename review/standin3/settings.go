package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a settings template as the page about deployment says, as far as
// deploy/settings.json.tmpl uses it.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		switch value := lookup(fields, m[1]).(type) {
		case nil:
			return ""
		case []string:
			var out strings.Builder
			for i, entry := range value {
				comma := ","
				if i == len(value)-1 {
					comma = ""
				}
				quoted, _ := json.Marshal(entry)
				out.WriteString(strings.NewReplacer("{{.|json}}", string(quoted), "{{.}}", entry, "{{,}}", comma).Replace(m[2]))
			}
			return out.String()
		default:
			return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(value))
		}
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value := lookup(fields, m[1])
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		raw, _ := json.Marshal(value)
		return string(raw)
	})
}

// lookup returns the field with a dotted name, or nil.
func lookup(fields map[string]any, name string) any {
	first, rest, nested := strings.Cut(name, ".")
	value := fields[first]
	if !nested {
		return value
	}
	switch value := value.(type) {
	case map[string]any:
		return lookup(value, rest)
	case []int:
		var i int
		if _, err := fmt.Sscan(rest, &i); err == nil && i < len(value) {
			return value[i]
		}
	}
	return nil
}
