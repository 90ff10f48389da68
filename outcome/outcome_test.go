package outcome

import "testing"

// Guards against a missing or empty outcome header that is parsed as NotRun.
func TestParseEmptyIsMayHaveRun(t *testing.T) {
	got, err := Parse("")
	if err != nil || got != MayHaveRun {
		t.Fatalf("Parse(\"\") = %v, %v; want %v", got, err, MayHaveRun)
	}
}

// Guards against an outcome that changes when it is sent between agent and entry.
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
