package rollout

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// enginesWith returns total engines that serve version 1; the first ready of them have staged version 2.
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

// Guards against a few hung engines that delay a version for the whole stage timeout, and against an activation that is
// too early: before StragglerFactor times the staging time of the others, on too few engines, or because of a late
// heartbeat.
func TestActivationSkipsHungEngines(t *testing.T) {
	tests := []struct {
		name string
		// readyAfter is how long after the start ready of the 20 engines have staged the version.
		readyAfter time.Duration
		ready      int
		activated  time.Duration
		wantReason Reason
	}{
		{"twice the time of most engines", 15 * time.Second, 19, 30 * time.Second, ReasonStragglers},
		{"quick staging waits for MinWait", time.Second, 19, 5 * time.Second, ReasonStragglers},
		{"the stage timeout is the upper limit", 40 * time.Second, 19, time.Minute, ReasonTimeout},
		{"exactly the minimum fraction", 15 * time.Second, 15, 30 * time.Second, ReasonStragglers},
		{"below the minimum fraction", 15 * time.Second, 14, 0, ""},
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

// Guards against a new holder that mistakes the short time since it took over for the staging time of the engines, and
// therefore skips engines too early.
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

// Guards against an activation on fewer engines than MinStagedFraction or before MinWait, whatever the engines and the
// holders of the role do in between.
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
				rt.Fatalf("target version decreased from %d to %d", current.Version, d.Rollout.Version)
			}
			if d.Rollout.Phase == fleetconfig.PhaseStage {
				startedAt = now
			} else if float64(ready) < p.cfg.MinStagedFraction*float64(total) {
				rt.Fatalf("activated with %d of %d engines for %q", ready, total, d.Reason)
			} else if ready < total && now.Sub(startedAt) < p.cfg.MinWait {
				rt.Fatalf("engines were skipped %s after the start for %q", now.Sub(startedAt), d.Reason)
			}
			current = d.Rollout
		}
	})
}

// Guards against invalid limits being accepted.
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
