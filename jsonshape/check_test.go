package jsonshape

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

type testConfig struct {
	Version *int64      `json:"version"`
	Routes  []testRoute `json:"routes"`
	Limits  struct {
		Bytes int `json:"max_bytes"`
	} `json:"limits"`
}

type testRoute struct {
	Name    string   `json:"name"`
	Public  bool     `json:"public"`
	Timeout float64  `json:"timeout_ms"`
	Regions []string `json:"allowed_regions"`
}

// Guards against a wrong type that is not reported, is reported without its place, or hides the ones after it.
func TestCheck(t *testing.T) {
	for text, want := range map[string][]string{
		`{"version":3,"routes":[{"name":"a","public":true,"timeout_ms":0.5,"allowed_regions":["x"]}],"more":{"a":[1]}}`: nil,
		`{"version":null,"routes":null}`: nil,
		`{"version":"3","routes":[{"name":1},{"timeout_ms":"5","allowed_regions":["a",2]}],"limits":[]}`: {
			"version: is a text", "routes[0].name: is a number", "routes[1].timeout_ms: is a text", "routes[1].allowed_regions[1]: is a number", "limits: is a list",
		},
		`{"version":1.5,"limits":{"max_bytes":99999999999999999999}}`:     {"version: 1.5 is not a whole number", "limits.max_bytes: 99999999999999999999 is not a whole number"},
		`{"routes":[{"timeout_ms":-4}]}`:                                  {"routes[0].timeout_ms: -4 is negative"},
		`{"Version":"1"}`:                                                 {"Version: is a text"},
		`{"version":1,"version":2}`:                                       {"version: stands twice"},
		`{"routes":[{"timout_ms":4,"publik":true,"nam":"x","path":"/"}]}`: {"routes[0].timout_ms: is no field that this program reads, but resembles timeout_ms", "routes[0].publik", "routes[0].nam"},
		`{"routes":[{"timeout_ms":4,"timeouts_ms":5}]}`:                   nil, // timeout_ms is there
		"{\n\"version\":1,\n}":                                            {": the text is not JSON: invalid character '}' looking for beginning of object key string in line 3"},
		`{"version":1} {}`:                                                {": the text is not JSON: text after the end"},
		`{"version":`:                                                     {": the text is not JSON: unexpected EOF"},
		`[]`:                                                              {": is a list"},
		strings.Repeat("[", maxDepth+1):                                   {": the text is not JSON: nested more than"},
	} {
		var got []string
		for _, p := range Check([]byte(text), reflect.TypeFor[testConfig]()) {
			got = append(got, fmt.Sprintf("%s: %s", p.Path, p.Problem))
			if p.Remedy == "" {
				t.Errorf("%s: %s has no remedy", text, p.Problem)
			}
		}
		if len(got) != len(want) || slices.ContainsFunc(want, func(w string) bool {
			return !slices.ContainsFunc(got, func(g string) bool { return strings.HasPrefix(g, w) })
		}) {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}

// Guards against a distance between names that is not one: not symmetric, or without the triangle inequality.
func TestEditsIsDistance(t *testing.T) {
	name := rapid.StringMatching(`[ab_]{0,6}`)
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := name.Draw(t, "a"), name.Draw(t, "b"), name.Draw(t, "c")
		if (edits(a, b) == 0) != (a == b) || edits(a, b) != edits(b, a) || edits(a, c) > edits(a, b)+edits(b, c) {
			t.Fatalf("%q, %q and %q: %d, %d, %d", a, b, c, edits(a, b), edits(b, c), edits(a, c))
		}
	})
}

// Guards against a text on which the check panics.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(`{"version":1,"routes":[{"timeout_ms":-4}],"limits":{}}`))
	f.Add([]byte(`{"":null,"":[{"":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) { Check(data, reflect.TypeFor[testConfig]()) })
}
