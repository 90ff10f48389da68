package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against a glossary that names packages that were moved or removed.
func TestGlossaryNamesExistingPackages(t *testing.T) {
	checked := 0
	for _, line := range strings.Split(readPage(t, "glossary.md"), "\n") {
		cells := strings.Split(line, " | ")
		if len(cells) != 4 || cells[0] == "| word" || strings.HasPrefix(line, "| ---") {
			continue
		}
		for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[3], -1) {
			checked++
			if info, err := os.Stat(filepath.Join("..", match[1])); err != nil || !info.IsDir() {
				t.Errorf("%q names the package %q, which does not exist", cells[0], match[1])
			}
		}
	}
	if checked == 0 {
		t.Error("the glossary names no package")
	}
}
