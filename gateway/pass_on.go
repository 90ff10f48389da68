package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/presence"
)

// hostsIn returns the heartbeats of the hosts in the given regions.
func hostsIn(live []presence.Heartbeat, regions homes.Regions) []presence.Heartbeat {
	if !regions.Restricted() {
		return live
	}
	return slices.DeleteFunc(slices.Clone(live), func(b presence.Heartbeat) bool { return !regions.Allows(b.Region) })
}

// hasSuccessor reports whether another live host may run a job. The caller holds g.mu.
func (g *Gateway) hasSuccessor(e *jobEntry, live []presence.Heartbeat) bool {
	return slices.ContainsFunc(hostsIn(live, g.jobHosts(&e.record)), func(b presence.Heartbeat) bool {
		return b.Host != g.opts.Host && !b.Leaving
	})
}

// isStranded reports whether no live host may run a job. Such a job waits for one: its content never goes to another
// region. The caller holds g.mu.
func (g *Gateway) isStranded(e *jobEntry, live []presence.Heartbeat) bool {
	return !g.mayKeepJob(&e.record) && !g.hasSuccessor(e, live)
}

// recordStranded records and logs how many jobs no live host may run. The caller holds g.mu.
func (g *Gateway) recordStranded(n int) {
	if n > g.strandedJobs {
		g.opts.Log.Warn().Int("jobs", n).Msg("jobs wait: no live host is in a region in which they may be kept")
	} else if n == 0 && g.strandedJobs > 0 {
		g.opts.Log.Info().Msg("no more jobs wait for a host in their regions")
	}
	g.strandedJobs = n
}

// jobsToPassOn returns the jobs that others assigned to this process, which must not run them: it is leaving, or it is in
// a region in which they may not be kept. Those who assigned them did not know it. The caller holds g.mu.
func (g *Gateway) jobsToPassOn() []*jobEntry {
	var list []*jobEntry
	if g.config == nil && !g.leaving {
		return nil
	}
	for _, e := range g.jobs {
		if e.record.Open() && e.owned == nil && !e.adopting && e.record.OwnedBy(g.opts.Host, g.opts.Incarnation) &&
			(g.leaving || !g.mayKeepJob(&e.record)) {
			list = append(list, e)
		}
	}
	return list
}

// passOn gives up a job that was assigned to this process, which has never run it, so that the others take it over.
func (g *Gateway) passOn(ctx context.Context, e *jobEntry) {
	g.mu.Lock()
	record, version := e.record, e.version
	leaving := g.leaving
	g.mu.Unlock()
	g.markReleased(&record)
	committed, err := g.commitRecord(ctx, e, record, version)
	g.opts.Log.Info().Str("job", e.id).Bool("committed", committed).Bool("leaving", leaving).AnErr("error", err).
		Msg("job passed on: it was assigned to this process, which must not run it")
	g.mu.Lock()
	defer g.mu.Unlock()
	e.adopting = false
}

// displacedJobs returns the running jobs that a newer configuration keeps away from this process, as soon as another host
// may go on with them, and marks them. Without such a host they go on here, which hands their content to nobody. The caller
// holds g.mu.
func (g *Gateway) displacedJobs(now time.Time) []*ownedJob {
	var list []*ownedJob
	if g.leaving || !g.isPeerViewCurrent(now) {
		return nil
	}
	live := g.peers.Live()
	for _, e := range g.jobs {
		if o := e.owned; o != nil && !o.displaced && !g.mayKeepJob(&e.record) && g.hasSuccessor(e, live) {
			o.displaced = true
			list = append(list, o)
		}
	}
	return list
}

// displace hands over a job that this process must not keep any longer.
func (o *ownedJob) displace() {
	o.g.opts.Log.Info().Str("job", o.entry.id).Msg("job leaves this host: its regions have changed")
	o.handOver()
	o.g.mu.Lock()
	defer o.g.mu.Unlock()
	o.release() // without the hand-over, it is passed on as a job that was assigned to this process
}
