package outcome

import "testing"

// Guards against a lost or empty outcome header being read as "not run".
func TestParseEmptyIsMayHaveRun(t *testing.T) {
	got, err := Parse("")
	if err != nil || got != MayHaveRun {
		t.Fatalf("Parse(\"\") = %v, %v; want %v", got, err, MayHaveRun)
	}
}

// Guards against a wire form that does not survive the hop between agent and entry.
func TestParseRoundTrip(t *testing.T) {
	for _, o := range []Outcome{NotRun, MayHaveRun, Ran} {
		got, err := Parse(o.String())
		if err != nil || got != o {
			t.Errorf("Parse(%q) = %v, %v", o, got, err)
		}
	}
	if _, err := Parse("skipped"); err == nil {
		t.Error("Parse accepted an unknown outcome")
	}
}
