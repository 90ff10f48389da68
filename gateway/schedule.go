package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/serving"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// scheduleInterval is how often waiting items are looked at when nothing else wakes the scheduler.
	scheduleInterval = 50 * time.Millisecond
	// firstMeanItem is taken for the time of a run until runs were seen, and meanItemWeight is the weight of the newest.
	firstMeanItem  = 900 * time.Millisecond
	meanItemWeight = 0.02
)

// scheduleLoop sends waiting items to upstreams until ctx ends.
func (g *Gateway) scheduleLoop(ctx context.Context) {
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.kick:
		case <-ticker.C:
		}
		g.schedule(time.Now())
	}
}

// schedule starts every waiting item for which there is room.
func (g *Gateway) schedule(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving || g.config == nil {
		return
	}
	candidates := g.waiting(now)
	if len(candidates) == 0 {
		return
	}
	batch.Order(candidates)
	full := map[roomKey]bool{}
	for _, c := range candidates {
		g.startItem(c, full, now)
	}
}

// roomKey names upstreams that are equal for the purpose of room.
type roomKey struct {
	service, model string
	minVersion     int64
	// newest asks for the newest weights where there is a choice: the text may come again in a later job, which needs them.
	newest bool
}

// waiting returns the items that may start. The caller holds the lock.
func (g *Gateway) waiting(now time.Time) []batch.Candidate {
	var list []batch.Candidate
	for _, e := range g.jobs {
		if e.owned == nil || e.owned.held || e.record.Ended {
			continue
		}
		for _, p := range e.owned.job.Waiting(now) {
			list = append(list, batch.Candidate{Job: e.owned.job, Item: p})
		}
	}
	return list
}

// startItem sends one item to the best upstream with room. The caller holds the lock.
func (g *Gateway) startItem(c batch.Candidate, full map[roomKey]bool, now time.Time) {
	e := g.jobs[c.Job.Spec.ID]
	route, ok := g.config.Route(e.record.Host, e.record.PathPrefix)
	if !ok || route.Kind != serving.Rollout {
		return // the configuration dropped the route; the items wait for it to come back
	}
	service, ok := chooseService(route)
	key := roomKey{service: service, model: c.Job.Spec.Model, minVersion: c.Job.Spec.MinVersion}
	if !ok || full[key] || len(e.owned.runs) >= e.owned.concurrency {
		return
	}
	if lifetime := e.record.Lifetime; lifetime > 0 && g.storeClock() > e.record.AcceptedAt+lifetime {
		c.Job.Abandon(c.Item)
		e.owned.signal()
		return
	}
	key.newest = c.Job.Optional(c.Item) || c.Item.Remaining() >= longTokens
	u, ok := g.chooseEngine(key, c.Item.Avoid, now)
	key.newest = false
	if !ok {
		full[key] = true
		return
	}
	c.Job.Start(c.Item)
	g.met.itemWait.Update(now.Sub(c.Item.NotBefore).Seconds())
	e.owned.runs[c.Item] = &itemRun{upstream: u, started: now}
	g.acquire(u.ID, now)
	o := e.owned
	g.ownedWG.Go(func() { o.runItem(c.Item, u) })
}

// Costs of an engine, in units of the time that a text takes on the fastest one.
const (
	// crowdCost is how much slower an engine is with all slots in use: a step takes about 24 % longer.
	crowdCost = 0.3
	// engineConnectionCost is for a send that needs a new connection.
	engineConnectionCost = 0.06
	// oldVersionCost is for a text that should be made by the newest weights.
	oldVersionCost = 0.12
	// farCost and remoteCost are for engines in another data centre and in another region. They are small, because only
	// the volume of the text counts, not the round trip.
	farCost    = 0.04
	remoteCost = 0.08
)

// engineScore is the expected time of a text at an engine. The caller holds the lock.
func (g *Gateway) engineScore(e upstreams.Entry, now time.Time) float64 {
	utilisation := float64(g.inFlight[e.ID]+g.othersLoad[e.ID]+1) / float64(max(e.Slots, 1))
	score := g.slowness(e, now) + crowdCost*utilisation + rand.Float64()*tieBreak
	if !g.isWarm(e.ID, now) {
		score += engineConnectionCost
	}
	switch {
	case e.DataCentre == g.opts.DataCentre:
		return score
	case g.region(e.DataCentre) == g.region(g.opts.DataCentre):
		return score + farCost
	default:
		return score + remoteCost
	}
}

// chooseEngine picks the upstream for an item. The caller holds the lock.
func (g *Gateway) chooseEngine(key roomKey, avoid string, now time.Time) (upstreams.Entry, bool) {
	var best upstreams.Entry
	bestScore, found := 0.0, false
	for _, e := range g.upstreams.Ready(key.service) {
		version, serves := e.Versions[key.model]
		h := g.healthOf(e.ID)
		if key.model != "" && (!serves || version < key.minVersion) || h.IsBusy(key.model, now) ||
			!h.Allowed(now, g.inFlight[e.ID]) || g.inFlight[e.ID] >= g.room(e) {
			continue
		}
		score := g.engineScore(e, now)
		if e.ID == avoid {
			score += suspectCost
		}
		if key.newest && version < g.named[key.model] {
			score += oldVersionCost
		}
		if !found || score < bestScore {
			best, bestScore, found = e, score, true
		}
	}
	return best, found
}

// minRoom is the number of items that a process may send to an upstream however full the others report it to be: their
// reports are up to a second old.
const minRoom = 2

// room is how many requests this process may have in flight at an upstream. The caller holds the lock.
func (g *Gateway) room(e upstreams.Entry) int {
	return max(e.Slots-g.othersLoad[e.ID], min(minRoom, e.Slots))
}
