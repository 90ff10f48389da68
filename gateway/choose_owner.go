package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
)

// ownedItems counts the unfinished items of this process's jobs. The caller holds the lock.
func (g *Gateway) ownedItems() int {
	n := 0
	for _, e := range g.jobs {
		if e.owned != nil {
			n += len(e.owned.job.Items()) - e.owned.job.Count(batch.Listed)
		}
	}
	return n
}

// chooseOwner returns the process that runs a new job of a trainer. While the heartbeats of others cannot be judged, this
// process does. The caller holds the lock.
func (g *Gateway) chooseOwner(trainer string, items int) (host, incarnation string) {
	now := time.Now()
	self := placement.Host{
		Name: g.opts.Host, Incarnation: g.opts.Incarnation, Region: g.region(g.opts.DataCentre), Processor: g.opts.CPUShare,
		Items: g.ownedItems(),
	}
	if !g.hearsOthers(now) {
		return self.Name, self.Incarnation
	}
	var hosts []placement.Host
	for _, b := range g.peers.HeardWithin(maxOwnerSilence) {
		if b.Host != g.opts.Host && !b.Leaving {
			hosts = append(hosts, placement.Host{
				Name: b.Host, Incarnation: b.Incarnation, Region: b.Region, Processor: b.Processor, Items: b.Items + g.given(b),
			})
		}
	}
	owner := placement.ChooseOwner(trainer, self, hosts, items)
	return owner.Name, owner.Incarnation
}

// maxOwnerSilence is how old the last heartbeat of a host may be that is given a job: two intervals, so that one that has
// just died is mostly passed over.
const maxOwnerSilence = 2 * beatInterval

// given counts the unlisted items of the jobs that a process owns by the records, as far as its heartbeat cannot show them
// yet. The caller holds the lock.
func (g *Gateway) given(b presence.Beat) int {
	n := 0
	for _, e := range g.jobs {
		if e.record.Open() && e.record.OwnedBy(b.Host, b.Incarnation) {
			n += e.record.Total - e.record.Listed
		}
	}
	return max(n-b.Items, 0)
}
