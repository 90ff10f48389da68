package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// healthyPace is the pace of a sound engine in these tests.
const healthyPace = 40 * time.Millisecond

// engines returns sound engines of 12 slots that nothing runs at.
func engines(n, memory int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("e%02d", i), Slots: 12, Version: 1, Pace: healthyPace, LastPace: healthyPace, MemoryTokens: memory}
	}
	return list
}

// Pattern: an engine turns slow while others are idle. Nothing was observed of an idle engine lately, which must not keep
// the texts of the slow one from moving there.
func TestTextsMoveFromSlowToIdleEngine(t *testing.T) {
	list := engines(3, 0)
	list[0].Pace, list[0].OwnRequests = 3*healthyPace, 4
	list[1].OwnRequests = 12
	list[2].Pace, list[2].LastPace = 0, 0
	pace, ok := NewSelector(list).AlternativePace(Requirements{Avoid: "e00", Long: true})
	if !ok || pace != healthyPace {
		t.Errorf("a text of the slow engine would move to a pace of %s (%v), want %s", pace, ok, healthyPace)
	}
}

// Guards against a long text, or many texts, at an engine that was slow when it was last seen, and against one that is never
// tried again.
func TestSuspectedSlowEngineGetsOneShortText(t *testing.T) {
	slow := engines(1, 0)[0]
	slow.Pace, slow.LastPace = 0, 3*healthyPace
	full := engines(2, 0)
	full[0].OwnRequests, full[1].OwnRequests = 12, 12
	b := NewSelector(append(full, Engine{ID: "slow", Slots: 12, Version: 1, LastPace: slow.LastPace}))
	if id, ok := b.Pick(Requirements{Long: true}); ok {
		t.Errorf("a long text went to %s", id)
	}
	if id, _ := b.Pick(Requirements{}); id != "slow" {
		t.Errorf("a short text went to %q, want the engine that nobody knows to be slow still", id)
	}
	if id, ok := b.Pick(Requirements{}); ok {
		t.Errorf("a second text went to %s before the first one told its pace", id)
	}
}

// Guards against a long text that is never placed: the only engines whose weights are new enough were slow when they were last
// seen, while others, whose weights are too old, keep telling what the usual pace is.
func TestLongTextUsesSuspectedSlowEngineWhenNoOtherServesItsVersion(t *testing.T) {
	list := engines(3, 0)
	list[2].Version, list[2].Pace, list[2].LastPace = 2, 0, 3*healthyPace
	want := Requirements{Long: true, MinVersion: 2}
	if id, _ := NewSelector(list).Pick(want); id != "e02" {
		t.Errorf("the text went to %q, want the only engine that serves its version", id)
	}
	list[1].Version, list[1].OwnRequests = 2, 12
	if id, ok := NewSelector(list).Pick(want); ok {
		t.Errorf("the text went to %s, want it to wait for the sound engine that serves its version", id)
	}
}

// Pattern: a step in which long texts come together, on engines that have slots for twelve and memory for three of them. An engine whose memory runs out puts the newest text back, and its step waits for that text.
func TestLongTextsFitIntoMemory(t *testing.T) {
	const memory = 44000
	place := func(memoryTokens int) (worst float64) {
		random := rand.New(rand.NewPCG(1, 2))
		list := engines(11, memoryTokens)
		held := map[string][]Run{}
		b := NewSelector(list)
		for i := range 132 {
			r := Run{Held: 270, Remaining: 300 + random.IntN(3000)}
			if i%2 == 0 {
				r.Remaining = 12800
			}
			if id, ok := b.Pick(Requirements{Run: r}); ok {
				held[id] = append(held[id], r)
			}
		}
		for _, runs := range held {
			worst = max(worst, float64(peakMemory(runs))/memory)
		}
		return worst
	}
	if worst := place(memory); worst > 1 {
		t.Errorf("an engine needs %.2f of its memory", worst)
	}
	// 66 long texts at 11 engines leave six at one of them at least.
	if worst := place(0); worst <= 1 {
		t.Errorf("without memory in view no engine needs more than %.2f of it; the load shows nothing", worst)
	}
}

// Guards against a text that finds no engine because it alone is larger than the memory.
func TestOversizedTextRunsAlone(t *testing.T) {
	b := NewSelector(engines(1, 1000))
	if _, ok := b.Pick(Requirements{Run: Run{Held: 10, Remaining: 5000}}); !ok {
		t.Error("the text waits for ever")
	}
	if _, ok := b.Pick(Requirements{Run: Run{Held: 10, Remaining: 10}}); ok {
		t.Error("another text was put beside it")
	}
	if b.Full(Requirements{}) {
		t.Error("an engine with free slots counts as crowded")
	}
}

// Guards against a peak that differs from what happens when all texts grow alike and end one after the other.
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

// Pattern: a hundred hosts that see the same reports choose at the same time. Reports that are a second old must not send
// all of them to the same engine.
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

// Guards against engines that do not serve the wanted weights, refuse, or are full.
func TestFilter(t *testing.T) {
	for name, change := range map[string]func(e *Engine){
		"old weights": func(e *Engine) { e.Version = 0 },
		"avoided":     func(e *Engine) { e.Excluded = true },
		"full":        func(e *Engine) { e.OwnRequests = 12 },
		"full with others, beyond the room for old reports": func(e *Engine) { e.OtherRequests, e.OwnRequests = 12, minAvailableSlots },
	} {
		list := engines(1, 0)
		change(&list[0])
		if _, ok := NewSelector(list).Pick(Requirements{MinVersion: 1}); ok {
			t.Errorf("%s: a text was placed", name)
		}
	}
}
