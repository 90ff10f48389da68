package rollout

import (
	"fmt"
	"testing"
)

// Guards against a data centre whose engines all fetch from the rate-limited store, or none of which does.
func TestOneEngineFetchesFromTheStore(t *testing.T) {
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

// Guards against copies from engines that do not hold the version, are broken, or are the engine itself, and against
// one holder that serves all copies.
func TestCopiesSpreadOverTheHolders(t *testing.T) {
	var engines []Engine
	for i := range 20 {
		e := Engine{Upstream: fmt.Sprintf("engine-%d", i), WeightsURL: fmt.Sprintf("http://engine-%d", i), Healthy: i != 1, Active: 6}
		if i < 6 {
			e.Staged = []int64{7}
		}
		engines = append(engines, e)
	}
	firsts := map[string]int{}
	for _, e := range engines {
		stage := PlanStage(e.Upstream, 7, engines)
		if len(stage.Sources) == 0 || len(stage.Sources) > maxSources {
			t.Fatalf("%s has sources %v", e.Upstream, stage.Sources)
		}
		for _, source := range stage.Sources {
			if source == e.WeightsURL || source == "http://engine-1" || len(source) > len("http://engine-5") {
				t.Fatalf("%s copies from %s", e.Upstream, source)
			}
		}
		firsts[stage.Sources[0]]++
	}
	if len(firsts) < 3 {
		t.Fatalf("all copies start at %v", firsts)
	}
}
