package main

import (
	"fmt"
	"time"
)

const (
	// slowTimes and slowTime say how slow an engine turns, and for how long.
	slowTimes = 3.5
	slowTime  = 6500 * time.Millisecond
	// slowInterval is the pace of the engines otherwise.
	slowInterval = 100 * time.Millisecond
	// slowAfter is the time from a step to that.
	slowAfter  = 500 * time.Millisecond
	slowEvents = 50
	slowGroups = 6
	// lastEvents is the length of the texts of the last step.
	lastEvents = 140
)

// playSlow lets one engine after the other be slow for slowTime. Then, with all of them as fast as ever, the trainer asks for one
// more step of as many items.
func playSlow(l *lab, trouble bool) (broken bool, err error) {
	f := l.addTrainingFleet(engineSlots)
	for _, e := range f.engines {
		e.eventInterval = slowInterval
	}
	first, err := l.addGateways(2)
	if err != nil {
		return false, err
	}
	t := &trainer{lab: l, front: first.front(), version: 1, hints: true}
	for number := int64(1); number <= 7; number++ {
		if slow := int(number) - 2; trouble && slow >= 0 && slow < 4 {
			e := f.engines[slow]
			time.AfterFunc(slowAfter, func() {
				e.setSlower(slowTimes)
				l.record("%s is %.1f times as slow", e.id, slowTimes)
			})
			time.AfterFunc(slowAfter+slowTime, func() {
				e.setSlower(1)
				l.record("%s is as fast as ever", e.id)
			})
		}
		if s := t.run(number, slowGroups, slowEvents, stepDeadline); !s.complete {
			return false, fmt.Errorf("step %d was not complete", number)
		}
		time.Sleep(trainTime)
		t.name()
	}
	s := t.run(8, slowGroups, lastEvents, stepDeadline)
	return l.lost(s, t.named, engines*engineSlots), nil
}
