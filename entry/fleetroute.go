package entry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/routing"
)

// upstreamChoice is the upstream selected for one attempt.
type upstreamChoice struct {
	upstream membership.Upstream
	decision routing.Decision
	// attempt is the id under which the attempt is counted as in flight.
	attempt   string
	exclusive bool
}

// choose selects an upstream for one attempt and counts the attempt as in flight until release is called.
func (f *Fleet) choose(j *job, attempt int, excluded []string, view *fleetconfig.View, now time.Time) (upstreamChoice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	upstreams := f.members.Serving(j.destination.kind, j.destination.serves, now)
	candidates := make([]routing.Candidate, 0, len(upstreams))
	for _, u := range upstreams {
		candidates = append(candidates, f.candidate(u, view))
	}
	decision, err := f.router.Route(routing.Request{
		ID: j.id, Serves: j.destination.serves, Prefix: j.prefix, CostTokens: j.cost, Bytes: int64(len(j.body)),
		Excluded: excluded, Exclusive: j.exclusive,
	}, candidates, now)
	if err != nil {
		return upstreamChoice{decision: decision}, err
	}
	// The list is sorted by name.
	index, _ := slices.BinarySearchFunc(upstreams, decision.Chosen.Name, func(u membership.Upstream, name string) int {
		return strings.Compare(u.Name, name)
	})
	c := upstreamChoice{
		upstream: upstreams[index], decision: decision, attempt: j.id + "#" + strconv.Itoa(attempt),
		exclusive: j.exclusive,
	}
	if c.exclusive {
		f.exclusive[c.upstream.Name]++
	}
	f.inFlight.Sent(c.attempt, c.upstream.Name, j.cost, now)
	f.prefixes.RecordRouted(c.upstream.Name, j.prefix, now)
	return c, nil
}

// release ends the attempt that choose started.
func (f *Fleet) release(c upstreamChoice) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight.Done(c.attempt)
	if !c.exclusive {
		return
	}
	f.exclusive[c.upstream.Name]--
	if f.exclusive[c.upstream.Name] == 0 {
		delete(f.exclusive, c.upstream.Name)
	}
}

// candidate returns the routing candidate of an upstream with its most recent load. The caller must hold the lock.
func (f *Fleet) candidate(u membership.Upstream, view *fleetconfig.View) routing.Candidate {
	load, reportedAt := u.Load, u.ReportedAt
	if report, ok := f.loads[u.Name]; ok && report.at.After(reportedAt) {
		load, reportedAt = report.load, report.at
	}
	configured, known := view.Upstream(u.Name)
	return routing.Candidate{
		Name: u.Name, DataCentre: u.DataCentre, Region: u.Region, Serves: u.Serves, Version: u.ActiveVersion,
		Alive:   u.Status == membership.Live || u.Status == membership.Suspect || u.Status == membership.Leaving,
		Healthy: u.Healthy, Leaving: u.Leaving || known && configured.Draining, Reserved: f.exclusive[u.Name] > 0,
		ReportedAt: reportedAt, Running: load.Running, Queued: load.Queued, Slots: load.Slots, PendingTokens: load.PendingTokens,
		TokensPerSecond: load.TokensPerSecond,
	}
}
