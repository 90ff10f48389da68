package measure

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/radishshelf/radishshelf/lots"
)

// Guards against figures of the order, weight and staleness models that differ between runs with one seed.
func TestFleetModelsAreDeterministic(t *testing.T) {
	for _, s := range []Scenario{OrdersScenario(), WeightsScenario(), StalenessScenario(lots.OrderFreshest, 1)} {
		u := s.users()[0]
		if diff := cmp.Diff(s.Run(u, 7), s.Run(u, 7)); diff != "" {
			t.Errorf("%s: second run differs:\n%s", s.Name, diff)
		}
	}
}

// Guards against duplicate orders when replies are lost and the role holder changes, and against a counter that does
// not detect them.
func TestLostRepliesDoNotDuplicateOrders(t *testing.T) {
	u := Users()[0]
	for seed := range int64(20) {
		if p := runOrders(u, seed, newManagedSender).platform; p.duplicated != 0 || p.effective == 0 {
			t.Fatalf("seed %d: %d of %d orders took effect twice", seed, p.duplicated, p.effective)
		}
	}
	if p := runOrders(u, 1, newReactiveSender).platform; p.duplicated == 0 {
		t.Fatal("orders with a new ID after each lost reply are not counted as duplicates")
	}
}

// Guards against a link that transfers more or less than its rate allows.
func TestSharedLinkDividesRate(t *testing.T) {
	s := NewSim(1)
	l := &sharedLink{sim: s, rate: 1}
	var ends []time.Duration
	end := func() { ends = append(ends, s.Elapsed().Round(time.Millisecond)) }
	l.start(1, end)
	s.After(500*time.Millisecond, func() { l.start(1, end) })
	s.After(5*time.Second, func() { l.start(2, end) })
	s.Run(time.Minute)
	want := []time.Duration{1500 * time.Millisecond, 2 * time.Second, 7 * time.Second}
	if diff := cmp.Diff(want, ends); diff != "" {
		t.Errorf("ends of the transfers (-want +got):\n%s", diff)
	}
}

// Guards against a rollout that misses an engine, and against a version that is active before its publication.
func TestEveryEngineActivatesEveryVersion(t *testing.T) {
	for _, policy := range []bool{true, false} {
		r := runWeights(weightFleets()[0], 3, policy, 0)
		for v := int64(1); v < weightVersions; v++ {
			if n := len(r.activations[v]); n != len(r.engines) {
				t.Errorf("policy %v: version %d reached %d of %d engines", policy, v, n, len(r.engines))
			}
			if first := r.timeReached(v, 0); first.Before(r.published[v-1]) {
				t.Errorf("policy %v: version %d active before its publication", policy, v)
			}
		}
	}
}

// Guards against samples that exceed the staleness bound in the model, and against a limit of ready samples without
// effect.
func TestStalenessModelEnforcesBounds(t *testing.T) {
	u := Users()[0]
	settings := stalenessSettingsOf(u)
	unbounded := runStaleness(u, 2, settings)
	if highest := quantile(unbounded.staleness, 1); highest > float64(settings.maxStaleness) {
		t.Errorf("a sample has a staleness of %g versions, above the bound of %d", highest, settings.maxStaleness)
	}
	settings.maxReadySamples = settings.lotSamples
	if bounded := runStaleness(u, 2, settings); bounded.generatedTokens >= unbounded.generatedTokens {
		t.Errorf("%g tokens generated with a limit of ready samples and %g without", bounded.generatedTokens, unbounded.generatedTokens)
	}
}
