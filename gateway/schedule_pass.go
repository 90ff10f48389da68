package gateway

import (
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/placement"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
)

// schedulePass is one look at all waiting items. The caller holds the lock all the while.
type schedulePass struct {
	g      *Gateway
	now    time.Time
	boards map[boardKey]*placement.Board
	// limits bounds the items of a job that run at the same time.
	limits map[*ownedJob]int
	// full holds what found no engine in this pass.
	full map[fullKey]bool
}

// boardKey names the engines that serve a model.
type boardKey struct {
	service, model string
}

// fullKey names texts that find an engine or none alike.
type fullKey struct {
	boardKey
	minVersion int64
	long       bool
}

func newSchedulePass(g *Gateway, now time.Time) *schedulePass {
	return &schedulePass{g: g, now: now, boards: map[boardKey]*placement.Board{}, limits: map[*ownedJob]int{}, full: map[fullKey]bool{}}
}

// start sends one item to the best engine with room.
func (s *schedulePass) start(c batch.Candidate) {
	g := s.g
	e := g.jobs[c.Job.Spec.ID]
	route, ok := g.config.Route(e.record.Host, e.record.PathPrefix)
	if !ok || route.Kind != serving.Rollout {
		return // the configuration dropped the route; the items wait for it to come back
	}
	service, ok := chooseService(route)
	if !ok || len(e.owned.runs) >= s.limit(e.owned) {
		return
	}
	if lifetime := e.record.Lifetime; lifetime > 0 && g.storeClock() > e.record.AcceptedAt+lifetime {
		c.Job.Abandon(c.Item)
		e.owned.signal()
		return
	}
	u, ok := s.engine(service, c)
	if !ok {
		return
	}
	c.Job.Start(c.Item)
	g.metrics.itemWait.Update(s.now.Sub(c.Item.NotBefore).Seconds())
	e.owned.runs[c.Item] = &itemRun{upstream: u, started: s.now}
	g.acquire(u.ID, s.now)
	o := e.owned
	g.workWG.Go(func() { o.guarded("item", func() { o.runItem(c.Item, u) }) })
}

func (s *schedulePass) limit(o *ownedJob) int {
	limit, ok := s.limits[o]
	if !ok {
		limit = o.job.Concurrency()
		s.limits[o] = limit
	}
	return limit
}

// engine picks the engine for an item.
func (s *schedulePass) engine(service string, c batch.Candidate) (upstreams.Entry, bool) {
	want := s.g.wantOf(c.Job, c.Item)
	key := fullKey{boardKey: boardKey{service: service, model: c.Job.Spec.Model}, minVersion: want.MinVersion, long: want.Long}
	if s.full[key] {
		return upstreams.Entry{}, false
	}
	id, ok := s.board(key.boardKey).Pick(want)
	if !ok {
		s.full[key] = s.board(key.boardKey).Crowded(want)
		return upstreams.Entry{}, false
	}
	return s.g.upstreams.Get(id)
}

func (s *schedulePass) board(key boardKey) *placement.Board {
	b, ok := s.boards[key]
	if !ok {
		b = s.g.newBoard(key, s.now)
		s.boards[key] = b
	}
	return b
}

// wantOf returns what an item needs of an engine. Long texts, and those that may come again in a later job, should be made
// by the newest weights. The caller holds the lock.
func (g *Gateway) wantOf(job *batch.Job, p *batch.Progress) placement.Want {
	want := placement.Want{
		MinVersion: job.Spec.MinVersion, Avoid: p.Avoid, Long: p.Remaining() >= longTokens,
		Run: runOf(p),
	}
	if want.Long || job.Optional(p) {
		want.Newest = g.latestVersions[job.Spec.Model]
	}
	return want
}

// newBoard returns the engines of a service that serve a model. The caller holds the lock.
func (g *Gateway) newBoard(key boardKey, now time.Time) *placement.Board {
	ready := g.upstreams.Ready(key.service)
	runs := g.runsByEngine()
	engines := make([]placement.Engine, 0, len(ready))
	for _, e := range ready {
		version, serves := e.Versions[key.model]
		if key.model != "" && !serves {
			continue
		}
		h := g.healthOf(e.ID)
		own := g.inFlight[e.ID]
		others, othersTokens := g.loadOfPeers(e.ID)
		engines = append(engines, placement.Engine{
			ID: e.ID, Slots: e.Slots, Own: own, Others: others, Connections: g.openConnections(e.ID, now),
			Distance: g.distanceTo(e), Version: version, Pace: h.Pace(now), LastPace: h.LastPace(),
			Memory: g.engineMemory(e, now), Runs: runs[e.ID], OthersTokens: othersTokens,
			Avoided: h.IsBusy(key.model, now) || !h.Allowed(now, own),
		})
	}
	return placement.NewBoard(engines)
}

// runOf is a text as it stands.
func runOf(p *batch.Progress) placement.Run {
	return placement.Run{Held: p.Held(), Remaining: p.Remaining()}
}

// runsByEngine returns the running texts of this process. The caller holds the lock.
func (g *Gateway) runsByEngine() map[string][]placement.Run {
	runs := map[string][]placement.Run{}
	for _, e := range g.jobs {
		if e.owned == nil {
			continue
		}
		for p, run := range e.owned.runs {
			runs[run.upstream.ID] = append(runs[run.upstream.ID], runOf(p))
		}
	}
	return runs
}
