package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var commandPattern = regexp.MustCompile(`radishshelfctl ([a-z][a-z-]*)(?: ([a-z]+)\b)?`)

// Guards against operator pages that name commands which radishshelfctl does not have.
func TestOperatorPagesNameExistingCommands(t *testing.T) {
	files, err := filepath.Glob("../cmd/radishshelfctl/*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("source of radishshelfctl: %v, %v", files, err)
	}
	var text strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(data)
	}
	known := func(word string) bool {
		return regexp.MustCompile(`"` + word + `[" ]`).MatchString(text.String())
	}
	for name, content := range operatorPages(t) {
		for _, match := range commandPattern.FindAllStringSubmatch(content, -1) {
			for _, word := range match[1:3] {
				if word != "" && !known(word) {
					t.Errorf("%s: %q names the unknown command %q", name, match[0], word)
				}
			}
		}
	}
}
