// Package docs embeds the project's documentation. The quickstart example uses a
// page as the long text of its prompts.
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

// Text returns the text of a page, such as DESIGN.md. It returns an error if there
// is no such page. It is safe for concurrent use.
func Text(name string) (string, error) {
	raw, err := files.ReadFile(name)
	if err != nil {
		return "", fmt.Errorf("docs: %w", err)
	}
	return string(raw), nil
}
