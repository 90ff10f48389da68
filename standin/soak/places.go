package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

const (
	// dataCentres is the number of data centres, each of which is a region.
	dataCentres = 3
	// placeTimeout is the time from which an evacuation or new homes hold: the platform's 5 s, and what it grants while the
	// store was away.
	placeTimeout = 8 * time.Second
	// placeSpan is how long a constraint is watched at least: several times as long as the load takes to send
	// maxRunsOutOfPlace requests out of place.
	placeSpan = 4 * time.Second
	// maxRunsOutOfPlace bounds the requests that break such a constraint later. They come from processes that the platform
	// excuses because they were paused, restarted or cut off; the upstreams cannot tell them apart.
	maxRunsOutOfPlace = 40
)

// dataCentre returns the name of the data centre of a process or upstream with a number, which is its region as well.
func dataCentre(number int) string { return fmt.Sprintf("dc-%d", number%dataCentres) }

// placeRule is a constraint on where requests run.
type placeRule struct {
	name string
	// allows reports whether a request may run in a data centre.
	allows func(path, dataCentre string) bool
	from   time.Time
	runs   int
}

// recordUpstream records the data centre of an upstream.
func (c *checker) recordUpstream(id, dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dataCentres[id] = dataCentre
}

// addPlaceRule adds a constraint that holds from placeTimeout on until it is removed.
func (c *checker) addPlaceRule(name string, allows func(path, dataCentre string) bool) (remove func()) {
	rule := &placeRule{name: name, allows: allows, from: time.Now().Add(placeTimeout)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places[rule] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.places, rule)
	}
}

// checkPlace checks where a request runs. c.mu must be held.
func (c *checker) checkPlace(r platformtest.Run) {
	now := time.Now()
	for rule := range c.places {
		if now.Before(rule.from) || rule.allows(r.Path, c.dataCentres[r.Upstream]) {
			continue
		}
		if rule.runs++; rule.runs == maxRunsOutOfPlace {
			c.history.recordViolation("%d requests ran against %s, the last one, %s, at upstream %s", rule.runs, rule.name, r.ID, r.Upstream)
		}
	}
}

// evacuate orders the evacuation of a data centre, and takes it back some time after it must hold.
func (s *Soak) evacuate(r *rand.Rand, d time.Duration) {
	if !s.evacuating.CompareAndSwap(false, true) {
		return
	}
	defer s.evacuating.Store(false)
	evacuated := dataCentre(r.IntN(dataCentres))
	s.store.Put(platformtest.OperatorTable, "evacuate/"+evacuated, []byte("{}"))
	remove := s.checker.addPlaceRule("the evacuation of "+evacuated, func(_, dataCentre string) bool { return dataCentre != evacuated })
	time.Sleep(placeTimeout + placeSpan + d)
	remove()
	s.store.Delete(platformtest.OperatorTable, "evacuate/"+evacuated)
}

// restrictHomes keeps batch jobs and some plain requests in one region, and lifts that some time after it must hold.
func (s *Soak) restrictHomes(r *rand.Rand, d time.Duration) {
	if !s.restricting.CompareAndSwap(false, true) {
		return
	}
	defer s.restricting.Store(false)
	home := dataCentre(r.IntN(dataCentres))
	s.store.Put(platformtest.OperatorTable, "config", platformtest.Config(s.configVersion.Add(1), home))
	remove := s.checker.addPlaceRule("the homes in "+home, func(path, dataCentre string) bool {
		restricted := strings.HasPrefix(path, platformtest.BillPath) || strings.HasPrefix(path, platformtest.RolloutPath)
		return !restricted || dataCentre == home
	})
	time.Sleep(placeTimeout + placeSpan + d)
	remove()
	s.store.Put(platformtest.OperatorTable, "config", platformtest.Config(s.configVersion.Add(1)))
}
