package docs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// readPage returns the content of a documentation page.
func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// section returns the text below a second-level heading.
func section(t *testing.T, text, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(text, "\n## "+heading+"\n")
	if !found {
		t.Fatalf("no section %q", heading)
	}
	body, _, _ := strings.Cut(rest, "\n## ")
	return body
}

// Guards against prose over 120 columns, which is hard to read in a terminal. Tables and code are exempt because they
// cannot be wrapped.
func TestProseIsWrapped(t *testing.T) {
	const columns = 120
	var names []string
	for _, pattern := range []string{"*.md", "operators/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		names = append(names, found...)
	}
	for _, name := range names {
		code := false
		for i, line := range strings.Split(readPage(t, name), "\n") {
			if strings.HasPrefix(line, "```") {
				code = !code
			}
			if !code && !strings.HasPrefix(line, "|") && utf8.RuneCountInString(line) > columns {
				t.Errorf("%s:%d is longer than %d columns", name, i+1, columns)
			}
		}
	}
}
