package rollout

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// enginesWith returns engines that serve version 1, of which the first ready ones have staged version 2.
func enginesWith(ready, total int) []Engine {
	engines := make([]Engine, total)
	for i := range engines {
		engines[i] = Engine{Healthy: true, Active: 1}
		if i < ready {
			engines[i].Staged = []int64{2}
		}
	}
	return engines
}

// Guards against a few hanging engines that hold back a version for the whole stage timeout, and against a wait that
// ends before it is a multiple of the time of the others, on too few engines, or with a late heartbeat.
func TestActivationSkipsHungEngines(t *testing.T) {
	tests := []struct {
		name string
		// readyAfter is when ready of 20 engines have staged the version.
		readyAfter time.Duration
		ready      int
		activated  time.Duration
		wantReason Reason
	}{
		{"twice the time of most engines", 15 * time.Second, 19, 30 * time.Second, ReasonStragglers},
		{"quick staging waits the shortest wait", time.Second, 19, 5 * time.Second, ReasonStragglers},
		{"the stage timeout stays the limit", 40 * time.Second, 19, time.Minute, ReasonTimeout},
		{"exactly the share", 15 * time.Second, 15, 30 * time.Second, ReasonStragglers},
		{"below the share", 15 * time.Second, 14, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPlanner(t)
			start := time.Unix(0, 0)
			active := fleetconfig.Rollout{Version: 1, Phase: fleetconfig.PhaseActivate}
			staging, _ := p.Plan(active, 2, enginesWith(0, 20), 1, start)
			for after := time.Second; after <= 3*time.Minute; after += time.Second {
				ready := 0
				if after >= tt.readyAfter {
					ready = tt.ready
				}
				d, ok := p.Plan(staging.Rollout, 2, enginesWith(ready, 20), 1, start.Add(after))
				if !ok {
					continue
				}
				if after != tt.activated || d.Reason != tt.wantReason {
					t.Fatalf("activated after %s for %q, want %s for %q", after, d.Reason, tt.activated, tt.wantReason)
				}
				return
			}
			if tt.activated != 0 {
				t.Fatal("never activated")
			}
		})
	}
}

// Guards against a new holder that takes the short time since it began for the time that engines need.
func TestNewHolderRestartsWait(t *testing.T) {
	p := newTestPlanner(t)
	start := time.Unix(0, 0)
	staging := fleetconfig.Rollout{Version: 2, Phase: fleetconfig.PhaseStage, Previous: 1}
	for after := time.Duration(0); after < time.Minute; after += time.Second {
		if d, ok := p.Plan(staging, 2, enginesWith(19, 20), 2, start.Add(after)); ok {
			t.Fatalf("activated %s after the change of holder: %+v", after, d)
		}
	}
	if d, ok := p.Plan(staging, 2, enginesWith(19, 20), 2, start.Add(time.Minute)); !ok || d.Reason != ReasonTimeout {
		t.Fatalf("after the stage timeout Plan = %+v, %v", d, ok)
	}
}

// Guards against an activation on fewer engines than MinShare, or without a reason that holds, whatever engines and
// holders do in between.
func TestNoActivationBelowMinStagedFraction(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := newTestPlanner(t)
		current := fleetconfig.Rollout{Version: 1, Phase: fleetconfig.PhaseActivate}
		now := time.Unix(0, 0)
		total := rapid.IntRange(1, 12).Draw(rt, "engines")
		startedAt := now
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 9).Draw(rt, "successor") == 0 {
				p = newTestPlanner(t)
				startedAt = now
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
			ready := rapid.IntRange(0, total).Draw(rt, "ready")
			engines := make([]Engine, total)
			for i := range engines {
				engines[i] = Engine{Healthy: true}
				if i < ready {
					engines[i].Staged = []int64{current.Version}
				}
			}
			published := current.Version + int64(rapid.IntRange(0, 2).Draw(rt, "newer"))
			d, ok := p.Plan(current, published, engines, 1, now)
			if !ok {
				continue
			}
			if d.Rollout.Version < current.Version {
				rt.Fatalf("target went from %d to %d", current.Version, d.Rollout.Version)
			}
			if d.Rollout.Phase == fleetconfig.PhaseStage {
				startedAt = now
			} else if float64(ready) < p.cfg.MinStagedFraction*float64(total) {
				rt.Fatalf("activated with %d of %d engines for %q", ready, total, d.Reason)
			} else if ready < total && now.Sub(startedAt) < p.cfg.MinWait {
				rt.Fatalf("left engines behind %s after the start for %q", now.Sub(startedAt), d.Reason)
			}
			current = d.Rollout
		}
	})
}

// Guards against bounds without a meaning.
func TestConfigValidate(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.StragglerFactor = 0.9 },
		func(c *Config) { c.StragglerFactor = math.NaN() },
		func(c *Config) { c.MinWait = -1 },
		func(c *Config) { c.MinWait = c.StageTimeout + 1 },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		if err := cfg.Validate(); err == nil {
			t.Errorf("%+v is accepted", cfg)
		}
	}
	if err := DefaultConfig().Validate(); err != nil {
		t.Error(err)
	}
}
