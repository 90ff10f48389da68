package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/rendezvous"
)

// Successor is a live host that may take over a job without an owner.
type Successor struct {
	Host
	// StartedAt is when its process started, on the store's clock; 0 if that is unknown.
	StartedAt time.Duration
	// Settled is set once the process has its configuration and hears of the other hosts, so that it can take over jobs.
	Settled bool
	// AfterCrash is set if the process before it ended without a planned stop. It may end like that again.
	AfterCrash bool
}

// Release says which host gave up a job and when, and when its process had started (0 if unknown), on the store's clock.
// It is zero for a job whose owner was lost.
type Release struct {
	Host           string        `json:"host"`
	OwnerStartedAt time.Duration `json:"owner_started_at,omitempty"`
	At             time.Duration `json:"at"`
}

// Succession returns the live hosts in the order in which they take over a job with this many unfinished items. All hosts
// compute the same order from the same heartbeats. It is a preference: the store's condition on the job's record decides.
//
// Hosts that can act at once go first, then those with capacity for the job, then those that are the least likely ones to
// be stopped next, as each stop interrupts all texts of a job; then those in the given region; then those with the higher
// rendezvous score.
func Succession(job, region string, items int, released Release, hosts []Successor) []string {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b Successor) int {
		return cmp.Or(
			compareBool(a.canTakeOver(released), b.canTakeOver(released)),
			compareBool(a.loadWith(items) <= maxItemsPerCore, b.loadWith(items) <= maxItemsPerCore),
			cmp.Compare(a.stopRank(released), b.stopRank(released)),
			compareBool(a.Region == region, b.Region == region),
			cmp.Compare(rendezvous.Weight(job, b.Name), rendezvous.Weight(job, a.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	names := make([]string, len(hosts))
	for i := range hosts {
		names[i] = hosts[i].Name
	}
	return names
}

// stopRank returns 0 for a host that was lately restarted as planned: in a rolling restart it is the least likely one to be
// stopped next. It returns 2 for one that lately crashed and may do so again, and 1 for all others.
func (s *Successor) stopRank(released Release) int {
	switch {
	case !s.startedLately(released):
		return 1
	case s.AfterCrash:
		return 2
	default:
		return 0
	}
}

// canTakeOver reports whether a host can act at once. The others know of a release before they know from its heartbeat that
// the host is leaving.
func (s *Successor) canTakeOver(released Release) bool {
	isReleaser := s.Name == released.Host && s.StartedAt == released.OwnerStartedAt
	return s.Settled && !isReleaser
}

// startedLately reports whether the process of s was started in the later half of the time for which the owner had run.
// Hosts that were first started together with the owner differ from it by little compared with the time that they have
// run, whatever the pace of the restarts.
func (s *Successor) startedLately(released Release) bool {
	if s.StartedAt == 0 || released.OwnerStartedAt == 0 {
		return false
	}
	return s.StartedAt-released.OwnerStartedAt > released.At-s.StartedAt
}

// compareBool orders what is preferred before what is not.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
