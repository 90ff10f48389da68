package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSources bounds the engines that one engine is told to copy from.
const maxSources = 3

// Stage says from where an engine gets the weights of a version.
type Stage struct {
	// Sources are base URLs of engines in the same data centre that hold the version.
	Sources []string
	// FetchFromStore is true for the one engine of the data centre that fetches from the weight store; the others wait
	// until it, or another, holds the version. The store is rate-limited and its links between regions are paid.
	FetchFromStore bool
}

// PlanStage returns from where the engine self gets version, given the engines of its policy in its data centre.
// Entries with slightly different views may name two engines for the store, which costs one more fetch and no more.
func PlanStage(self string, version int64, engines []Engine) Stage {
	var stage Stage
	first := ""
	for _, e := range engines {
		if !e.Healthy {
			continue
		}
		if e.Upstream != self && e.WeightsURL != "" && (e.Active == version || slices.Contains(e.Staged, version)) {
			stage.Sources = append(stage.Sources, e.WeightsURL)
		}
		if first == "" || fetchRank(e.Upstream, version) > fetchRank(first, version) {
			first = e.Upstream
		}
	}
	// Each engine copies from others first, so that one holder does not serve a whole data centre.
	slices.SortFunc(stage.Sources, func(a, b string) int {
		return cmp.Compare(fetchRank(self+a, version), fetchRank(self+b, version))
	})
	stage.Sources = stage.Sources[:min(len(stage.Sources), maxSources)]
	stage.FetchFromStore = first == self || first == ""
	return stage
}

// fetchRank spreads the fetches of successive versions over the engines.
func fetchRank(name string, version int64) uint64 {
	h := xxhash.NewWithSeed(uint64(version))
	_, _ = h.WriteString(name)
	return h.Sum64()
}
