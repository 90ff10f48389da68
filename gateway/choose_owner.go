package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/presence"
)

// Sharing of jobs by what a host can carry.
const (
	// itemsPerCore is the number of unfinished items for each core above which a job goes to another host: streaming and
	// scoring an item takes a few milliseconds, and most of the items of a job run in the first two seconds.
	itemsPerCore = 300
	// ownerGain is how much less loaded the other host must be. Its first items start about 0.1 s later, because it reads
	// the job from the store.
	ownerGain = 2
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

// chooseOwner returns the process that runs a new job: this one, unless the job is more than it can carry and another one
// is much less loaded. The caller holds the lock.
func (g *Gateway) chooseOwner(items int) (host, incarnation string) {
	own := hostLoad(g.ownedItems()+items, g.opts.Processor)
	best, found := own/ownerGain, false
	host, incarnation = g.opts.Host, g.opts.Incarnation
	if own <= itemsPerCore || !g.hearsOthers(time.Now()) {
		return host, incarnation
	}
	for _, b := range g.peers.Live() {
		if b.Host == g.opts.Host || b.Leaving {
			continue
		}
		load := hostLoad(b.Items+g.given(b)+items, b.Processor)
		if load < best || found && load == best && g.region(b.DataCentre) == g.region(g.opts.DataCentre) {
			best, found = load, true
			host, incarnation = b.Host, b.Incarnation
		}
	}
	return host, incarnation
}

// hostLoad is the number of items for each core.
func hostLoad(items int, processor float64) float64 { return float64(items) / max(processor, 0.01) }

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
