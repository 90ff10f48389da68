package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSources bounds the engines that one engine is told to copy from.
const maxSources = 3

// copiesPerHolder is how many engines are told to copy from one holder at a time. Were every engine of a data centre to
// copy from the first holder, 84 copies would share its link and outlast the stage timeout; with the bound the holders
// triple in each round.
const copiesPerHolder = 2

// StagePlan says from where an engine gets the weights of a version.
type StagePlan struct {
	// Sources are base URLs of engines in the same data centre that hold the version; empty while others copy first.
	Sources []string
	// FetchFromStore is true for the one engine of the data centre that fetches from the weight store; the others wait
	// until it, or another, holds the version. The store is rate-limited and its links between regions are paid.
	FetchFromStore bool
}

// rankedEngine keeps the rank of an engine, which is costly to compute in a comparison.
type rankedEngine struct {
	Engine
	rank uint64
}

// PlanStage returns from where the engine self gets version, given the engines of its policy in its data centre.
// Entries with slightly different views may name two engines for the store or a few more copies of one holder, which
// costs time and no more.
//
// The order of the ranks makes a tree: the first engine fetches, and each round gives every engine before it
// copiesPerHolder more. The place in the tree does not depend on who holds the version, so copies that end at different
// times do not move others to a holder that is busy.
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
	return StagePlan{Sources: selectSources(self, version, ranked, holders, position), FetchFromStore: ranked[0].Upstream == self}
}

// selectSources returns the parent of the engine at a place of the tree and others as a reserve. When the turn of the
// engine has not come although enough others hold the version, one before it may be broken, and it waits no longer.
func selectSources(self string, version int64, ranked []rankedEngine, holders []Engine, position int) []string {
	parentPosition, roundStart := parentOf(position)
	parent := ranked[parentPosition].Upstream
	// The parentReady comes when the parent has served its engines of the round before.
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

// parentOf returns the place that the engine at a place copies from, and how many places the rounds before fill.
func parentOf(position int) (parent, roundStart int) {
	roundStart = 1
	for position >= roundStart*(1+copiesPerHolder) {
		roundStart *= 1 + copiesPerHolder
	}
	return max(0, position-roundStart) / copiesPerHolder, roundStart
}

// fetchRank spreads the fetches of successive versions over the engines.
func fetchRank(name string, version int64) uint64 {
	h := xxhash.NewWithSeed(uint64(version))
	_, _ = h.WriteString(name)
	return h.Sum64()
}
