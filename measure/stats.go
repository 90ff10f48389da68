package measure

import (
	"math"
	"slices"
)

// quantile returns the value below which the share q lies; NaN without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// lognormal draws an integer with the given mean and spread of the logarithm, between 1 and limit.
func lognormal(s *Sim, mean, sigma float64, limit int) int {
	v := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*s.Rand.NormFloat64())
	return min(max(int(v), 1), limit)
}

// pickWeighted draws an index with the given weights.
func pickWeighted(s *Sim, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := s.Rand.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// poisson draws a count with the given mean; large means use the normal distribution.
func poisson(s *Sim, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*s.Rand.NormFloat64())))
	}
	n := 0
	for left := s.Rand.ExpFloat64(); left < mean; left += s.Rand.ExpFloat64() {
		n++
	}
	return n
}

// noiseScale is the step of a first-order autoregressive noise of deviation 1 that keeps a share of its last value.
func noiseScale(correlation float64) float64 { return math.Sqrt(1 - correlation*correlation) }
