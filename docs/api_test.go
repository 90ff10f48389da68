package docs

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// matchConstants returns the first group of each match of pattern, a string constant, in a source file.
func matchConstants(t *testing.T, file, pattern string) []string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(data), -1) {
		values = append(values, match[1])
	}
	if len(values) == 0 {
		t.Fatalf("%s has no constant that matches %s", file, pattern)
	}
	return values
}

// Guards against a kind of refusal that callers receive and api.md does not list.
func TestRefusalsAreListed(t *testing.T) {
	rows := section(t, readPage(t, "api.md"), "Refusals")
	for _, kind := range matchConstants(t, "../outcome/refusal.go", `Kind\w+\s+Kind = "(\w+)"`) {
		if !strings.Contains(rows, "\n| `"+kind+"` |") {
			t.Errorf("api.md does not list the refusal %q", kind)
		}
	}
}

// Guards against paths of the operator port and the caller port that api.md does not list.
func TestPathsAreListed(t *testing.T) {
	text := readPage(t, "api.md")
	paths := matchConstants(t, "../operatorclient/paths.go", `Path\w+\s+= "([^"]+)"`)
	paths = append(paths, matchConstants(t, "../entry/dispatch.go", `\w+Path\s+= "([^"]+)"`)...)
	for _, path := range paths {
		if !strings.Contains(text, path) {
			t.Errorf("api.md does not list the path %s", path)
		}
	}
}
