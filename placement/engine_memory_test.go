package placement

import (
	"testing"
	"time"
)

// pollMemory simulates a process that looks up all engines every 50 ms, and returns how many queries it sent.
func pollMemory(m *EngineMemory[int], engines int, duration time.Duration, answer func(engine int) int) (queries int) {
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < duration; at += 50 * time.Millisecond {
		for e := range engines {
			if _, query := m.Lookup(e, start.Add(at)); query {
				queries++
				m.RecordResponse(e, answer(e))
			}
		}
	}
	return queries
}

// Guards against a connection to each of thousands of engines for a query with the same answer everywhere. A process
// polls all engines each time it takes over a job.
func TestFewEnginesAreQueriedForMemory(t *testing.T) {
	var m EngineMemory[int]
	if queries := pollMemory(&m, 3000, 40*time.Second, func(int) int { return 27000 }); queries > 10 {
		t.Errorf("%d queries in 40 s, want at most 10", queries)
	}
	if tokens, _ := m.Lookup(2999, time.Unix(40, 0)); tokens != 27000 {
		t.Errorf("an engine that was not queried is assumed to have %d tokens", tokens)
	}
}

// Guards against memory sizes that stay unknown because the first engines do not answer or report no size.
func TestUnresponsiveEnginesDoNotDelayEstimate(t *testing.T) {
	var m EngineMemory[int]
	pollMemory(&m, 20, time.Second, func(e int) int {
		if e < 10 {
			return 0
		}
		return 9000
	})
	if tokens, _ := m.Lookup(19, time.Unix(1, 0)); tokens != 9000 {
		t.Errorf("%d tokens after a second, want 9000", tokens)
	}
}

// Guards against an engine with less memory than the others that is filled like them forever.
func TestSmallerEngineIsDetected(t *testing.T) {
	var m EngineMemory[int]
	pollMemory(&m, 8, time.Minute, func(e int) int {
		if e == 7 {
			return 4000
		}
		return 27000
	})
	if tokens, _ := m.Lookup(7, time.Unix(60, 0)); tokens != 4000 {
		t.Errorf("the smaller engine is assumed to have %d tokens", tokens)
	}
	m.Retain(func(e int) bool { return e != 7 })
	if tokens, _ := m.Lookup(8, time.Unix(60, 0)); tokens != 27000 {
		t.Errorf("a new engine is assumed to have %d tokens after the smaller one left", tokens)
	}
}
