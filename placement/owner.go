package placement

import (
	"math"

	"github.com/radishshelf/radishshelf/rendezvous"
)

// itemsPerCore is the number of unfinished items for each core that a host carries without falling behind: streaming and
// scoring an item takes a few milliseconds, and most of the items of a job run in the first two seconds.
const itemsPerCore = 300

// ownerGain is how much less loaded another host must be when every host is over itemsPerCore. The first items start about
// 0.1 s later there, because it reads the job from the store.
const ownerGain = 2

// ChooseOwner returns the host that runs a new job of a trainer: of the hosts in the region of self that can carry it, the
// one that a rendezvous of trainer and host ranks first. So the jobs of a trainer meet the connections of the jobs before
// them, and hosts that choose at the same time choose alike only for the same trainer. hosts are the live ones beside self.
func ChooseOwner(trainer string, self Host, hosts []Host, items int) Host {
	best, found := self, self.load(items) <= itemsPerCore
	for _, h := range hosts {
		if h.Region == self.Region && h.load(items) <= itemsPerCore && (!found || precedes(trainer, h, best)) {
			best, found = h, true
		}
	}
	if found {
		return best
	}
	return leastLoaded(self, hosts, items)
}

// leastLoaded returns the host with the least load, and self unless that is much less.
func leastLoaded(self Host, hosts []Host, items int) Host {
	best, bound := self, self.load(items)/ownerGain
	for _, h := range hosts {
		load := h.load(items)
		if load < bound || best.Name != self.Name && load == bound && h.Region == self.Region && best.Region != self.Region {
			best, bound = h, load
		}
	}
	return best
}

// precedes reports whether a ranks before b for a trainer. Ranks are drawn in proportion to the processor of a host.
func precedes(trainer string, a, b Host) bool {
	rankA, rankB := rank(trainer, a), rank(trainer, b)
	if rankA != rankB {
		return rankA > rankB
	}
	return a.Name < b.Name
}

// rank is the weighted rendezvous score of a host.
func rank(trainer string, h Host) float64 {
	draw := (float64(rendezvous.Weight(trainer, h.Name)>>11) + 0.5) / (1 << 53)
	return -h.Processor / math.Log(draw)
}
