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
		list[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: 12, Version: 1, Pace: healthyPace, LastPace: healthyPace, MemoryTokens: memory, ProbesLeft: math.MaxInt}
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

// Guards against several texts at an engine that was slow when last observed, against a long one there while another engine
// has room, and against an engine that is never tried again.
func TestSuspectedSlowEngineGetsOneText(t *testing.T) {
	for _, long := range []bool{false, true} {
		list := append(engines(2, 0), suspectedSlow("slow", time.Second))
		list[0].OwnRequests, list[1].OwnRequests = 12, 11
		s := NewSelector(list)
		if id, _ := s.Pick(Requirements{Long: true}); id != "e01" {
			t.Errorf("a long text went to %q, want the engine with room that is not slow", id)
		}
		if id, _ := s.Pick(Requirements{Long: long}); id != "slow" {
			t.Errorf("with long=%t a text went to %q, want the engine that may have recovered", long, id)
		}
		if id, ok := s.Pick(Requirements{Long: long}); ok {
			t.Errorf("with long=%t a second text went to %s before the first one gave a new pace", long, id)
		}
	}
}

// Guards against long texts that wait while engines that were slow once are idle: only texts could show that these have
// recovered, and a trainer may have no short ones.
func TestLongTextsUseRecoveredEngines(t *testing.T) {
	list := engines(2, 0)
	for i := range 4 {
		list = append(list, suspectedSlow(fmt.Sprint("slow", i), 20*time.Second))
	}
	list[0].OwnRequests, list[1].OwnRequests = 12, 12
	s, used := NewSelector(list), map[string]bool{}
	if got := s.SuspectedSlow(); len(got) != 4 {
		t.Errorf("%v count as suspected slow, want 4 engines", got)
	}
	for range 4 {
		id, ok := s.Pick(Requirements{Long: true})
		if !ok {
			t.Fatalf("a long text waits although only %d of 4 idle engines got one", len(used))
		}
		used[id] = true
	}
	if len(used) != 4 {
		t.Errorf("four long texts went to %d engines, want one to each", len(used))
	}
}

// Guards against an engine that stays without long texts forever because the others always have room.
func TestSlowPaceExpires(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want string
	}{{maxSlowPaceAge - time.Millisecond, "e00"}, {maxSlowPaceAge, "slow"}} {
		list := append(engines(1, 0), suspectedSlow("slow", c.age))
		list[0].OwnRequests = 6
		if id, _ := NewSelector(list).Pick(Requirements{Long: true}); id != c.want {
			t.Errorf("%s after the last observation a long text went to %q, want %q", c.age, id, c.want)
		}
	}
}

// Guards against a long text that moves from a slow engine to one that was even slower when last observed.
func TestSuspectedSlowEngineIsNoFastAlternative(t *testing.T) {
	list := append(engines(2, 0), suspectedSlow("slow", time.Second))
	list[0].Pace, list[1].OwnRequests = 2*healthyPace, 12
	if other, ok := NewSelector(list).Alternative(Requirements{Avoid: "e00", Long: true}); ok && other.Pace < 3*healthyPace {
		t.Errorf("a long text would move to %+v", other)
	}
}

// suspectedSlow returns an idle engine that was slow when last observed.
func suspectedSlow(id string, age time.Duration) Engine {
	return Engine{ID: id, Slots: 12, Version: 1, LastPace: 3 * healthyPace, PaceAge: age, ProbesLeft: math.MaxInt}
}

// Guards against a long text that waits although an engine with new enough weights is idle that was slow when last observed,
// while engines with older weights still determine the typical pace.
func TestLongTextUsesSuspectedSlowEngineOfItsVersion(t *testing.T) {
	list := engines(3, 0)
	list[2].Version, list[2].Pace, list[2].LastPace = 2, 0, 3*healthyPace
	req := Requirements{Long: true, MinVersion: 2}
	if id, _ := NewSelector(list).Pick(req); id != "e02" {
		t.Errorf("the text went to %q, want the only engine that serves its version", id)
	}
	list[1].Version, list[1].OwnRequests, list[2].OwnRequests = 2, 11, 0
	s := NewSelector(list)
	for _, want := range []string{"e01", "e02"} {
		if id, _ := s.Pick(req); id != want {
			t.Errorf("the text went to %q, want %q", id, want)
		}
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
		"failing":     func(e *Engine) { e.ProbesLeft = 0 },
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

// Guards against a crowd of waiting texts at an engine that has failed and is to be probed with one.
func TestFailedEngineGetsItsProbesOnly(t *testing.T) {
	list := engines(1, 0)
	list[0].ProbesLeft = 2
	s := NewSelector(list)
	for n := range 3 {
		if _, ok := s.Pick(Requirements{}); ok != (n < 2) {
			t.Errorf("text %d was placed: %t, want two in total", n, ok)
		}
	}
}
