package batch

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against a rate that does not converge when the estimates are right in the median but off by a factor of two
// for single texts.
func TestTokenRateConverges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var r TokenRate
	for range 400 {
		events := 5 + random.IntN(100)
		r.Learn(int(66*float64(events)*math.Exp(0.5*random.NormFloat64())), events)
	}
	if got := r.Tokens(100); got < 5900 || got > 7300 {
		t.Errorf("100 events are estimated as %d tokens, want about 6600", got)
	}
	if got := r.Events(r.Tokens(50)); got < 49 || got > 51 {
		t.Errorf("converting 50 events to tokens and back gives %d", got)
	}
}

// Guards against a rate that is distorted by a missing, zero or negative estimate, or learned from too few texts.
func TestTokenRateIgnoresUnusableEstimates(t *testing.T) {
	var r TokenRate
	for range 1000 {
		r.Learn(0, 10)
		r.Learn(-5, 10)
		r.Learn(100, 0)
	}
	for range minLearnedTexts - 1 {
		r.Learn(1_000_000, 1)
	}
	if got := r.Tokens(1); got != defaultTokenRate {
		t.Errorf("%d tokens per event, want the default of %d", got, defaultTokenRate)
	}
	var nilRate *TokenRate
	if got := nilRate.Tokens(2); got != 2*defaultTokenRate {
		t.Errorf("a nil rate gives %d tokens for two events", got)
	}
}
