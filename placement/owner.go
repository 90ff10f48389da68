package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/radishshelf/radishshelf/rendezvous"
)

const (
	// maxItemsPerCore is the number of unfinished items for each core that a host carries without falling behind: a host of 0.8
	// cores that runs 200 items uses a tenth of them on average, and several times as much in the first second of a job.
	maxItemsPerCore = 600
	// overloadFactor is how many times the load of the least loaded host makes a host unfit where no host is below itemsPerCore.
	overloadFactor = 1.5
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
	if minLoad(near, items) > maxItemsPerCore && minLoad(far, items) <= maxItemsPerCore {
		near = far
	}
	limit := max(maxItemsPerCore, overloadFactor*minLoad(near, items))
	fit := slices.DeleteFunc(near, func(h Host) bool { return h.loadWith(items) > limit })
	return slices.MaxFunc(fit, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousScore(trainer, a), rendezvousScore(trainer, b)), cmp.Compare(b.Name, a.Name))
	})
}

// minLoad returns the least load of hosts with more items on top; infinite for none.
func minLoad(hosts []Host, items int) float64 {
	lowest := math.Inf(1)
	for _, h := range hosts {
		lowest = min(lowest, h.loadWith(items))
	}
	return lowest
}

// rendezvousScore is the weighted rendezvous score of a host.
func rendezvousScore(trainer string, h Host) float64 {
	draw := (float64(rendezvous.Weight(trainer, h.Name)>>11) + 0.5) / (1 << 53)
	return -h.CPUShare / math.Log(draw)
}
