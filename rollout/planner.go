package rollout

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Planner plans the rollouts of one policy for the holder of the role. It is made anew by each holder.
type Planner struct {
	cfg Config
	// stagingStartedAt is when this holder first saw the version in the stage phase; a new holder waits again, because the
	// age of a phase is not comparable between clocks.
	stagingStartedAt time.Time
	stagingVersion   int64
	// startObserved is set when this planner startObserved the staging. Only then is the time that engines took known.
	startObserved bool
	// fractionStagedAt is when MinShare of the engines had staged the version; zero before.
	fractionStagedAt time.Time
}

// NewPlanner returns a planner without history.
func NewPlanner(cfg Config) (*Planner, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Planner{cfg: cfg}, nil
}

// Plan returns the rollout to write and why, or false when the present one stands.
// published is the newest version that the trainer published, 0 for none.
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

// supersede gives up a version that could not be staged in time when there is a newer one. Until then the staging goes
// on: were each new version to replace the one being staged, a trainer that publishes faster than engines stage would
// never get any version activated.
func (p *Planner) supersede(current fleetconfig.Rollout, published, term int64, now time.Time) (Decision, bool) {
	if published <= current.Version || now.Sub(p.stagingStartedAt) < p.cfg.StageTimeout {
		return Decision{}, false
	}
	return p.startStaging(current, published, term, now), true
}

// trackStaging forgets the former staging.
func (p *Planner) trackStaging(version int64, now time.Time, startObserved bool) {
	p.stagingVersion, p.stagingStartedAt, p.startObserved, p.fractionStagedAt = version, now, startObserved, time.Time{}
}

// startStaging starts the rollout of a newer version.
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

// stragglerTimeout is how long after the start of staging the engines that are missing hold back activation.
func (p *Planner) stragglerTimeout() time.Duration {
	elapsed := p.fractionStagedAt.Sub(p.stagingStartedAt)
	return max(p.cfg.MinWait, time.Duration(p.cfg.StragglerFactor*float64(elapsed)))
}

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
