package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// healthyPace is the pace of a healthy engine.
const healthyPace = 40 * time.Millisecond

// engines returns idle, healthy engines with 12 slots each.
func engines(n, memory int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: 12, Version: 1, Pace: healthyPace, LastPace: healthyPace, MemoryTokens: memory}
	}
	return list
}

// Guards against texts that stay at a slow engine although another one is idle: the idle engine has no recent
// observations, which must not exclude it.
func TestTextsMoveFromSlowToIdleEngine(t *testing.T) {
	list := engines(3, 0)
	list[0].Pace, list[0].OwnRequests = 3*healthyPace, 4
	list[1].OwnRequests = 12
	list[2].Pace, list[2].LastPace = 0, 0
	other, ok := NewSelector(list).Alternative(Requirements{Avoid: "e00", Long: true})
	if !ok || other.ID != "e02" || other.Pace != healthyPace {
		t.Errorf("a text would move from the slow engine to %+v (%v), want e02 and a pace of %s", other, ok, healthyPace)
	}
}

// Guards against a long text, or several texts, at an engine that was slow when last observed, and against an engine
// that is never tried again.
func TestSuspectedSlowEngineGetsOneShortText(t *testing.T) {
	slow := engines(1, 0)[0]
	slow.Pace, slow.LastPace = 0, 3*healthyPace
	full := engines(2, 0)
	full[0].OwnRequests, full[1].OwnRequests = 12, 12
	s := NewSelector(append(full, Engine{ID: "slow", Slots: 12, Version: 1, LastPace: slow.LastPace}))
	if id, ok := s.Pick(Requirements{Long: true}); ok {
		t.Errorf("a long text went to %s", id)
	}
	if id, _ := s.Pick(Requirements{}); id != "slow" {
		t.Errorf("a short text went to %q, want the engine that may have recovered", id)
	}
	if id, ok := s.Pick(Requirements{}); ok {
		t.Errorf("a second text went to %s before the first one gave a new pace", id)
	}
}

// Guards against a long text that is never placed because the only engines with new enough weights were slow when last
// observed, while engines with older weights still determine the typical pace.
func TestLongTextUsesSuspectedSlowEngineWhenNoOtherServesItsVersion(t *testing.T) {
	list := engines(3, 0)
	list[2].Version, list[2].Pace, list[2].LastPace = 2, 0, 3*healthyPace
	req := Requirements{Long: true, MinVersion: 2}
	if id, _ := NewSelector(list).Pick(req); id != "e02" {
		t.Errorf("the text went to %q, want the only engine that serves its version", id)
	}
	list[1].Version, list[1].OwnRequests = 2, 12
	if id, ok := NewSelector(list).Pick(req); ok {
		t.Errorf("the text went to %s, want it to wait for the healthy engine that serves its version", id)
	}
}

// Guards against engines that run out of memory when many long texts start at once: they have slots for twelve texts
// but memory for three long ones. An engine out of memory preempts its newest text, and the step waits for that text.
func TestLongTextsFitIntoMemory(t *testing.T) {
	const memory = 44000
	place := func(memoryTokens int) (worst float64) {
		random := rand.New(rand.NewPCG(1, 2))
		list := engines(11, memoryTokens)
		held := map[string][]Run{}
		s := NewSelector(list)
		for i := range 132 {
			r := Run{Held: 270, Remaining: 300 + random.IntN(3000)}
			if i%2 == 0 {
				r.Remaining = 12800
			}
			if id, ok := s.Pick(Requirements{Run: r}); ok {
				held[id] = append(held[id], r)
			}
		}
		for _, runs := range held {
			worst = max(worst, float64(peakMemory(runs))/memory)
		}
		return worst
	}
	if worst := place(memory); worst > 1 {
		t.Errorf("an engine needs %.2f times its memory", worst)
	}
	// 66 long texts on 11 engines put at least six on one of them.
	if worst := place(0); worst <= 1 {
		t.Errorf("test setup: with unknown memory sizes no engine needs more than %.2f times its memory", worst)
	}
}

// Guards against a text that is never placed because it alone is larger than the memory of an engine.
func TestOversizedTextRunsAlone(t *testing.T) {
	s := NewSelector(engines(1, 1000))
	if _, ok := s.Pick(Requirements{Run: Run{Held: 10, Remaining: 5000}}); !ok {
		t.Error("the text was not placed on an idle engine")
	}
	if _, ok := s.Pick(Requirements{Run: Run{Held: 10, Remaining: 10}}); ok {
		t.Error("another text was placed on the same engine")
	}
	if s.Full(Requirements{}) {
		t.Error("an engine with free slots counts as full")
	}
}

// Guards against a peak that differs from a simulation in which all texts grow at the same rate and end one after the
// other.
func TestPeakMemoryMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runs := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Run {
			return Run{Held: rapid.IntRange(0, 50).Draw(rt, "held"), Remaining: rapid.IntRange(0, 50).Draw(rt, "remaining")}
		}), 0, 8).Draw(rt, "runs")
		want := 0
		for step := 0; step <= 50; step++ {
			sum := 0
			for _, r := range runs {
				if r.Remaining >= step {
					sum += r.Held + step
				}
			}
			want = max(want, sum)
		}
		if got := peakMemory(runs); got != want {
			rt.Fatalf("peak %d, want %d", got, want)
		}
	})
}

// Guards against all hosts sending to the same engine: a hundred hosts choose at the same time from the same reports,
// which are a second old.
func TestHostsWithSameReportsSpread(t *testing.T) {
	const hosts, count = 100, 49
	chosen := map[string]int{}
	for range hosts {
		list := engines(count, 0)
		for i := range list {
			list[i].Slots, list[i].OtherRequests = 6, 3
		}
		id, _ := NewSelector(list).Pick(Requirements{})
		chosen[id]++
	}
	for id, n := range chosen {
		if limit := int(math.Ceil(5.0 * hosts / count)); n > limit {
			t.Errorf("%d of %d hosts chose %s, want at most %d", n, hosts, id, limit)
		}
	}
}

// Guards against texts at engines that do not serve the required weight version, are excluded, or are full.
func TestFilter(t *testing.T) {
	for name, change := range map[string]func(e *Engine){
		"old weights": func(e *Engine) { e.Version = 0 },
		"excluded":    func(e *Engine) { e.Excluded = true },
		"full":        func(e *Engine) { e.OwnRequests = 12 },
		"full with requests of other hosts, beyond minAvailableSlots": func(e *Engine) { e.OtherRequests, e.OwnRequests = 12, minAvailableSlots },
	} {
		list := engines(1, 0)
		change(&list[0])
		if _, ok := NewSelector(list).Pick(Requirements{MinVersion: 1}); ok {
			t.Errorf("%s: a text was placed", name)
		}
	}
}
