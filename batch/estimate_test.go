package batch

import "testing"

// Guards against estimates above what an item may generate: they hold back the other items of the step, and reserve
// memory of engines that the text can never use.
func TestEstimateStaysBelowLimitOfItem(t *testing.T) {
	item := Item{ID: "a", Tokens: 2200, PromptTokens: 200, LengthHint: 9000}
	if got := item.ExpectedTokens(); got != 2000 {
		t.Errorf("%d tokens expected of an item that may generate 2000", got)
	}
	item.LengthHint = 1500
	if got := item.ExpectedTokens(); got != 1500 {
		t.Errorf("%d tokens expected, the trainer says 1500", got)
	}
	if got := (&Item{LengthHint: 1500}).ExpectedTokens(); got != 1500 {
		t.Errorf("%d tokens expected without a limit, the trainer says 1500", got)
	}
	j := NewJob(Spec{Items: []Item{{ID: "a", Tokens: 2200, PromptTokens: 200, LengthHint: 500}}}, Record{}, Limits{Rate: &TokenRate{}})
	p := j.Items()[0]
	j.Start(p)
	for event := 1; event <= 36; event++ {
		p.Text.Append(event, "x", 1)
		if done, left := p.rate.Tokens(event), p.RemainingTokens(); done+left > 2000 {
			t.Fatalf("after %d tokens, %d more are expected of an item that may generate 2000", done, left)
		}
	}
	j.ApplyCarryover(map[string]TextSummary{"a": {Events: 39}})
	if got := p.expectedTokens(); got != 2000 {
		t.Errorf("%d tokens expected of a text that was cut after 39 events, the item allows 2000", got)
	}
}

// Guards against a step that starts its texts one after the other because the estimates of a few are beyond all limits.
func TestEstimatesBeyondTheLimitHoldNothingBack(t *testing.T) {
	concurrency := func(longest int) int {
		var spec Spec
		for i := range 160 {
			hint := 600
			if i%8 == 0 {
				hint = longest
			}
			spec.Items = append(spec.Items, Item{ID: string(rune('a' + i)), Tokens: 5200, PromptTokens: 200, LengthHint: hint})
		}
		return NewJob(spec, Record{}, Limits{Rate: &TokenRate{}}).Concurrency()
	}
	if right, wrong := concurrency(5000), concurrency(40_000); wrong != right {
		t.Errorf("%d items run at once, %d with estimates above the limit of the items", right, wrong)
	}
}

// Guards against items without an estimate that are expected to become as long as they may.
func TestLimitIsNoEstimate(t *testing.T) {
	var length TextLength
	spec := Spec{Items: []Item{
		{ID: "none", Tokens: 24_300, PromptTokens: 300},
		{ID: "hint", Tokens: 24_300, PromptTokens: 300, LengthHint: 8000},
		{ID: "short", Tokens: 400, PromptTokens: 300},
	}}
	j := NewJob(spec, Record{}, Limits{Rate: &TokenRate{}, Length: &length})
	check := func(when string, none int) {
		t.Helper()
		for id, want := range map[string]int{"none": none, "hint": 8000, "short": 100} {
			if p, _ := j.Get(id); p.RemainingTokens() != want {
				t.Errorf("%s: %d tokens expected of %s, want %d", when, p.RemainingTokens(), id, want)
			}
		}
	}
	check("before a text was observed", defaultTextTokens)
	for range minLearnedTexts {
		length.Learn(24)
	}
	check("after texts of 24 events", 24*defaultTokenRate)
	for range 400 {
		length.Learn(200)
	}
	if got := length.Tokens(nil); got < 190*defaultTokenRate || got > 200*defaultTokenRate {
		t.Errorf("%d tokens expected after 400 texts of %d", got, 200*defaultTokenRate)
	}
}

// Guards against memory that is planned with many tokens for each event although no trainer has said so, and with more
// than an item may generate.
func TestMemoryOfTextsWithoutEstimates(t *testing.T) {
	var rate TokenRate
	spec := Spec{Items: []Item{{ID: "a", Tokens: 24_300, PromptTokens: 300}}}
	j := NewJob(spec, Record{}, Limits{Rate: &rate})
	p := j.Items()[0]
	j.Start(p)
	for event := 1; event <= 900; event++ {
		p.Text.Append(event, "x", 1)
	}
	if held, growth := p.HeldTokens(), p.GrowthTokens(); held != 300+900 || growth > 900 {
		t.Errorf("900 events hold %d tokens and add %d, want one token an event", held, growth)
	}
	for range minLearnedTexts {
		rate.Learn(2000, 100)
	}
	if held := p.HeldTokens(); held < 300+17_900 || held > 300+18_000 {
		t.Errorf("900 events of 20 tokens hold %d tokens", held)
	}
	for event := 901; event <= 2000; event++ {
		p.Text.Append(event, "x", 1)
	}
	if held := p.HeldTokens(); held != 24_300 {
		t.Errorf("%d tokens are held by an item of at most 24300", held)
	}
}
