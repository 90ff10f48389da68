package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
)

// schedulePass is one pass over all waiting items. The caller holds g.mu throughout.
type schedulePass struct {
	g         *Gateway
	now       time.Time
	selectors map[selectorKey]*placement.Selector
	// limits holds the maximum number of items of each job that run concurrently.
	limits map[*ownedJob]int
	// noRoom holds the requirements for which no engine was found in this pass.
	noRoom map[placementKey]bool
	// waiting counts the items that found no engine.
	waiting map[placementKey]int
	// heldBack counts the items that did not start, by the reason.
	heldBack map[holdReason]int
}

// holdReason is why an item did not start in a pass.
type holdReason string

const (
	// heldByRoute items have no route or no service any more.
	heldByRoute holdReason = "route"
	// heldByJob items belong to a job that has as many items running as it should.
	heldByJob holdReason = "job_concurrency"
	// heldByEngines items find no engine that serves their version and takes a text now: all are busy, failing or at a limit.
	heldByEngines holdReason = "engines"
	// heldByMemory items find such an engine only where the texts are expected to exceed the memory.
	heldByMemory holdReason = "memory"
)

// holdReasons lists all reasons.
var holdReasons = []holdReason{heldByRoute, heldByJob, heldByEngines, heldByMemory}

// selectorKey identifies the engines that serve a model and to which a text may be sent.
type selectorKey struct {
	sendScope
	model string
}

// placementKey groups texts for which the same engines are suitable.
type placementKey struct {
	selectorKey
	minVersion int64
	long       bool
}

func newSchedulePass(g *Gateway, now time.Time) *schedulePass {
	return &schedulePass{
		g: g, now: now, selectors: map[selectorKey]*placement.Selector{}, limits: map[*ownedJob]int{},
		noRoom: map[placementKey]bool{}, waiting: map[placementKey]int{}, heldBack: map[holdReason]int{},
	}
}

// start starts one item at the best engine with room.
func (s *schedulePass) start(c batch.Candidate) {
	g := s.g
	e := g.jobs[c.Job.Spec.ID]
	if lifetime := e.record.Lifetime; lifetime > 0 && g.storeClock() > e.record.AcceptedAt+lifetime {
		c.Job.Abandon(c.Item)
		e.owned.signalLister()
		return
	}
	route, ok := g.config.Route(e.record.Host, e.record.PathPrefix)
	if !ok || route.Kind != serving.Rollout {
		s.heldBack[heldByRoute]++
		return // the route was removed from the configuration; the items wait until it returns
	}
	service, ok := g.chooseService(route, g.jobHomes(&e.record))
	if !ok {
		s.heldBack[heldByRoute]++
		return
	}
	if len(e.owned.runs) >= s.concurrencyLimit(e.owned) {
		s.heldBack[heldByJob]++
		return
	}
	u, ok := s.pickEngine(g.jobScope(&e.record, service), c)
	if !ok {
		return
	}
	c.Job.Start(c.Item)
	g.metrics.itemWait.Update(s.now.Sub(c.Item.NotBefore).Seconds())
	e.owned.runs[c.Item] = &itemRun{upstream: u, started: s.now}
	slot, o := g.acquire(u, s.now), e.owned
	g.workWG.Go(func() { o.recoverPanic("item", func() { o.runItem(c.Item, slot) }) })
}

func (s *schedulePass) concurrencyLimit(o *ownedJob) int {
	limit, ok := s.limits[o]
	if !ok {
		limit = o.job.Concurrency()
		s.limits[o] = limit
	}
	return limit
}

// pickEngine returns the engine for an item, if one has room.
func (s *schedulePass) pickEngine(scope sendScope, c batch.Candidate) (upstreams.Entry, bool) {
	req := s.g.requirementsOf(c.Job, c.Item)
	key := placementKey{selectorKey: selectorKey{sendScope: scope, model: c.Job.Spec.Model}, minVersion: req.MinVersion, long: req.Long}
	if s.noRoom[key] {
		s.waiting[key]++
		s.heldBack[heldByEngines]++
		return upstreams.Entry{}, false
	}
	id, ok := s.selector(key.selectorKey).Pick(req)
	if !ok {
		s.waiting[key]++
		s.noRoom[key] = s.selector(key.selectorKey).Full(req)
		if s.noRoom[key] {
			s.heldBack[heldByEngines]++
		} else {
			s.heldBack[heldByMemory]++
		}
		return upstreams.Entry{}, false
	}
	s.wantEngines(key)
	return s.g.upstreams.Get(id)
}

