package placement

import (
	"cmp"
	"math"
	"slices"

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
// for it. hosts are the live hosts other than self.
func ChooseOwner(trainer string, self Host, hosts []Host, items int) Host {
	near, far := []Host{self}, []Host(nil)
	for _, h := range hosts {
		if h.Region == self.Region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	if minLoad(near, items) > maxItemsPerCore && minLoad(far, items) <= maxItemsPerCore {
		near = far
	}
	limit := max(maxItemsPerCore, overloadFactor*minLoad(near, items))
	fit := slices.DeleteFunc(near, func(h Host) bool { return h.loadWith(items) > limit })
	return slices.MaxFunc(fit, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousScore(trainer, a), rendezvousScore(trainer, b)), cmp.Compare(b.Name, a.Name))
	})
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
