package gateway

import (
	"slices"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/presence"
)

// settledHeartbeats is the number of heartbeats after which a process counts as able to take over jobs: it judges the
// others only once it has seen its first heartbeat come back.
const settledHeartbeats = 2

// markReleased marks a record as released by this process.
func (g *Gateway) markReleased(record *batch.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	record.Owner, record.OwnerIncarnation = "", ""
	record.Release = placement.Release{Host: g.opts.Host, OwnerStartedAt: g.processStart(), At: g.storeClock()}
}

// adoptRank returns the position of a host in the order in which live processes take over a job, 0 for a host that is
// not among them. Every process computes the same order from the same heartbeats.
func adoptRank(live []presence.Heartbeat, job, host string, record *batch.Record) int {
	var hosts []placement.Successor
	for _, b := range live {
		if !b.Leaving {
			hosts = append(hosts, placement.Successor{
				Host:      placement.Host{Name: b.Host, Region: b.Region, CPUShare: b.CPUShare, Items: b.Items},
				StartedAt: b.StartedAt, Settled: b.Sequence >= settledHeartbeats && b.ConfigVersion > 0, AfterCrash: b.AfterCrash,
			})
		}
	}
	order := placement.Succession(job, record.AcceptedIn, record.Total-record.Listed, record.Release, hosts)
	return max(slices.Index(order, host), 0)
}

// Reasons for which a process takes over a job, as its log line names them.
const (
	afterAssignment = "assignment" // the process that accepted the job chose this one
	afterRelease    = "release"    // the last owner released the job, as a planned stop does
	afterLoss       = "loss"       // the last owner is gone without having released the job
)

// takeoverReason returns why this process takes over a job with the given record, and the host that had it last.
func (g *Gateway) takeoverReason(r *batch.Record) (reason, from string) {
	switch {
	case r.Owner == "":
		return afterRelease, r.Release.Host
	case r.OwnedBy(g.opts.Host, g.opts.Incarnation):
		return afterAssignment, r.Owner
	default:
		return afterLoss, r.Owner
	}
}

// recordTakeover records how long a released job had no owner, and how many texts its new owner goes on with. The caller
// holds g.mu.
func (g *Gateway) recordTakeover(released placement.Release, texts int) {
	if released.Host == "" {
		return
	}
	g.metrics.withoutOwner.Update(max(g.storeClock()-released.At, 0).Seconds())
	g.metrics.resumedTexts.Update(float64(texts))
}