// wantEngines counts a text that starts as demand for the engines that could make it.
func (s *schedulePass) wantEngines(key placementKey) {
	s.g.limits.WantService(key.service, true, s.now)
	if s.g.limits.Len() == 0 {
		return
	}
	suitable := s.suitable(key)
	for _, u := range suitable {
		s.g.limits.Want(u, 1/float64(len(suitable)), true, s.now)
	}
}

// suitable returns the engines that serve the model and version of a text, whether they have room or not.
func (s *schedulePass) suitable(key placementKey) []upstreams.Entry {
	var list []upstreams.Entry
	for _, u := range s.g.candidates(key.sendScope) {
		if version, serves := u.Versions[key.model]; (serves || key.model == "") && version >= key.minVersion {
			list = append(list, u)
		}
	}
	return list
}

// waitingByEngine returns the number of items that found no engine, by each engine that could serve them; an item counts in
// equal parts for all of these.
func (s *schedulePass) waitingByEngine() map[string]float64 {
	if s.g.limits.Len() == 0 {
		return nil
	}
	waiting := map[string]float64{}
	for key, n := range s.waiting {
		suitable := s.suitable(key)
		for _, u := range suitable {
			waiting[u.ID] += float64(n) / float64(len(suitable))
		}
	}
	return waiting
}

// suspectedSlow returns the number of engines that were slow when last observed and are tried with one text.
func (s *schedulePass) suspectedSlow() int {
	ids := map[string]bool{}
	for _, selector := range s.selectors {
		for _, id := range selector.SuspectedSlow() {
			ids[id] = true
		}
	}
	return len(ids)
}

func (s *schedulePass) selector(key selectorKey) *placement.Selector {
	selector, ok := s.selectors[key]
	if !ok {
		selector = s.g.newSelector(key, s.now)
		s.selectors[key] = selector
	}
	return selector
}

// requirementsOf returns what an item requires of an engine. Long texts, and those that may come again in a later
// job, should be generated by the newest weights. The caller holds g.mu.
func (g *Gateway) requirementsOf(job *batch.Job, p *batch.Progress) placement.Requirements {
	req := placement.Requirements{
		MinVersion: job.Spec.MinVersion, Avoid: p.Avoid, Long: p.RemainingTokens() >= longTokens,
		Run: placementRun(p),
	}
	if req.Long || job.Optional(p) {
		req.Newest = g.latestVersions[job.Spec.Model]
	}
	return req
}

// newSelector returns a selector over the engines of a service that serve a model. The caller holds g.mu.
func (g *Gateway) newSelector(key selectorKey, now time.Time) *placement.Selector {
	ready := g.candidates(key.sendScope)
	runs := g.runsByUpstream()
	engines := make([]placement.Engine, 0, len(ready))
	for _, e := range ready {
		version, serves := e.Versions[key.model]
		if key.model != "" && !serves {
			continue
		}
		h := g.healthOf(e.ID)
		own := g.inFlight[e.ID]
		peerRequests, peerTokens := g.loadOfPeers(e.ID)
		engines = append(engines, placement.Engine{
			ID: e.ID, Slots: g.usableEngineSlots(e, now), OwnRequests: own, OtherRequests: peerRequests, Connections: g.openConnections(e.ID, now),
			Distance: g.distanceTo(e), Version: version, Pace: h.Pace(now), LastPace: h.LastPace(), PaceAge: h.PaceAge(now),
			MemoryTokens: g.engineMemory(e, now), Runs: runs[e.ID], OtherTokens: peerTokens,
			Limited: g.limits.Limited(e, now), SendsLeft: g.limits.Allowed(e, now), ProbesLeft: h.Allowance(now),
			Excluded: h.IsBusy(key.model, now),
		})
	}
	return placement.NewSelector(engines)
}

// placementRun returns what a text occupies and is expected to add in the memory of its engine.
func placementRun(p *batch.Progress) placement.Run {
	return placement.Run{Held: p.HeldTokens(), Remaining: p.GrowthTokens()}
}

// runsByUpstream returns the texts that run for this process, by upstream ID. The caller holds g.mu.
func (g *Gateway) runsByUpstream() map[string][]placement.Run {
	runs := map[string][]placement.Run{}
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			runs[run.upstream.ID] = append(runs[run.upstream.ID], placementRun(p))
		}
	}
	return runs
}
