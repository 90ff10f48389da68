package rollout

import (
	"fmt"
	"testing"
)

// Guards against a data centre in which several engines, or none, fetch a version from the rate-limited store.
func TestOneEngineFetchesFromStore(t *testing.T) {
	var engines []Engine
	for i := range 20 {
		name := fmt.Sprintf("engine-%d", i)
		engines = append(engines, Engine{Upstream: name, WeightsURL: "http://" + name, Healthy: i != 3, Active: 6})
	}
	for version := int64(7); version < 40; version++ {
		fetching := 0
		for _, e := range engines {
			stage := PlanStage(e.Upstream, version, engines)
			if len(stage.Sources) != 0 {
				t.Fatalf("sources = %v, want none for a version that no engine holds", stage.Sources)
			}
			if stage.FetchFromStore {
				fetching++
			}
		}
		if fetching != 1 {
			t.Fatalf("version %d: %d engines fetch from the store, want 1", version, fetching)
		}
	}
}

// simulateStaging runs rounds in which every engine that has sources copies version 7, except hung ones, and returns
// the number of rounds until all other healthy engines hold it. check receives the number of copies started at each
// source.
func simulateStaging(t *testing.T, engines []Engine, hangs func(i int) bool, check func(copiesBySource map[string]int)) int {
	t.Helper()
	for round := range 20 {
		copiesBySource := map[string]int{}
		holders := map[string]bool{}
		for _, e := range engines {
			if e.Healthy && e.hasWeights(7) {
				holders[e.WeightsURL] = true
			}
		}
		pending := 0
		var done []int
		for i, e := range engines {
			if !e.Healthy || e.hasWeights(7) || hangs(i) {
				continue
			}
			pending++
			stage := PlanStage(e.Upstream, 7, engines)
			for _, source := range stage.Sources {
				if !holders[source] || source == e.WeightsURL || len(stage.Sources) > maxSources {
					t.Fatalf("%s copies from %v", e.Upstream, stage.Sources)
				}
			}
			if len(stage.Sources) > 0 {
				copiesBySource[stage.Sources[0]]++
			}
			if len(stage.Sources) > 0 || stage.FetchFromStore {
				done = append(done, i)
			}
		}
		if pending == 0 {
			return round
		}
		check(copiesBySource)
		for _, i := range done {
			engines[i].Staged = []int64{7}
		}
	}
	t.Fatal("some engines lack the version after 20 rounds")
	return 0
}

// stagingEngines returns n engines that serve version 6; the second one is unhealthy.
func stagingEngines(n int) []Engine {
	var engines []Engine
	for i := range n {
		name := fmt.Sprintf("engine-%d", i)
		engines = append(engines, Engine{Upstream: name, WeightsURL: "http://" + name, Healthy: i != 1, Active: 6})
	}
	return engines
}

// Guards against copies from engines that do not hold the version, are unhealthy, or are the engine itself, and against
// overloading the link of one holder: all engines were once told to copy from the first holder at the same time.
func TestCopiesSpreadOverHolders(t *testing.T) {
	for _, n := range []int{3, 20, 86} {
		rounds := simulateStaging(t, stagingEngines(n), func(int) bool { return false }, func(copiesBySource map[string]int) {
			for source, copies := range copiesBySource {
				if copies > copiesPerHolder {
					t.Errorf("%d engines: %d copies start at %s", n, copies, source)
				}
			}
		})
		// One round for the fetch from the store; afterwards the holders triple in each round.
		want := 1
		for held := 1; held < n-1; held *= 3 {
			want++
		}
		if rounds != want {
			t.Errorf("%d engines: %d rounds, want %d", n, rounds, want)
		}
	}
}

// Guards against engines that never get a version because the engine they should copy from hangs.
func TestHungCopiesDoNotBlockOthers(t *testing.T) {
	for seed := range 50 {
		engines := stagingEngines(86)
		hanging := map[int]bool{}
		for k := range 4 {
			if i := (seed*7 + k*19) % 86; !PlanStage(engines[i].Upstream, 7, engines).FetchFromStore {
				hanging[i] = true
			}
		}
		rounds := simulateStaging(t, engines, func(i int) bool { return hanging[i] }, func(map[string]int) {})
		if rounds > 10 {
			t.Errorf("hanging %v: %d rounds", hanging, rounds)
		}
	}
}
