package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSources is the maximum number of engines that one engine is told to copy from.
const maxSources = 3

// copiesPerHolder is how many engines are told to copy from one holder of a version at a time. If every engine of a
// data centre copied from the first holder, 84 copies would share its link and exceed the stage timeout. With this
// limit the number of holders triples in each round.
const copiesPerHolder = 2

// StagePlan tells an engine where to get the weights of a version.
type StagePlan struct {
	// Sources are the base URLs of engines in the same data centre that hold the version, in order of preference. It is
	// empty while other engines copy first.
	Sources []string
	// FetchFromStore is true for the one engine of the data centre that fetches from the weight store; the others wait
	// until an engine holds the version. The store is rate-limited and its traffic between regions is billed.
	FetchFromStore bool
}

// rankedEngine is an engine with its precomputed rank, which is too expensive to compute in each comparison of a sort.
type rankedEngine struct {
	Engine
	rank uint64
}

// PlanStage returns where the engine self gets version from, given the engines of its policy in its data centre.
// Entries with slightly different views may select two engines for the store or exceed copiesPerHolder, which only
// costs time.
//
// The engines, ordered by rank, form a distribution tree: the first engine fetches from the store, and in each round
// every engine that holds the version serves copiesPerHolder more. The position in the tree does not depend on which
// engines hold the version, so copies that finish at different times do not redirect other engines to a busy holder.
func PlanStage(self string, version int64, engines []Engine) StagePlan {
	selfRank := fetchRank(self, version)
	ranked := make([]rankedEngine, 0, len(engines))
	var holders []Engine
	position := 0
	for _, e := range engines {
		if !e.Healthy {
			continue
		}
		rank := fetchRank(e.Upstream, version)
		ranked = append(ranked, rankedEngine{e, rank})
		if rank > selfRank {
			position++
		}
		if e.Upstream != self && e.WeightsURL != "" && e.hasWeights(version) {
			holders = append(holders, e)
		}
	}
	if len(ranked) == 0 {
		return StagePlan{FetchFromStore: true}
	}
	slices.SortFunc(ranked, func(a, b rankedEngine) int { return cmp.Compare(b.rank, a.rank) })
	return StagePlan{
		Sources:        selectSources(self, version, ranked, holders, position),
		FetchFromStore: ranked[0].Upstream == self,
	}
}

// selectSources returns the URLs of the parent of the engine at position in the tree and of other holders as fallbacks.
// It returns nil while the engine has to wait for its parent. If enough other engines hold the version, an engine
// before it may be broken, and it stops waiting.
func selectSources(self string, version int64, ranked []rankedEngine, holders []Engine, position int) []string {
	parentPosition, roundStart := parentOf(position)
	parent := ranked[parentPosition].Upstream
	// The parent is ready once it holds the version and has served its engines of the previous round.
	parentReady := slices.ContainsFunc(holders, func(e Engine) bool { return e.Upstream == parent })
	if previousStart := roundStart / (1 + copiesPerHolder); parentPosition < previousStart {
		firstServed := previousStart + copiesPerHolder*parentPosition
		for _, e := range ranked[firstServed : firstServed+copiesPerHolder] {
			parentReady = parentReady && e.hasWeights(version)
		}
	}
	enoughHolders := max(1, min(copiesPerHolder*roundStart, len(ranked)/2))
	if !parentReady && len(holders) < enoughHolders {
		return nil
	}
	rankedHolders := make([]rankedEngine, 0, len(holders))
	for _, e := range holders {
		rank := fetchRank(self+e.Upstream, version)
		if e.Upstream == parent {
			rank = math.MaxUint64
		}
		rankedHolders = append(rankedHolders, rankedEngine{e, rank})
	}
	slices.SortFunc(rankedHolders, func(a, b rankedEngine) int { return cmp.Compare(b.rank, a.rank) })
	var urls []string
	for _, e := range rankedHolders[:min(len(rankedHolders), maxSources)] {
		urls = append(urls, e.WeightsURL)
	}
	return urls
}

// parentOf returns the position that the engine at position copies from, and the first position of its round, which is
// the number of positions that earlier rounds fill.
func parentOf(position int) (parent, roundStart int) {
	roundStart = 1
	for position >= roundStart*(1+copiesPerHolder) {
		roundStart *= 1 + copiesPerHolder
	}
	return max(0, position-roundStart) / copiesPerHolder, roundStart
}

// fetchRank hashes name with version as the seed, so that successive versions are fetched by different engines.
func fetchRank(name string, version int64) uint64 {
	h := xxhash.NewWithSeed(uint64(version))
	_, _ = h.WriteString(name)
	return h.Sum64()
}
