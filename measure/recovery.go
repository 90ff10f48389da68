package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Timeline of the recovery scenario in seconds.
const (
	outageStart  = 30
	outageRests  = 120 // one entry restarts with empty memory while the table is down
	outageEnd    = 330
	cutStart     = 400
	cutWithdrawn = 401 // a key is withdrawn on the side that reaches the table, the worst moment for the other side
	cutEnd       = 1000
	rollStart    = 1100 // all entries are replaced, one every rollStep seconds
	rollStep     = 10
	recoveryEnd  = 1300
	// entriesPerRegion and questionLost describe the fleet: three entries in each region, a tenth of the questions lost.
	entriesPerRegion = 3
	questionLost     = 0.1
	// rollDown is how long a replaced entry is away.
	rollDown = 3
	// withdrawnRevision is the revision of the withdrawal.
	withdrawnRevision = 2
)

// keyRule decides whether an entry serves keyed work.
type keyRule func(f *fleetconfig.Freshness, now time.Time) bool

func freshnessRule(f *fleetconfig.Freshness, now time.Time) bool { return f.Decision(now).Serve }

// refuseOld trusts nothing but a recent confirmation by the table.
func refuseOld(f *fleetconfig.Freshness, now time.Time) bool {
	age := f.ConfirmationAge(now)
	return age >= 0 && age <= fleetconfig.DefaultKeyFreshness
}

// serveOn trusts whatever was confirmed once.
func serveOn(f *fleetconfig.Freshness, now time.Time) bool { return f.ConfirmationAge(now) >= 0 }

// RecoveryScenario compares the freshness rule with one of two simpler rules during an outage of the table, a restart in
// it, the cut of a region with a withdrawal of a key, and the replacement of all entries in turn.
func RecoveryScenario(baselineServesOn bool) Scenario {
	against, baseline := "refusing keyed work when the confirmation is older than 5 s", keyRule(refuseOld)
	if baselineServesOn {
		against, baseline = "serving on with the last configuration", serveOn
	}
	return Scenario{
		Name:    "(j) recovery: table down for 5 min with a restart in it, a region cut for 10 min, all entries replaced",
		Against: against, AnyUser: true,
		Run: func(u User, seed int64) []Figure {
			p, b := runRecovery(u, seed, freshnessRule), runRecovery(u, seed, baseline)
			return []Figure{
				{"keyed work served, table down", "of entry time", HigherIsBetter, p.outage.share(), b.outage.share()},
				{"restart until ready, table down", "s (210: not before)", LowerIsBetter, p.restart, b.restart},
				{"withdrawn key works in the cut region", "s", LowerIsBetter, p.withdrawn, b.withdrawn},
				{"keyed work served by the others, cut", "of entry time", HigherIsBetter, p.cut.share(), b.cut.share()},
				{"keyed work served, replacement", "of entry time", HigherIsBetter, p.roll.share(), b.roll.share()},
			}
		},
	}
}

// served counts the seconds in which entries that ran served keyed work.
type served struct{ yes, all float64 }

func (s *served) add(serves bool) {
	s.all++
	if serves {
		s.yes++
	}
}

func (s served) share() float64 { return s.yes / s.all }

// recoveryEntry is one entry of the model.
type recoveryEntry struct {
	name, region string
	fresh        *fleetconfig.Freshness
	revision     int64
	downUntil    int
}

func (e *recoveryEntry) start() {
	e.fresh = fleetconfig.NewFreshness(fleetconfig.FreshnessOptions{Self: e.name, DataCentre: e.region})
	e.revision = 0
}

// recoveryRun is the state and the figures of one run.
type recoveryRun struct {
	rule               keyRule
	random             *rand.Rand
	entries            []*recoveryEntry
	cutRegion          string
	outage, cut, roll  served
	restart, withdrawn float64
}

func runRecovery(u User, seed int64, rule keyRule) *recoveryRun {
	r := &recoveryRun{rule: rule, random: rand.New(rand.NewSource(seed)), cutRegion: u.Regions[len(u.Regions)-1]}
	r.restart = outageEnd - outageRests
	for _, region := range u.Regions {
		for i := range entriesPerRegion {
			e := &recoveryEntry{name: fmt.Sprintf("%s-%d", region, i), region: region}
			e.start()
			r.entries = append(r.entries, e)
		}
	}
	for second := range recoveryEnd {
		r.step(second, time.Unix(int64(second), 0))
	}
	return r
}

func (r *recoveryRun) step(second int, now time.Time) {
	r.restarts(second)
	for _, e := range r.entries {
		if second >= e.downUntil {
			r.confirm(e, second, now)
		}
	}
	for _, e := range r.entries {
		if second >= e.downUntil {
			r.ask(e, second, now)
		}
	}
	for i, e := range r.entries {
		r.count(i, e, second, now)
	}
}

// restarts empties the memory of entries that are replaced.
func (r *recoveryRun) restarts(second int) {
	if second == outageRests {
		r.entries[0].start()
	}
	i := (second - rollStart) / rollStep
	if second >= rollStart && (second-rollStart)%rollStep == 0 && i < len(r.entries) {
		r.entries[i].start()
		r.entries[i].downUntil = second + rollDown
	}
}

func (r *recoveryRun) isCut(e *recoveryEntry, second int) bool {
	return e.region == r.cutRegion && second >= cutStart && second < cutEnd
}

// confirm reads the table, if the entry reaches it.
func (r *recoveryRun) confirm(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other != e && !r.isCut(e, second) {
			e.fresh.ObserveEntry(other.name, other.region, now)
		}
	}
	if second >= outageStart && second < outageEnd || r.isCut(e, second) {
		return
	}
	e.revision = 1
	if second >= cutWithdrawn {
		e.revision = withdrawnRevision
	}
	e.fresh.RecordApplied(e.revision)
	e.fresh.RecordConfirmation(now)
}

// ask puts a question to each entry that can be reached.
func (r *recoveryRun) ask(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other == e || second < other.downUntil || r.isCut(e, second) != r.isCut(other, second) || r.random.Float64() < questionLost {
			continue
		}
		if other.revision > e.revision {
			e.revision = other.revision
			e.fresh.RecordApplied(e.revision)
		}
		e.fresh.RecordResponse(fleetconfig.PeerResponse{
			Name: other.name, DataCentre: other.region, SentAt: now, ConfirmationAge: other.fresh.ConfirmationAge(now), Revision: other.revision,
		})
	}
}

func (r *recoveryRun) count(i int, e *recoveryEntry, second int, now time.Time) {
	serves := second >= e.downUntil && r.rule(e.fresh, now)
	switch {
	case second >= outageStart && second < outageEnd:
		r.outage.add(serves)
		if i == 0 && second >= outageRests && serves {
			r.restart = min(r.restart, float64(second-outageRests))
		}
	case second >= cutStart && second < cutEnd && !r.isCut(e, second):
		r.cut.add(serves)
	case second >= rollStart:
		r.roll.add(serves)
	}
	if second >= cutWithdrawn && second < cutEnd && serves && e.revision < withdrawnRevision {
		r.withdrawn = max(r.withdrawn, float64(second-cutWithdrawn+1))
	}
}
