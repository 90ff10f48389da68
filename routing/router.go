package routing

import (
	"cmp"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

// PrefixMatcher returns how many leading prompt blocks each upstream probably has cached. *prefixindex.Index implements
// it.
type PrefixMatcher interface {
	Match(hashes []uint64, now time.Time) map[string]int
}

// Router chooses upstreams for one entry.
type Router struct {
	cfg      Config
	filters  []Filter[Request, Candidate]
	prefixes PrefixMatcher
	inflight *InFlight
	picker   Picker
}

// New returns a router. The caller records attempts in inflight and prompts in prefixes.
func New(cfg Config, prefixes PrefixMatcher, inflight *InFlight, rng *rand.Rand) *Router {
	return &Router{
		cfg:      cfg,
		filters:  Filters(inflight),
		prefixes: prefixes,
		inflight: inflight,
		picker: Picker{
			Rand:          rng,
			NearSamples:   cfg.NearSamples,
			AnySamples:    cfg.AnySamples,
			PrefixSamples: cfg.PrefixSamples,
		},
	}
}

// Route chooses an upstream. When the filters leave no candidate, it returns a decision with their counts and an
// *outcome.Refusal of kind no_upstream.
func (r *Router) Route(req Request, candidates []Candidate, now time.Time) (Decision, error) {
	d := Decision{RequestID: req.ID, Candidates: len(candidates)}
	pipeline := Pipeline[Request, Candidate]{Filters: r.filters}
	kept, removed := pipeline.Keep(&req, candidates)
	d.Removed = removed
	if len(kept) == 0 {
		return d, r.refusal(&req, d)
	}
	prefix := PrefixScorer{BlockTokens: r.cfg.BlockTokens, PrefillTokensPerSecond: r.cfg.PrefillTokensPerSecond}
	if len(req.Prefix) > 0 {
		prefix.Matched = r.prefixes.Match(req.Prefix, now)
	}
	place := r.placeScorer()
	nearest := withLowestCost(kept, func(c *Candidate) float64 { return place.Cost(&req, c, now) })
	var bestPrefix []*Candidate
	if len(prefix.Matched) > 0 {
		bestPrefix = withLowestCost(kept, func(c *Candidate) float64 { return prefix.Cost(&req, c, now) })
	}
	if len(bestPrefix) > 0 && prefix.Matched[bestPrefix[0].Name] == 0 {
		bestPrefix = nil
	}
	pipeline.Scorers = []Scorer[Request, Candidate]{prefix, r.waitScorer(), place}
	for _, c := range r.picker.Sample(kept, nearest, bestPrefix) {
		d.Sampled = append(d.Sampled, pipeline.Score(&req, c, now))
	}
	slices.SortStableFunc(d.Sampled, func(a, b ScoredCandidate) int { return cmp.Compare(a.Total, b.Total) })
	d.Chosen = d.Sampled[0].Candidate
	return d, nil
}

func (r *Router) waitScorer() WaitScorer {
	return WaitScorer{
		InFlight:               r.inflight,
		MaxReportAge:           r.cfg.MaxReportAge,
		DefaultTokensPerSecond: r.cfg.DefaultTokensPerSecond,
	}
}

func (r *Router) placeScorer() PlaceScorer {
	return PlaceScorer{
		DataCentre:           r.cfg.DataCentre,
		Region:               r.cfg.Region,
		CrossDataCentreCost:  r.cfg.CrossDataCentreCost,
		CrossRegionCost:      r.cfg.CrossRegionCost,
		CrossRegionCostPerMB: r.cfg.CrossRegionCostPerMB,
	}
}

func (r *Router) refusal(req *Request, d Decision) error {
	var causes []string
	for _, m := range d.Removed {
		causes = append(causes, fmt.Sprintf("%s %d", m.Filter, m.Count))
	}
	return &outcome.Refusal{
		Kind:       outcome.KindNoUpstream,
		Outcome:    outcome.NotRun,
		Message:    fmt.Sprintf("none of %d upstreams can run %q now (removed: %s)", d.Candidates, req.Serves, strings.Join(causes, ", ")),
		Remedy:     "repeat the request after the given time",
		RetryAfter: r.cfg.RetryAfter,
		Status:     http.StatusServiceUnavailable,
	}
}

// withLowestCost returns the candidates with the lowest cost.
func withLowestCost(candidates []*Candidate, cost func(*Candidate) float64) []*Candidate {
	var best []*Candidate
	lowest := 0.0
	for _, c := range candidates {
		v := cost(c)
		if len(best) > 0 && v > lowest {
			continue
		}
		if len(best) > 0 && v < lowest {
			best = best[:0]
		}
		lowest = v
		best = append(best, c)
	}
	return best
}
