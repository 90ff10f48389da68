package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/rendezvous"
)

const (
	// maxItemsPerCore is the number of unfinished items per core that a host can run without falling behind. A host
	// with 0.8 cores and 200 items uses a tenth of its cores on average, and several times as much in the first second
	// of a job.
	maxItemsPerCore = 600
	// overloadFactor limits the load of an eligible host as a multiple of the lowest load, if no host is below
	// maxItemsPerCore.
	overloadFactor = 1.5
)

// ChooseOwner returns the host that runs a new job of a trainer: among the hosts in the region of self that have
// capacity for it, or among the least loaded ones if none has, the host with the highest rendezvous score for the
// trainer. Successive jobs of a trainer thus reuse the connections of the earlier ones, and hosts that choose at the
// same time choose the same owner only for the same trainer. A job leaves the region only for a host that has capacity
// for it.
//
// Outside of home, only self may run the job, because its caller has handed it the job. A job that arrives there goes
// to the hosts at home as long as they have capacity. hosts are the live hosts other than self.
func ChooseOwner(trainer string, self Host, hosts []Host, home homes.Regions, items int) Host {
	tiers := ownerTiers(self, hosts, home)
	choice := tiers[0]
	for _, tier := range tiers {
		if minLoad(tier, items) <= maxItemsPerCore {
			choice = tier
			break
		}
	}
	limit := max(maxItemsPerCore, overloadFactor*minLoad(choice, items))
	fit := slices.DeleteFunc(choice, func(h Host) bool { return h.loadWith(items) > limit })
	return slices.MaxFunc(fit, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousScore(trainer, a), rendezvousScore(trainer, b)), cmp.Compare(b.Name, a.Name))
	})
}

// ownerTiers returns the hosts that may run a job, the preferred ones first. No tier is empty.
func ownerTiers(self Host, hosts []Host, home homes.Regions) [][]Host {
	near, far := []Host{self}, []Host(nil)
	for _, h := range hosts {
		switch {
		case !home.Allows(h.Region):
		case h.Region == self.Region:
			near = append(near, h)
		default:
			far = append(far, h)
		}
	}
	switch {
	case len(far) == 0:
		return [][]Host{near}
	case home.Allows(self.Region):
		return [][]Host{near, far}
	default:
		return [][]Host{far, near}
	}
}

// minLoad returns the lowest load among hosts if they take this many more items; infinite if there are no hosts.
func minLoad(hosts []Host, items int) float64 {
	lowest := math.Inf(1)
	for _, h := range hosts {
		lowest = min(lowest, h.loadWith(items))
	}
	return lowest
}

// rendezvousScore returns the score of a host in rendezvous hashing, weighted by its CPU share.
func rendezvousScore(trainer string, h Host) float64 {
	draw := (float64(rendezvous.Weight(trainer, h.Name)>>11) + 0.5) / (1 << 53)
	return -h.CPUShare / math.Log(draw)
}
