package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/radishshelf/radishshelf/rendezvous"
)

const (
	// itemsPerCore is the number of unfinished items for each core that a host carries without falling behind: a host of 0.8
	// cores that runs 200 items uses a tenth of them on average, and several times as much in the first second of a job.
	itemsPerCore = 600
	// crowdedShare is how many times the load of the least loaded host makes a host unfit where no host is below itemsPerCore.
	crowdedShare = 1.5
)

// ChooseOwner returns the host that runs a new job of a trainer: of the hosts in the region of self that can carry it, or of
// the least loaded ones where none can, the one that a rendezvous of trainer and host ranks first. So the jobs of a trainer
// meet the connections of the jobs before them, and hosts that choose at the same time choose alike only for the same
// trainer. A job leaves the region only for a host that can carry it. hosts are the live ones beside self.
func ChooseOwner(trainer string, self Host, hosts []Host, items int) Host {
	near, far := []Host{self}, []Host(nil)
	for _, h := range hosts {
		if h.Region == self.Region {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	if leastLoad(near, items) > itemsPerCore && leastLoad(far, items) <= itemsPerCore {
		near = far
	}
	bound := max(itemsPerCore, crowdedShare*leastLoad(near, items))
	fit := slices.DeleteFunc(near, func(h Host) bool { return h.load(items) > bound })
	return slices.MaxFunc(fit, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rank(trainer, a), rank(trainer, b)), cmp.Compare(b.Name, a.Name))
	})
}

// leastLoad returns the least load of hosts with more items on top; infinite for none.
func leastLoad(hosts []Host, items int) float64 {
	least := math.Inf(1)
	for _, h := range hosts {
		least = min(least, h.load(items))
	}
	return least
}

// rank is the weighted rendezvous score of a host.
func rank(trainer string, h Host) float64 {
	draw := (float64(rendezvous.Weight(trainer, h.Name)>>11) + 0.5) / (1 << 53)
	return -h.Cores / math.Log(draw)
}
