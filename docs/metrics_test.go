package docs

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	metricNamePattern = regexp.MustCompile(`radishshelf_[a-z][a-z_]*[a-z]`)
	metricTextPattern = regexp.MustCompile("[\"`]" + metricNamePattern.String())
	eventTextPattern  = regexp.MustCompile(`Msg\("([^"]+)"\)`)
	eventNamePattern  = regexp.MustCompile("event=(?:\"([^\"]+)\"|([a-z_]+))")
	metricRowPattern  = regexp.MustCompile("(?m)^\\| `(" + metricNamePattern.String() + ")` \\|")
)

// matchSource returns the set of texts in the service's Go files that the given group of pattern matches.
func matchSource(t *testing.T, pattern *regexp.Regexp, group int) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains([]string{".git", "standin", "measure", "tools", "docs", "rpc"}, entry.Name()) {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range pattern.FindAllStringSubmatch(string(data), -1) {
			found[strings.TrimLeft(match[group], "\"`")] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(found) == 0 {
		t.Fatalf("no text matches %s", pattern)
	}
	return found
}

// operatorPages returns the contents of the operator pages by file name.
func operatorPages(t *testing.T) map[string]string {
	t.Helper()
	names, err := filepath.Glob("operators/*.md")
	if err != nil || len(names) == 0 {
		t.Fatalf("operator pages: %v, %v", names, err)
	}
	pages := map[string]string{}
	for _, name := range names {
		pages[name] = readPage(t, name)
	}
	return pages
}

// Guards against a metric that metrics.md does not list, and a listed metric that does not exist.
func TestMetricsPage(t *testing.T) {
	existing := matchSource(t, metricTextPattern, 0)
	documented := map[string]bool{}
	for _, match := range metricRowPattern.FindAllStringSubmatch(readPage(t, "metrics.md"), -1) {
		documented[match[1]] = true
	}
	for _, name := range slices.Sorted(maps.Keys(existing)) {
		if !documented[name] {
			t.Errorf("metrics.md does not list %s", name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(documented)) {
		if !existing[name] {
			t.Errorf("metrics.md lists %s, which does not exist", name)
		}
	}
}

// Guards against operator pages that refer to a metric or log event that does not exist.
func TestOperatorPagesNameExistingMetricsAndEvents(t *testing.T) {
	metrics := matchSource(t, metricTextPattern, 0)
	events := matchSource(t, eventTextPattern, 1)
	for name, text := range operatorPages(t) {
		for _, metric := range metricNamePattern.FindAllString(text, -1) {
			if !metrics[metric] {
				t.Errorf("%s: the metric %s does not exist", name, metric)
			}
		}
		for _, match := range eventNamePattern.FindAllStringSubmatch(text, -1) {
			if event := match[1] + match[2]; !events[event] {
				t.Errorf("%s: no log line has the event %q", name, event)
			}
		}
	}
}
