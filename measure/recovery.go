package measure

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// Timeline of the recovery scenario in seconds.
const (
	outageStart    = 30
	outageRestart  = 120 // one entry restarts without state while the table is down
	outageEnd      = 330
	partitionStart = 400
	// A key is withdrawn right after the partition starts, the worst time for the region that cannot reach the table.
	keyWithdrawal       = 401
	partitionEnd        = 1000
	replacementStart    = 1100 // all entries are replaced, one every replacementInterval seconds
	replacementInterval = 10
	recoveryEnd         = 1300
	// entriesPerRegion is the number of entries in each region, and requestLoss the fraction of lost requests between
	// entries.
	entriesPerRegion = 3
	requestLoss      = 0.1
	// replacementDowntime is how many seconds a replaced entry is down.
	replacementDowntime = 3
	// withdrawnRevision is the configuration revision that withdraws the key.
	withdrawnRevision = 2
)

// serveRule decides whether an entry serves requests that need an API key.
type serveRule func(f *fleetconfig.Freshness, now time.Time) bool

func freshnessRule(f *fleetconfig.Freshness, now time.Time) bool { return f.Decision(now).Serve }

// serveRecentlyConfirmed serves only while the last confirmation by the table is recent.
func serveRecentlyConfirmed(f *fleetconfig.Freshness, now time.Time) bool {
	age := f.ConfirmationAge(now)
	return age >= 0 && age <= fleetconfig.DefaultKeyFreshness
}

// serveEverConfirmed serves whenever the configuration has been confirmed at least once.
func serveEverConfirmed(f *fleetconfig.Freshness, now time.Time) bool {
	return f.ConfirmationAge(now) >= 0
}

// RecoveryScenario compares the freshness rule with one of two simpler rules during an outage of the table with a
// restart of an entry, a network partition of a region during which a key is withdrawn, and the rolling replacement of
// all entries.
func RecoveryScenario(baselineServesStale bool) Scenario {
	baselineName, baselineRule := "refusing keyed requests when the confirmation is older than 5 s", serveRule(serveRecentlyConfirmed)
	if baselineServesStale {
		baselineName, baselineRule = "continuing to serve with the last configuration", serveEverConfirmed
	}
	return Scenario{
		Name:     "(j) recovery: table down for 5 min with a restart in it, a region partitioned for 10 min, all entries replaced",
		Baseline: baselineName, SizeIndependent: true,
		Run: func(u User, seed int64) []Figure {
			p, b := runRecovery(u, seed, freshnessRule), runRecovery(u, seed, baselineRule)
			return []Figure{
				{"keyed requests served, table down", "of entry time", HigherIsBetter, p.outage.fraction(), b.outage.fraction()},
				{"restart until ready, table down", "s (210: not before)", LowerIsBetter, p.restartSeconds, b.restartSeconds},
				{"withdrawn key accepted in the partitioned region", "s", LowerIsBetter, p.withdrawnKeySeconds, b.withdrawnKeySeconds},
				{"keyed requests served by the others, partition", "of entry time", HigherIsBetter, p.partition.fraction(), b.partition.fraction()},
				{"keyed requests served, replacement", "of entry time", HigherIsBetter, p.replacement.fraction(), b.replacement.fraction()},
			}
		},
	}
}

// serveCount counts entry-seconds, and those in which the entry served requests that need an API key.
type serveCount struct{ served, total float64 }

func (s *serveCount) add(serves bool) {
	s.total++
	if serves {
		s.served++
	}
}

func (s serveCount) fraction() float64 { return s.served / s.total }

// recoveryEntry models the configuration state of one entry.
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

// recoveryRun holds the state and the results of one run.
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

// restartEntries resets the state of entries that restart or are replaced in this second.
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

// readTable refreshes the entry's list of known entries unless it is partitioned, and confirms its configuration if it
// can reach the table.
func (r *recoveryRun) readTable(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other != e && !r.isPartitioned(e, second) {
			e.freshness.ObserveEntry(other.name, other.region, now)
		}
	}
	if second >= outageStart && second < outageEnd || r.isPartitioned(e, second) {
		return
	}
	e.revision = 1
	if second >= keyWithdrawal {
		e.revision = withdrawnRevision
	}
	e.freshness.RecordApplied(e.revision)
	e.freshness.RecordConfirmation(now)
}

// queryPeers asks each reachable entry for its configuration and its last confirmation.
func (r *recoveryRun) queryPeers(e *recoveryEntry, second int, now time.Time) {
	for _, other := range r.entries {
		if other == e || second < other.downUntil ||
			r.isPartitioned(e, second) != r.isPartitioned(other, second) || r.random.Float64() < requestLoss {
			continue
		}
		if other.revision > e.revision {
			e.revision = other.revision
			e.freshness.RecordApplied(e.revision)
		}
		e.freshness.RecordResponse(fleetconfig.PeerResponse{
			Name: other.name, DataCentre: other.region, SentAt: now, ConfirmationAge: other.freshness.ConfirmationAge(now), Revision: other.revision,
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
