package main

import (
	"fmt"
	"time"
)

const (
	// engines and engineSlots are the size of the service, and eventInterval is the pace of its engines.
	engines       = 6
	engineSlots   = 4
	eventInterval = 200 * time.Millisecond
	// cutTime is how long one engine is cut off.
	cutTime = 5500 * time.Millisecond
	// cutAfter is the time from a step to the cut: its texts are being generated, and its successor begins before the cut ends.
	cutAfter = 2 * time.Second
	// contact is contact_ms.
	contact = 4 * time.Second
	// shortEvents and longEvents are the lengths of texts in events.
	shortEvents, longEvents = 15, 60
	// shortGroups and longGroups are the groups of a step, of two items each.
	shortGroups, longGroups = 4, 10
	stepDeadline            = 20 * time.Second
	trainTime               = 500 * time.Millisecond
	// quiet is how long no version was named before the time that counts.
	quiet = 6 * time.Second
)

// trainingFleet is a service of engines behind links, with the servers that score texts.
type trainingFleet struct {
	engines []*engine
	links   []*link
}

// addTrainingFleet writes the configuration and starts the servers.
func (l *lab) addTrainingFleet(slots int) *trainingFleet {
	l.store.Put("op", "config", encode(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "rollout", "host": host, "path_prefix": rolloutPath, "kind": "rollout", "service": engineService, "max_attempts": 3,
				"target_latency_ms": 500, "timeout_ms": 10000, "due_ms": 15000, "item_ttl_s": 30, "priority": 0},
			{"name": "score", "host": host, "path_prefix": scorePath, "kind": "idempotent", "service": scoreService, "max_attempts": 4,
				"target_latency_ms": 250, "timeout_ms": 1500, "public": true, "priority": 2},
		},
		"services": []map[string]any{
			{"name": engineService, "health_path": "/healthz", "max_conns": 170, "engine": map[string]any{"models": []map[string]any{{"name": model}}}},
			{"name": scoreService, "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "north", "api_keys": []string{apiKey}}},
	}))
	f := &trainingFleet{}
	for i := range engines {
		e := &engine{lab: l, id: fmt.Sprintf("engine-%d", i+1), slots: slots, eventInterval: eventInterval, version: 1}
		path := newLink(l.serve(e))
		f.links, f.engines = append(f.links, path), append(f.engines, e)
		l.register(e.id, func(sequence int64) []byte { return e.entry(path.address(), sequence) })
	}
	for i := range 2 {
		s := &scorer{lab: l, id: fmt.Sprintf("desk-%d", i+1)}
		address := l.serve(s)
		l.register(s.id, func(sequence int64) []byte { return plainEntry(l, address, sequence) })
	}
	return f
}

// addGateways starts n gateways. The first one, which is returned, has the duties, and the steps of its region.
func (l *lab) addGateways(n int) (*process, error) {
	first := l.addGateway("edge-a-1", "a")
	for deadline := time.Now().Add(15 * time.Second); l.currentHolder() != first.settings.Name; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%s does not take the duties", first.settings.Name)
		}
	}
	for i := range n - 1 {
		l.addGateway(fmt.Sprintf("edge-b-%d", i+1), "b")
	}
	time.Sleep(contact)
	return first, nil
}

// playCuts cuts off one engine after the other for cutTime, each in the middle of a step, until the next step has begun. Then,
// with every link whole, the trainer asks for a larger step.
func playCuts(l *lab, trouble bool) (broken bool, err error) {
	f := l.addTrainingFleet(engineSlots)
	first, err := l.addGateways(2)
	if err != nil {
		return false, err
	}
	t := &trainer{lab: l, front: first.front(), version: 1}
	number := int64(1)
	small := func() error {
		if s := t.run(number, shortGroups, shortEvents, stepDeadline); !s.complete {
			return fmt.Errorf("step %d of short texts was not complete", number)
		}
		number++
		time.Sleep(trainTime)
		return nil
	}
	if err := small(); err != nil {
		return false, err
	}
	for i := range 4 {
		t.name()
		if trouble {
			time.AfterFunc(cutAfter, func() {
				f.links[i].setCut(true)
				l.record("%s is cut off", f.engines[i].id)
			})
			time.AfterFunc(cutAfter+cutTime, func() {
				f.links[i].setCut(false)
				l.record("%s is no longer cut off", f.engines[i].id)
			})
		}
		if err := small(); err != nil {
			return false, err
		}
		t.name()
		if err := small(); err != nil {
			return false, err
		}
	}
	for range 2 { // calm: the last cut is over for more than contact
		t.name()
		if err := small(); err != nil {
			return false, err
		}
	}
	for _, e := range f.engines {
		e.mu.Lock()
		l.record("%s has version %d of %d and has accepted %d orders", e.id, e.version, t.version, e.orders)
		e.mu.Unlock()
	}
	t.name()
	s := t.run(number, longGroups, longEvents, stepDeadline)
	return l.lost(s, t.named, engines*engineSlots), nil
}

// lost reports whether a step breaks LOST: it runs out of time while one of its items, which no server has finished, has been at
// no server for 5 s, others had begun, the servers were under half full, and no version was named then or in the 6 s before.
func (l *lab) lost(s *step, named time.Time, slots int) bool {
	if s.complete || s.submitted.IsZero() {
		l.record("step %d was complete in time: the rule holds", s.number)
		return false
	}
	const span, tick = 5 * time.Second, 100 * time.Millisecond
	begun := time.Time{}
	for _, item := range s.items {
		for _, v := range l.visitsOf(item) {
			if begun.IsZero() || v.from.Before(begun) {
				begun = v.from
			}
		}
	}
	if begun.IsZero() {
		l.record("no item of step %d had begun: the rule does not say", s.number)
		return false
	}
	at := func(item string, when time.Time) (here, finished bool) {
		for _, v := range l.visitsOf(item) {
			if !v.from.After(when) && (v.to.IsZero() || v.to.After(when)) {
				here = true
			}
			finished = finished || v.ended == "complete" && !v.to.After(when)
		}
		return here, finished
	}
	broken, fullest := 0, 0
	for _, item := range s.items {
		away := time.Duration(0)
		for when := latest(s.submitted, begun, named.Add(quiet)); when.Before(s.ended); when = when.Add(tick) {
			busy := 0
			for _, other := range s.items {
				if here, _ := at(other, when); here {
					busy++
				}
			}
			fullest = max(fullest, busy)
			here, finished := at(item, when)
			if here || finished || 2*busy >= slots {
				away = 0
				continue
			}
			if away += tick; away >= span {
				broken++
				l.record("item %s of step %d was at no server from %.1f s to %.1f s after the step was asked for", item, s.number,
					when.Add(-span).Sub(s.submitted).Seconds(), when.Sub(s.submitted).Seconds())
				break
			}
		}
	}
	l.record("step %d ran out of time with %d of %d items; %d of them were at no server for 5 s; %d of %d slots were in use at most",
		s.number, s.done, len(s.items), broken, fullest, slots)
	return broken > 0
}

func latest(times ...time.Time) time.Time {
	last := times[0]
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

func (l *lab) currentHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}
