package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

func newTestPlanner(t testing.TB) *Planner {
	p, err := NewPlanner(Config{
		StageTimeout: time.Minute, MinStagedFraction: 0.75, StragglerFactor: 2, MinWait: 5 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against activation before every healthy engine has staged the version: some engines would still serve the old
// version while samples of the new one are expected.
func TestActivateWaitsForEveryEngine(t *testing.T) {
	p := newTestPlanner(t)
	now := time.Unix(0, 0)
	d, ok := p.Plan(fleetconfig.Rollout{Version: 1, Phase: fleetconfig.PhaseActivate}, 2, nil, 7, now)
	if !ok || d.Rollout != (fleetconfig.Rollout{Version: 2, Phase: fleetconfig.PhaseStage, Previous: 1, Term: 7}) {
		t.Fatalf("Plan after publishing = %+v, %v", d, ok)
	}
	engines := []Engine{
		{Upstream: "e1", Healthy: true, Active: 1, Staged: []int64{2}},
		{Upstream: "e2", Healthy: true, Active: 1},
		{Upstream: "e3", Healthy: false, Active: 1},
	}
	if d, ok := p.Plan(d.Rollout, 2, engines, 7, now); ok {
		t.Fatalf("activated with %d of %d engines staged", d.Ready, d.Total)
	}
	engines[1].Staged = []int64{2}
	activated, ok := p.Plan(d.Rollout, 2, engines, 7, now)
	if !ok || activated.Rollout.Phase != fleetconfig.PhaseActivate || activated.Reason != ReasonAllStaged {
		t.Fatalf("Plan with all staged = %+v, %v", activated, ok)
	}
}

// Guards against one broken engine that blocks a version forever, and against activation on too few engines.
func TestStageTimeout(t *testing.T) {
	staging := fleetconfig.Rollout{Version: 2, Phase: fleetconfig.PhaseStage, Previous: 1}
	engine := func(staged bool) Engine {
		e := Engine{Healthy: true, Active: 1}
		if staged {
			e.Staged = []int64{2}
		}
		return e
	}
	tests := []struct {
		name   string
		staged []bool
		want   bool
	}{
		{"three of four", []bool{true, true, true, false}, true},
		{"two of four", []bool{true, true, false, false}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPlanner(t)
			var engines []Engine
			for _, s := range tt.staged {
				engines = append(engines, engine(s))
			}
			start := time.Unix(0, 0)
			if _, ok := p.Plan(staging, 2, engines, 1, start); ok {
				t.Fatal("activated before the timeout")
			}
			if _, ok := p.Plan(staging, 2, engines, 1, start.Add(time.Minute)); ok != tt.want {
				t.Fatalf("activated after the timeout = %v, want %v", ok, tt.want)
			}
		})
	}
}

// Guards against versions that are never activated when a trainer publishes faster than engines stage, because each new
// version replaces the one being staged. A version that cannot be staged is still replaced after the stage timeout.
func TestFastPublishingStillActivates(t *testing.T) {
	p := newTestPlanner(t)
	start := time.Unix(0, 0)
	staging := fleetconfig.Rollout{Version: 2, Phase: fleetconfig.PhaseStage, Previous: 1}
	engines := []Engine{{Healthy: true, Active: 1}}
	if d, ok := p.Plan(staging, 5, engines, 1, start); ok {
		t.Fatalf("the version being staged was replaced before the timeout: %+v", d)
	}
	if d, ok := p.Plan(staging, 5, engines, 1, start.Add(time.Minute)); !ok || d.Rollout.Version != 5 || d.Rollout.Previous != 1 {
		t.Fatalf("after the timeout Plan = %+v, %v; want version 5 staged after 1", d, ok)
	}
	engines[0].Staged = []int64{2}
	if d, ok := p.Plan(staging, 5, engines, 1, start); !ok || d.Rollout.Phase != fleetconfig.PhaseActivate {
		t.Fatalf("with the version staged Plan = %+v, %v; want it activated", d, ok)
	}
}

// Guards against a target version that decreases, whatever versions are published and however often the role changes
// its holder.
func TestTargetVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestPlanner(t)
		var current fleetconfig.Rollout
		var term, activated int64 = 1, 0
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "successor") == 0 {
				p = newTestPlanner(t)
				term++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "seconds")) * time.Second)
			engines := []Engine{{Healthy: true, Active: activated}}
			if rapid.Bool().Draw(rt, "staged") {
				engines[0].Staged = []int64{current.Version}
			}
			published := int64(rapid.IntRange(0, 9).Draw(rt, "published"))
			d, ok := p.Plan(current, published, engines, term, now)
			if !ok {
				continue
			}
			if d.Rollout.Version < current.Version {
				rt.Fatalf("target version decreased from %d to %d", current.Version, d.Rollout.Version)
			}
			if d.Rollout.Phase == fleetconfig.PhaseActivate {
				activated = d.Rollout.Version
			}
			current = d.Rollout
		}
	})
}
