package measure

import (
	"fmt"

	"github.com/radishshelf/radishshelf/quarantine"
)

// maxSyncSuspects bounds the list in one exchange between entries.
const maxSyncSuspects = 256

// crash ends an engine. Its agent reports the running requests to every entry with one of the next heartbeats.
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
	for i := range r.nodes {
		r.report(i, e.Name, incarnation, running)
	}
	for _, j := range lost {
		j.Done(Result{Failed: true})
	}
}

// report delivers the agent's suspects to one entry. A lost heartbeat delays it by one interval.
func (r *suspectsRun) report(node int, upstream, incarnation string, running []string) {
	delay := seconds(r.sim.Rand.Float64() * reportInterval.Seconds())
	for r.sim.Rand.Float64() < reportLoss {
		delay += reportInterval
	}
	r.sim.After(delay, func() {
		r.lists[node].RecordDeath(upstream, incarnation, running, r.sim.Now())
		r.noteRefusal()
	})
}

// sync exchanges the lists of all pairs of entries.
func (r *suspectsRun) sync() {
	for i, from := range r.lists {
		suspects := from.Suspects(maxSyncSuspects, r.sim.Now())
		for j, to := range r.lists {
			if i == j {
				continue
			}
			r.sim.After(r.user.CrossRegionDelay, func() {
				to.Merge(suspects, r.sim.Now())
				r.noteRefusal()
			})
		}
	}
}

// noteRefusal records when every entry restricts the poisonous request, alone or refused.
func (r *suspectsRun) noteRefusal() {
	if !r.policy || !r.refusedAt.IsZero() || r.firstCrash.IsZero() {
		return
	}
	for _, l := range r.lists {
		if l.Check(poisonPrint, r.sim.Now()).Action == quarantine.Run {
			return
		}
	}
	r.refusedAt = r.sim.Now()
}
