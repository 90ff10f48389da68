package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Timeline of the recovery scenario in seconds.
const (
	outageStart         = 30
	outageRestart       = 120 // one entry restarts with empty memory while the table is down
	outageEnd           = 330
	partitionStart      = 400
	keyWithdrawal       = 401 // a key is withdrawn on the side that reaches the table, the worst moment for the other side
	partitionEnd        = 1000
	replacementStart    = 1100 // all entries are replaced, one every rollStep seconds
	replacementInterval = 10
	recoveryEnd         = 1300
	// entriesPerRegion and questionLost describe the fleet: three entries in each region, a tenth of the questions lost.
	entriesPerRegion = 3
	requestLoss      = 0.1
	// replacementDowntime is how long a replaced entry is away.
	replacementDowntime = 3
	// withdrawnRevision is the revision of the withdrawal.
	withdrawnRevision = 2
)

// serveRule decides whether an entry serves keyed work.
type serveRule func(f *fleetconfig.Freshness, now time.Time) bool

func freshnessRule(f *fleetconfig.Freshness, now time.Time) bool { return f.Verdict(now).Serve }

// serveRecentlyConfirmed trusts nothing but a recent confirmation by the table.
func serveRecentlyConfirmed(f *fleetconfig.Freshness, now time.Time) bool {
	age := f.Age(now)
	return age >= 0 && age <= fleetconfig.DefaultKeyFreshness
}

// serveEverConfirmed trusts whatever was confirmed once.
func serveEverConfirmed(f *fleetconfig.Freshness, now time.Time) bool { return f.Age(now) >= 0 }

// RecoveryScenario compares the freshness rule with one of two simpler rules during an outage of the table, a restart in
// it, the cut of a region with a withdrawal of a key, and the replacement of all entries in turn.
func RecoveryScenario(baselineServesStale bool) Scenario {
	against, baseline := "refusing keyed work when the confirmation is older than 5 s", serveRule(serveRecentlyConfirmed)
	if baselineServesStale {
		against, baseline = "serving on with the last configuration", serveEverConfirmed
	}
	return Scenario{
		Name:     "(j) recovery: table down for 5 min with a restart in it, a region cut for 10 min, all entries replaced",
		Baseline: against, SizeIndependent: true,
		Run: func(u User, seed int64) []Figure {
			p, b := runRecovery(u, seed, freshnessRule), runRecovery(u, seed, baseline)
			return []Figure{
				{"keyed work served, table down", "of entry time", HigherIsBetter, p.outage.fraction(), b.outage.fraction()},
				{"restart until ready, table down", "s (210: not before)", LowerIsBetter, p.restartSeconds, b.restartSeconds},
				{"withdrawn key works in the cut region", "s", LowerIsBetter, p.withdrawnKeySeconds, b.withdrawnKeySeconds},
				{"keyed work served by the others, cut", "of entry time", HigherIsBetter, p.partition.fraction(), b.partition.fraction()},
				{"keyed work served, replacement", "of entry time", HigherIsBetter, p.replacement.fraction(), b.replacement.fraction()},
			}
		},
	}
}

// serveCount counts the seconds in which entries that ran serveCount keyed work.
type serveCount struct{ served, total float64 }

func (s *serveCount) add(serves bool) {
	s.total++
	if serves {
		s.served++
	}
}

func (s serveCount) fraction() float64 { return s.served / s.total }

// recoveryEntry is one entry of the model.
type recoveryEntry struct {
	name, region string
	freshness    *fleetconfig.Freshness
	revision     int64
	downUntil    int
}

func (e *recoveryEntry) reset() {
	e.freshness = fleetconfig.NewFreshness(fleetconfig.FreshnessOptions{Self: e.name, DataCentre: e.region})
	e.revision = 0
}

// recoveryRun is the state and the figures of one run.
type recoveryRun struct {
	rule                                serveRule
	random                              *rand.Rand
	entries                             []*recoveryEntry
	partitionedRegion                   string
	outage, partition, replacement      serveCount
	restartSeconds, withdrawnKeySeconds float64
}

func runRecovery(u User, seed int64, rule serveRule) *recoveryRun {
	r := &recoveryRun{rule: rule, random: rand.New(rand.NewSource(seed)), partitionedRegion: u.Regions[len(u.Regions)-1]}
	r.restartSeconds = outageEnd - outageRestart
	for _, region := range u.Regions {
		for i := range entriesPerRegion {
			e := &recoveryEntry{name: fmt.Sprintf("%s-%d", region, i), region: region}
			e.reset()
			r.entries = append(r.entries, e)
		}
	}
	for second := range recoveryEnd {
		r.step(second, time.Unix(int64(second), 0))
	}
	return r
}

func (r *recoveryRun) step(second int, now time.Time) {
	r.restartEntries(second)
	for _, e := range r.entries {
		if second >= e.downUntil {
			r.readTable(e, second, now)
		}
	}
	for _, e := range r.entries {
		if second >= e.downUntil {
			r.queryPeers(e, second, now)
		}
	}
	for i, e := range r.entries {
		r.record(i, e, second, now)
	}
}

// restartEntries empties the memory of entries that are replaced.
func (r *recoveryRun) restartEntries(second int) {
	if second == outageRestart {
		r.entries[0].reset()
	}
	i := (second - replacementStart) / replacementInterval
	if second >= replacementStart && (second-replacementStart)%replacementInterval == 0 && i < len(r.entries) {
		r.entries[i].reset()
		r.entries[i].downUntil = second + replacementDowntime
	}
}

func (r *recoveryRun) isPartitioned(e *recoveryEntry, second int) bool {
	return e.region == r.partitionedRegion && second >= partitionStart && second < partitionEnd
}

// readTable reads the table, if the entry reaches it.
func (r *recoveryRun) readTable(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other != e && !r.isPartitioned(e, second) {
			e.freshness.Know(other.name, other.region, now)
		}
	}
	if second >= outageStart && second < outageEnd || r.isPartitioned(e, second) {
		return
	}
	e.revision = 1
	if second >= keyWithdrawal {
		e.revision = withdrawnRevision
	}
	e.freshness.Applied(e.revision)
	e.freshness.Confirmed(now)
}

// queryPeers puts a question to each entry that can be reached.
func (r *recoveryRun) queryPeers(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other == e || second < other.downUntil || r.isPartitioned(e, second) != r.isPartitioned(other, second) || r.random.Float64() < requestLoss {
			continue
		}
		if other.revision > e.revision {
			e.revision = other.revision
			e.freshness.Applied(e.revision)
		}
		e.freshness.Answered(fleetconfig.PeerAnswer{
			Name: other.name, DataCentre: other.region, SentAt: now, ConfirmationAge: other.freshness.Age(now), Revision: other.revision,
		})
	}
}

func (r *recoveryRun) record(i int, e *recoveryEntry, second int, now time.Time) {
	serves := second >= e.downUntil && r.rule(e.freshness, now)
	switch {
	case second >= outageStart && second < outageEnd:
		r.outage.add(serves)
		if i == 0 && second >= outageRestart && serves {
			r.restartSeconds = min(r.restartSeconds, float64(second-outageRestart))
		}
	case second >= partitionStart && second < partitionEnd && !r.isPartitioned(e, second):
		r.partition.add(serves)
	case second >= replacementStart:
		r.replacement.add(serves)
	}
	if second >= keyWithdrawal && second < partitionEnd && serves && e.revision < withdrawnRevision {
		r.withdrawnKeySeconds = max(r.withdrawnKeySeconds, float64(second-keyWithdrawal+1))
	}
}
