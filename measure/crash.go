package measure

import (
	"fmt"

	"github.com/radishshelf/radishshelf/quarantine"
)

// maxSyncSuspects is the maximum number of suspects that an entry sends in one exchange with another entry.
const maxSyncSuspects = 256

// crash makes an engine crash. Its agent reports the requests that were running to every entry in one of the next
// heartbeats.
func (r *suspectsRun) crash(e *Engine) {
	r.crashes++
	if r.firstCrash.IsZero() {
		r.firstCrash = r.sim.Now()
	}
	incarnation := fmt.Sprint(e.Incarnation)
	lost := e.Crash(engineRestart)
	var running []string
	for _, j := range lost {
		if !j.started.IsZero() {
			running = append(running, j.ID)
		}
	}
	for i := range r.entries {
		r.reportDeath(i, e.Name, incarnation, running)
	}
	for _, j := range lost {
		j.Done(Result{Failed: true})
	}
}

// reportDeath delivers the agent's crash report to one entry. Each lost heartbeat delays the report by one interval.
func (r *suspectsRun) reportDeath(entry int, upstream, incarnation string, running []string) {
	delay := seconds(r.sim.Rand.Float64() * reportInterval.Seconds())
	for r.sim.Rand.Float64() < reportLoss {
		delay += reportInterval
	}
	r.sim.After(delay, func() {
		r.quarantines[entry].RecordDeath(upstream, incarnation, running, r.sim.Now())
		r.recordRestriction()
	})
}

// syncSuspects exchanges the quarantine lists between all pairs of entries.
func (r *suspectsRun) syncSuspects() {
	for i, from := range r.quarantines {
		suspects := from.Suspects(maxSyncSuspects, r.sim.Now())
		for j, to := range r.quarantines {
			if i == j {
				continue
			}
			r.sim.After(r.user.CrossRegionDelay, func() {
				to.Merge(suspects, r.sim.Now())
				r.recordRestriction()
			})
		}
	}
}

// recordRestriction records the first time at which every entry either refuses the poison request or runs it alone.
func (r *suspectsRun) recordRestriction() {
	if !r.policy || !r.restrictedAt.IsZero() || r.firstCrash.IsZero() {
		return
	}
	for _, l := range r.quarantines {
		if l.Check(poisonFingerprint, r.sim.Now()).Action == quarantine.Run {
			return
		}
	}
	r.restrictedAt = r.sim.Now()
}
