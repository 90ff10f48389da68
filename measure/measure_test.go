package measure

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against map order or shared state that changes a figure, so that the table differs between runs with one seed.
func TestSameSeedSameTable(t *testing.T) {
	scenarios := []Scenario{QuotaScenario(true)}
	var tables [2]strings.Builder
	for i := range tables {
		if err := WriteTable(&tables[i], scenarios, 7); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(tables[0].String(), tables[1].String()); diff != "" {
		t.Errorf("second run differs:\n%s", diff)
	}
}

// Guards against figures of the engine and report models that differ between runs with one seed.
func TestSameSeedSameFigures(t *testing.T) {
	run := SuspectsScenario(0.3).Run
	if diff := cmp.Diff(run(Users()[0], 7), run(Users()[0], 7)); diff != "" {
		t.Errorf("second run differs:\n%s", diff)
	}
}

// Guards against a table that hides a worse result of the policy or rates an informative figure.
func TestVerdict(t *testing.T) {
	tests := []struct {
		direction        Direction
		policy, baseline float64
		want             string
	}{
		{LowerIsBetter, 1, 2, "1/0/0\tpolicy better"},
		{LowerIsBetter, 2, 1, "0/0/1\tPOLICY LOSES"},
		{HigherIsBetter, 1, 2, "0/0/1\tPOLICY LOSES"},
		{HigherIsBetter, 2, 2, "0/1/0\tequal"},
		{Informative, 1, 2, "-\t-"},
	}
	for _, tt := range tests {
		r := row{figure: Figure{Direction: tt.direction}, policy: []float64{tt.policy}, baseline: []float64{tt.baseline}}
		if got := r.verdict(); got != tt.want {
			t.Errorf("%v of %v and %v: %q, want %q", tt.direction, tt.policy, tt.baseline, got, tt.want)
		}
	}
}

// Guards against an engine model that generates more or fewer tokens than its step time allows.
func TestEngineReachesCapacity(t *testing.T) {
	s := NewSim(1)
	cfg := DefaultEngineConfig()
	e := NewEngine(s, "e", 0, cfg)
	const tokens = 500
	done := 0
	var last time.Duration
	for i := range 4 * cfg.Slots {
		e.Submit(&Job{ID: fmt.Sprint(i), ResponseTokens: tokens, Done: func(Result) {
			done++
			last = s.Elapsed()
		}})
	}
	s.Run(time.Hour)
	rate := float64(done*tokens) / last.Seconds()
	if done != 4*cfg.Slots || math.Abs(rate/cfg.Capacity()-1) > 0.01 {
		t.Fatalf("%d jobs at %.0f tokens/s; capacity %.0f", done, rate, cfg.Capacity())
	}
}

// Guards against jobs that end twice or never when submissions, cancellations and crashes occur in any order.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSim(1)
		cfg := DefaultEngineConfig()
		cfg.Slots, cfg.CacheBlocks = 3, 10
		e := NewEngine(s, "e", 0, cfg)
		ended := map[string]int{}
		var jobs []*Job
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			at := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			tokens := rapid.IntRange(1, 200).Draw(t, "tokens")
			prompt := rapid.SliceOfN(rapid.Uint64Range(1, 30), 0, 8).Draw(t, "prompt")
			s.After(at, func() {
				switch {
				case kind < 7:
					j := &Job{ID: fmt.Sprint(n), ResponseTokens: tokens, Prompt: prompt, PromptTokens: 64 * len(prompt)}
					j.Done = func(Result) { ended[j.ID]++ }
					jobs = append(jobs, j)
					e.Submit(j)
				case kind < 9 && len(jobs) > 0:
					if j := jobs[n%len(jobs)]; !j.ended {
						e.Cancel(j)
						ended[j.ID]++
					}
				case !e.Down:
					for _, j := range e.Crash(time.Second) {
						j.Done(Result{Failed: true})
					}
				}
			})
		}
		s.Run(time.Hour)
		for _, j := range jobs {
			if ended[j.ID] != 1 {
				t.Fatalf("job %s ended %d times", j.ID, ended[j.ID])
			}
		}
		if len(e.cache.blocks) > cfg.CacheBlocks || e.Outstanding() != 0 {
			t.Fatalf("%d cached blocks, %d outstanding jobs", len(e.cache.blocks), e.Outstanding())
		}
	})
}
