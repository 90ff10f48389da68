package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
)

// unfinishedItems returns the number of unlisted items of this process's jobs. The caller holds g.mu.
func (g *Gateway) unfinishedItems() int {
	n := 0
	for _, e := range g.jobs {
		if e.owned != nil {
			n += len(e.owned.job.Items()) - e.owned.job.Count(batch.Listed)
		}
	}
	return n
}

// chooseOwner returns the process that runs a new job of a trainer with the given homes. While the heartbeats of others
// cannot be judged, this process runs it. The caller holds g.mu.
func (g *Gateway) chooseOwner(trainer string, home homes.Regions, items int) (host, incarnation string) {
	now := time.Now()
	self := placement.Host{
		Name: g.opts.Host, Incarnation: g.opts.Incarnation, Region: g.region(g.opts.DataCentre), CPUShare: g.opts.CPUShare,
		Items: g.unfinishedItems(),
	}
	if !g.isPeerViewCurrent(now) {
		return self.Name, self.Incarnation
	}
	var hosts []placement.Host
	for _, b := range g.peers.SeenWithin(maxOwnerHeartbeatAge) {
		if b.Host != g.opts.Host && !b.Leaving {
			hosts = append(hosts, placement.Host{
				Name: b.Host, Incarnation: b.Incarnation, Region: b.Region, CPUShare: b.CPUShare, Items: b.Items + g.unreportedItems(b),
			})
		}
	}
	owner := placement.ChooseOwner(trainer, self, hosts, home, items)
	return owner.Name, owner.Incarnation
}

// maxOwnerHeartbeatAge is the maximum age of the last heartbeat of a host that is given a job: two intervals, so that
// a host that has just died is usually not chosen.
const maxOwnerHeartbeatAge = 2 * heartbeatInterval

// unreportedItems returns the number of unlisted items that a process owns according to the job records, beyond those
// that its last heartbeat reports. The caller holds g.mu.
func (g *Gateway) unreportedItems(b presence.Heartbeat) int {
	n := 0
	for _, e := range g.jobs {
		if e.record.Open() && e.record.OwnedBy(b.Host, b.Incarnation) {
			n += e.record.Total - e.record.Listed
		}
	}
	return max(n-b.Items, 0)
}
