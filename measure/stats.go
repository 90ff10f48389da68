package measure

import (
	"math"
	"slices"
)

// quantile returns the q-quantile of values, with q from 0 to 1, or NaN if there are no values.
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

// lognormal draws an integer from a log-normal distribution with the given mean and standard deviation of the
// logarithm, clamped to the range from 1 to limit.
func lognormal(s *Sim, mean, sigma float64, limit int) int {
	v := math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*s.Rand.NormFloat64())
	return min(max(int(v), 1), limit)
}

// pickWeighted draws an index with a probability proportional to its weight.
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

// poisson draws a Poisson-distributed count. Above a mean of 50 it uses the normal approximation.
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

// noiseScale returns the factor of the random term in first-order autoregressive noise with standard deviation 1 and
// the given correlation of successive values.
func noiseScale(correlation float64) float64 { return math.Sqrt(1 - correlation*correlation) }
