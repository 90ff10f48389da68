package rollout

import (
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Planner plans the rollouts of one policy for the holder of the role. It is made anew by each holder.
type Planner struct {
	cfg Config
	// stagingSince is when this holder first saw the version in the stage phase; a new holder waits again, because the
	// age of a phase is not comparable between clocks.
	stagingSince time.Time
	staging      int64
	// started is set when this planner started the staging. Only then is the time that engines took known.
	started bool
	// mostStaged is when MinShare of the engines had staged the version; zero before.
	mostStaged time.Time
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
			return p.stage(current, published, term, now), true
		}
		return Decision{}, false
	}
	if p.staging != current.Version {
		p.begin(current.Version, now, false)
	}
	ready, total := countReady(engines, current.Version)
	reason, activate := p.mayActivate(ready, total, now)
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
	if published <= current.Version || now.Sub(p.stagingSince) < p.cfg.StageTimeout {
		return Decision{}, false
	}
	return p.stage(current, published, term, now), true
}

// begin forgets the former staging.
func (p *Planner) begin(version int64, now time.Time, started bool) {
	p.staging, p.stagingSince, p.started, p.mostStaged = version, now, started, time.Time{}
}

// stage starts the rollout of a newer version.
func (p *Planner) stage(current fleetconfig.Rollout, published, term int64, now time.Time) Decision {
	p.begin(published, now, true)
	previous := current.Version
	if current.Phase == fleetconfig.PhaseStage {
		previous = current.Previous
	}
	return Decision{
		Rollout: fleetconfig.Rollout{Version: published, Phase: fleetconfig.PhaseStage, Previous: previous, Term: term},
		Reason:  ReasonPublished,
	}
}

func (p *Planner) mayActivate(ready, total int, now time.Time) (Reason, bool) {
	if total == 0 {
		return "", false
	}
	if ready == total {
		return ReasonAllStaged, true
	}
	if float64(ready) < p.cfg.MinStagedFraction*float64(total) {
		return "", false
	}
	if p.mostStaged.IsZero() {
		p.mostStaged = now
	}
	waited := now.Sub(p.stagingSince)
	switch {
	case waited >= p.cfg.StageTimeout:
		return ReasonTimeout, true
	case p.started && waited >= p.patience():
		return ReasonStragglers, true
	default:
		return "", false
	}
}

// patience is how long after the start of staging the engines that are missing hold back activation.
func (p *Planner) patience() time.Duration {
	most := p.mostStaged.Sub(p.stagingSince)
	return max(p.cfg.MinWait, time.Duration(p.cfg.StragglerFactor*float64(most)))
}

func countReady(engines []Engine, version int64) (ready, total int) {
	for _, e := range engines {
		if !e.Healthy {
			continue
		}
		total++
		if e.has(version) {
			ready++
		}
	}
	return ready, total
}
