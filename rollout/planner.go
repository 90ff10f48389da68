package rollout

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Planner plans the rollouts of one policy for the holder of the rollout role. Each new holder creates its own Planner.
type Planner struct {
	cfg Config
	// stagingStartedAt is when this holder first saw stagingVersion in the stage phase. A new holder restarts the wait,
	// because timestamps of different hosts are not comparable.
	stagingStartedAt time.Time
	stagingVersion   int64
	// startObserved is set when this planner started the staging; only then is the staging time of engines known.
	startObserved bool
	// fractionStagedAt is when MinStagedFraction of the engines had staged the version; zero until then.
	fractionStagedAt time.Time
}

// NewPlanner returns a Planner that has observed no staging yet, or an error if cfg is invalid.
func NewPlanner(cfg Config) (*Planner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Planner{cfg: cfg}, nil
}

// Plan returns the rollout to write and the reason for it, or false when current stays in effect.
// published is the newest version that the trainer published, or 0 for none.
func (p *Planner) Plan(current fleetconfig.Rollout, published int64, engines []Engine, term int64, now time.Time) (Decision, bool) {
	if current.Phase != fleetconfig.PhaseStage {
		if published > current.Version {
			return p.startStaging(current, published, term, now), true
		}
		return Decision{}, false
	}
	if p.stagingVersion != current.Version {
		p.trackStaging(current.Version, now, false)
	}
	ready, total := countReady(engines, current.Version)
	reason, activate := p.activationReason(ready, total, now)
	if !activate {
		return p.supersede(current, published, term, now)
	}
	next := current
	next.Phase = fleetconfig.PhaseActivate
	next.Term = term
	return Decision{Rollout: next, Reason: reason, Ready: ready, Total: total}, true
}

// supersede replaces a version that was not staged within the stage timeout by a newer one, if there is any. A newer
// version does not replace it earlier: otherwise a trainer that publishes faster than engines stage would never get a
// version activated.
func (p *Planner) supersede(current fleetconfig.Rollout, published, term int64, now time.Time) (Decision, bool) {
	if published <= current.Version || now.Sub(p.stagingStartedAt) < p.cfg.StageTimeout {
		return Decision{}, false
	}
	return p.startStaging(current, published, term, now), true
}

// trackStaging starts to track the staging of version at now. startObserved is set if this planner starts the staging.
func (p *Planner) trackStaging(version int64, now time.Time, startObserved bool) {
	p.stagingVersion, p.stagingStartedAt, p.startObserved, p.fractionStagedAt = version, now, startObserved, time.Time{}
}

// startStaging returns the decision to stage the published version. If current never left the stage phase, the version
// before it still serves and remains Previous.
func (p *Planner) startStaging(current fleetconfig.Rollout, published, term int64, now time.Time) Decision {
	p.trackStaging(published, now, true)
	previous := current.Version
	if current.Phase == fleetconfig.PhaseStage {
		previous = current.Previous
	}
	return Decision{
		Rollout: fleetconfig.Rollout{Version: published, Phase: fleetconfig.PhaseStage, Previous: previous, Term: term},
		Reason:  ReasonPublished,
	}
}

// activationReason returns why the version may be activated now, or false when activation has to wait.
func (p *Planner) activationReason(ready, total int, now time.Time) (Reason, bool) {
	if total == 0 {
		return "", false
	}
	if ready == total {
		return ReasonAllStaged, true
	}
	if float64(ready) < p.cfg.MinStagedFraction*float64(total) {
		return "", false
	}
	if p.fractionStagedAt.IsZero() {
		p.fractionStagedAt = now
	}
	waited := now.Sub(p.stagingStartedAt)
	switch {
	case waited >= p.cfg.StageTimeout:
		return ReasonTimeout, true
	case p.startObserved && waited >= p.stragglerTimeout():
		return ReasonStragglers, true
	default:
		return "", false
	}
}

// stragglerTimeout returns how long after the start of staging activation waits for the remaining engines.
func (p *Planner) stragglerTimeout() time.Duration {
	elapsed := p.fractionStagedAt.Sub(p.stagingStartedAt)
	return max(p.cfg.MinWait, time.Duration(p.cfg.StragglerFactor*float64(elapsed)))
}

// countReady counts the healthy engines and those of them that can serve version.
func countReady(engines []Engine, version int64) (ready, total int) {
	for _, e := range engines {
		if !e.Healthy {
			continue
		}
		total++
		if e.isReady(version) {
			ready++
		}
	}
	return ready, total
}
