package samples

import (
	"errors"
	"slices"
	"testing"

	"github.com/radishshelf/radishshelf/dataplane"
)

func generation(index int, completion string, spans ...dataplane.Span) Generation {
	g := Generation{Group: "g", Index: index, Completion: completion}
	g.Result.Spans = spans
	g.Result.CompletionTokens = countTokens(spans)
	return g
}

// Guards against samples whose spans do not name the weight versions of all generated tokens.
func TestGenerationSampleRejectsInvalidSpans(t *testing.T) {
	discarded := generation(0, "", dataplane.Span{Version: 1, Tokens: 1})
	discarded.Result.DiscardReason = "engine_restarted"
	short := generation(0, "", dataplane.Span{Version: 1, Tokens: 1})
	short.Result.CompletionTokens = 2
	tests := []struct {
		name   string
		in     Generation
		reason Reason
	}{
		{"two versions", generation(0, "", dataplane.Span{Version: 1, Tokens: 2}, dataplane.Span{Version: 2, Tokens: 1}), ""},
		{"no spans", generation(0, ""), ReasonNoSpans},
		{"unknown version", generation(0, "", dataplane.Span{Version: 1, Tokens: 2}, dataplane.Span{Tokens: 1}), ReasonUnknownVersion},
		{"empty span", generation(0, "", dataplane.Span{Version: 1}), ReasonEmptySpan},
		{"tokens without a version", short, ReasonTokenMismatch},
		{"discarded by the agent", discarded, "engine_restarted"},
	}
	for _, tt := range tests {
		if _, reason := tt.in.Sample(); reason != tt.reason {
			t.Errorf("%s: reason %q, want %q", tt.name, reason, tt.reason)
		}
	}
	spans, _ := VersionSpans(generation(0, "", dataplane.Span{Version: 1, Tokens: 2}, dataplane.Span{Version: 1, Tokens: 1}).Result)
	if want := []dataplane.Span{{Version: 1, Tokens: 3}}; !slices.Equal(spans, want) {
		t.Errorf("adjacent spans of the same version: %v, want %v", spans, want)
	}
}

// Guards against a hedged result that replaces the first one, and against a group that is used before it is complete.
func TestGroupBuilderKeepsFirstResult(t *testing.T) {
	b := NewGroupBuilder("coach", "planner", "g", 2)
	span := dataplane.Span{Version: 4, Tokens: 1}
	steps := []struct {
		in      Generation
		reason  Reason
		missing []string
	}{
		{generation(1, "first", span), "", []string{"g/0"}},
		{generation(1, "hedged", span), ReasonDuplicate, []string{"g/0"}},
		{generation(0, "unlabelled"), ReasonNoSpans, []string{"g/0"}},
		{generation(2, "foreign", span), ReasonNotInGroup, []string{"g/0"}},
		{generation(0, "again", dataplane.Span{Version: 3, Tokens: 1}), "", nil},
	}
	for _, step := range steps {
		if _, ok := b.Group(); ok {
			t.Fatal("the group is returned while samples are missing")
		}
		reason, ok := b.Add(step.in)
		if reason != step.reason || ok != (step.reason == "") || !slices.Equal(b.Missing(), step.missing) {
			t.Fatalf("%s: reason %q, missing %v", step.in.Completion, reason, b.Missing())
		}
	}
	g, ok := b.Group()
	if !ok || g.Samples[1].Completion != "first" || g.OldestVersion() != 3 || len(b.Discards()) != 3 || g.Validate() != nil {
		t.Fatalf("group %+v, discards %v", g, b.Discards())
	}
	if Staleness(5, g.OldestVersion()) != 2 || Stale(5, 3, 2) || !Stale(6, 3, 2) {
		t.Error("wrong staleness or staleness bound")
	}
	g.Samples[0].Spans = nil
	var invalid *InvalidGroupError
	if !errors.As(g.Validate(), &invalid) {
		t.Error("a group with a sample without version spans is accepted")
	}
}
