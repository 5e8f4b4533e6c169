// Package docs embeds the project's documentation, so that examples have real
// long text to send.
//
// # Usage
//
//	text, err := docs.Text("DESIGN.md")
package docs

import (
	"embed"
	"fmt"
)

//go:embed *.md
var files embed.FS

// Text returns the text of a page. It is safe for concurrent use.
func Text(name string) (string, error) {
	raw, err := files.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("docs: %w", err)
	}
	return string(raw), nil
}
