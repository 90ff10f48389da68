package rollout

import (
	"fmt"
	"testing"
)

// Guards against a data centre whose engines all fetch from the rate-limited store, or none of which does.
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
				t.Fatalf("sources %v of a version that nobody holds", stage.Sources)
			}
			if stage.FetchFromStore {
				fetching++
			}
		}
		if fetching != 1 {
			t.Fatalf("version %d: %d engines fetch from the store", version, fetching)
		}
	}
}

// simulateStaging lets every engine that has sources copy in each round, except those that hang, and returns the rounds
// until all others hold the version. check sees how many copies start at each source.
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
	t.Fatal("engines without the version after 20 rounds")
	return 0
}

func stagingEngines(n int) []Engine {
	var engines []Engine
	for i := range n {
		name := fmt.Sprintf("engine-%d", i)
		engines = append(engines, Engine{Upstream: name, WeightsURL: "http://" + name, Healthy: i != 1, Active: 6})
	}
	return engines
}

// Guards against copies from engines that do not hold the version, are broken, or are the engine itself, and against
// more copies of one holder than its link carries: all engines used to be sent to the first holder at once.
func TestCopiesSpreadOverHolders(t *testing.T) {
	for _, n := range []int{3, 20, 86} {
		rounds := simulateStaging(t, stagingEngines(n), func(int) bool { return false }, func(copiesBySource map[string]int) {
			for source, copies := range copiesBySource {
				if copies > copiesPerHolder {
					t.Errorf("%d engines: %d copies start at %s", n, copies, source)
				}
			}
		})
		// One fetch, and then holders that triple.
		want := 1
		for held := 1; held < n-1; held *= 3 {
			want++
		}
		if rounds != want {
			t.Errorf("%d engines: %d rounds, want %d", n, rounds, want)
		}
	}
}

// Guards against engines that never get a version because the one they are to copy from hangs.
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
