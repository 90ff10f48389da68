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

// adoptRank returns the position of a host in the order in which live processes take over a job. A host that is not among
// them, since it has not seen its own heartbeat yet, goes last. Every process computes the same order from the same
// heartbeats.
func adoptRank(live []presence.Heartbeat, job, host string, record *batch.Record) int {
	var hosts []placement.Successor
	for _, b := range live {
		if !b.Leaving {
			hosts = append(hosts, placement.Successor{
				Host:      placement.Host{Name: b.Host, Region: b.Region, CPUShare: b.CPUShare, Items: b.Items},
				Settled:   b.Sequence >= settledHeartbeats && b.ConfigVersion > 0,
				StartedAt: b.StartedAt, AfterCrash: b.AfterCrash,
			})
		}
	}
	order := placement.Succession(job, record.AcceptedIn, record.Total-record.Listed, record.Release, hosts)
	if rank := slices.Index(order, host); rank >= 0 {
		return rank
	}
	return len(order)
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

// resumingTexts are the texts of a released job that have not gone on since.
type resumingTexts struct {
	released placement.Release
	texts    map[*batch.Progress]bool
}

// recordTakeover records how long a released job had no owner, and which texts its new owner goes on with. The caller holds
// g.mu.
func (o *ownedJob) recordTakeover(released placement.Release) {
	if released.Host == "" {
		return
	}
	o.resuming = resumingTexts{released: released, texts: map[*batch.Progress]bool{}}
	for _, p := range o.job.Items() {
		if p.Phase == batch.Waiting && p.Text.LastEventID() > 0 {
			o.resuming.texts[p] = true
		}
	}
	o.g.metrics.withoutOwner.Update(max(o.g.storeClock()-released.At, 0).Seconds())
	o.g.metrics.resumedTexts.Update(float64(len(o.resuming.texts)))
}

// observeResumed notes that a text has gone on, and records the delay once all texts have that the last owner had begun.
// The caller holds g.mu.
func (o *ownedJob) observeResumed(p *batch.Progress) {
	if !o.resuming.texts[p] {
		return
	}
	delete(o.resuming.texts, p)
	if len(o.resuming.texts) > 0 {
		return
	}
	delay := max(o.g.storeClock()-o.resuming.released.At, 0)
	o.g.metrics.resumeDelay.Update(delay.Seconds())
	o.g.opts.Log.Info().Str("job", o.entry.id).Str("from", o.resuming.released.Host).Dur("delay_ms", delay).
		Msg("texts of a released job go on")
}
