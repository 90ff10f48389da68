package main

import "time"

const (
	// resetSlots are the places of an engine, and resetEvents is the length of the texts in events.
	resetSlots, resetEvents = 8, 70
	resetGroups             = 10
	// resetMachines is the number of machines; a tenth of them has its connections reset.
	resetMachines = 10
	// resetAfter is the time from the step to the reset.
	resetAfter = 2 * time.Second
)

// playResets resets half of a gateway's connections to each engine while the texts of a step are generated.
func playResets(l *lab, trouble bool) (broken bool, err error) {
	f := l.addTrainingFleet(resetSlots)
	first, err := l.addGateways(resetMachines)
	if err != nil {
		return false, err
	}
	t := &trainer{lab: l, front: first.front(), version: 1}
	t.named = l.started
	if trouble {
		time.AfterFunc(resetAfter, func() {
			for i, path := range f.links {
				l.record("%d connections to %s are reset", path.resetHalf(), f.engines[i].id)
			}
		})
	}
	s := t.run(1, resetGroups, resetEvents, stepDeadline)
	return l.lost(s, latest(t.named, s.submitted.Add(resetAfter+contact-quiet)), engines*resetSlots), nil
}
