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
	own := fetchRank(self, version)
	order := make([]rankedEngine, 0, len(engines))
	var holders []Engine
	place := 0
	for _, e := range engines {
		if !e.Healthy {
			continue
		}
		rank := fetchRank(e.Upstream, version)
		order = append(order, rankedEngine{e, rank})
		if rank > own {
			place++
		}
		if e.Upstream != self && e.WeightsURL != "" && e.holds(version) {
			holders = append(holders, e)
		}
	}
	if len(order) == 0 {
		return StagePlan{FetchFromStore: true}
	}
	slices.SortFunc(order, func(a, b rankedEngine) int { return cmp.Compare(b.rank, a.rank) })
	return StagePlan{Sources: sources(self, version, order, holders, place), FetchFromStore: order[0].Upstream == self}
}

// sources returns the parent of the engine at a place of the tree and others as a reserve. When the turn of the
// engine has not come although enough others hold the version, one before it may be broken, and it waits no longer.
func sources(self string, version int64, order []rankedEngine, holders []Engine, place int) []string {
	parentPlace, before := parentOf(place)
	parent := order[parentPlace].Upstream
	// The turn comes when the parent has served its engines of the round before.
	turn := slices.ContainsFunc(holders, func(e Engine) bool { return e.Upstream == parent })
	if last := before / (1 + copiesPerHolder); parentPlace < last {
		served := last + copiesPerHolder*parentPlace
		for _, e := range order[served : served+copiesPerHolder] {
			turn = turn && e.holds(version)
		}
	}
	enough := max(1, min(copiesPerHolder*before, len(order)/2))
	if !turn && len(holders) < enough {
		return nil
	}
	chosen := make([]rankedEngine, 0, len(holders))
	for _, e := range holders {
		rank := fetchRank(self+e.Upstream, version)
		if e.Upstream == parent {
			rank = math.MaxUint64
		}
		chosen = append(chosen, rankedEngine{e, rank})
	}
	slices.SortFunc(chosen, func(a, b rankedEngine) int { return cmp.Compare(b.rank, a.rank) })
	var urls []string
	for _, e := range chosen[:min(len(chosen), maxSources)] {
		urls = append(urls, e.WeightsURL)
	}
	return urls
}

// parentOf returns the place that the engine at a place copies from, and how many places the rounds before fill.
func parentOf(place int) (parent, before int) {
	before = 1
	for place >= before*(1+copiesPerHolder) {
		before *= 1 + copiesPerHolder
	}
	return max(0, place-before) / copiesPerHolder, before
}

// fetchRank spreads the fetches of successive versions over the engines.
func fetchRank(name string, version int64) uint64 {
	h := xxhash.NewWithSeed(uint64(version))
	_, _ = h.WriteString(name)
	return h.Sum64()
}
