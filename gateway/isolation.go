package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/radishshelf/radishshelf/admission"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreams"
)

// isolationWaitFraction is the fraction of the target latency for which a crash suspect waits for an upstream that runs
// no other suspect.
const isolationWaitFraction = 0.5

// isolationTurn is the time between two turns on an upstream. It covers the usual run of a plain request and a round trip
// between data centres.
const isolationTurn = 40 * time.Millisecond

// isolationScope is the set of upstreams among which a crash suspect chooses.
type isolationScope int

const (
	// anyUpstream allows also those that run another suspect of this process.
	anyUpstream isolationScope = iota
	// withoutSuspects leaves out the upstreams that run another suspect of this process.
	withoutSuspects
	// ownSlot leaves out, in addition, the upstreams on which other processes isolate their suspects.
	ownSlot
)

// chooseUpstream picks the upstream of the next send. Crash suspects are isolated from each other: otherwise a request
// that crashes its upstreams would make the requests beside it look like the cause.
func (f *plainRequest) chooseUpstream(ctx context.Context) (reservedSlot, error) {
	if f.action == quarantine.Run {
		return f.g.reserve(ctx, f.limitTurn(), f.pending == 0)
	}
	if slot, ok := f.chooseIsolated(ctx); ok {
		return slot, nil
	}
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return reservedSlot{}, f.g.refusalIn(f.scope())
}

// limitTurn describes the request to the queues for limited upstreams.
func (f *plainRequest) limitTurn() limitTurn {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return limitTurn{
		request: f.request.ID, scope: f.scope(),
		item: admission.Item{Workspace: f.auth.workspaceName(), Rank: f.auth.priority(), Deadline: f.latestStart()},
		choose: func(inTurn bool, now time.Time) (upstreams.Entry, bool, bool) {
			exclude := maps.Clone(f.tried)
			maps.Copy(exclude, f.refused)
			return f.g.choosePlain(plainChoice{scope: f.scope(), tried: exclude, inTurn: inTurn}, now)
		},
	}
}

// latestStart returns until when the request may wait for a limit, so that most of its time is left for the upstream.
func (f *plainRequest) latestStart() time.Time {
	now := time.Now()
	return now.Add(time.Duration(admission.DefaultMaxWaitShare * float64(f.deadline.Sub(now))))
}

// chooseIsolated picks the upstream of a crash suspect.
func (f *plainRequest) chooseIsolated(ctx context.Context) (reservedSlot, bool) {
	until := f.isolationEnd()
	if f.pending == 0 {
		sleep(ctx, time.Until(f.slotStart))
	}
	for {
		slot, ok, occupied := f.reserveUpstream(ownSlot)
		if !ok && !occupied {
			slot, ok, occupied = f.reserveUpstream(withoutSuspects)
		}
		if ok || !occupied {
			return slot, ok
		}
		if f.pending > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			slot, ok, _ = f.reserveUpstream(anyUpstream)
			return slot, ok
		}
		sleep(ctx, busyRetryDelay)
	}
}

// isolationEnd returns until when a crash suspect waits for an upstream that runs no other suspect.
func (f *plainRequest) isolationEnd() time.Time {
	return f.request.Received.Add(time.Duration(isolationWaitFraction * float64(f.auth.route.TargetLatency)))
}

// isolate makes the request a crash suspect after a run at an upstream that may have ended. It selects the upstreams and the
// time of the next run, apart from the requests of other processes that ran there.
func (f *plainRequest) isolate(ended upstreams.Entry) {
	if f.action != quarantine.Run {
		return
	}
	f.action = quarantine.RunAlone
	now := time.Now()
	f.slot = f.g.isolationSlot(ended)
	turns := 1 + max(f.isolationEnd().Sub(now), 0)/isolationTurn
	f.slotStart = now.Add(time.Duration(f.slot.Turn) % turns * isolationTurn)
	f.g.opts.Log.Info().Str("request", f.request.ID).Str("ended", ended.ID).Strs("upstreams", f.slot.Upstreams).
		Int("turn", f.slot.Turn).Msg("request isolated after a broken run")
}

// isolationSlot returns where and when this process reruns requests that ran at an upstream which may have ended.
func (g *Gateway) isolationSlot(ended upstreams.Entry) quarantine.IsolationSlot {
	g.mu.Lock()
	defer g.mu.Unlock()
	processes := []string{g.opts.Host}
	for _, peer := range g.peers.Live() {
		if peer.Host != g.opts.Host {
			processes = append(processes, peer.Host)
		}
	}
	var remaining []string
	for _, u := range g.candidates(sendScope{service: ended.Service}) {
		if u.ID != ended.ID {
			remaining = append(remaining, u.ID)
		}
	}
	return quarantine.NewIsolationSlot(endOf(ended), g.opts.Host, processes, remaining)
}

// reserveUpstream picks an upstream in scope that was not tried yet and counts the request there. occupied reports
// whether upstreams were left out because they run a crash suspect.
func (f *plainRequest) reserveUpstream(scope isolationScope) (slot reservedSlot, ok, occupied bool) {
	now := time.Now()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	exclude := maps.Clone(f.tried)
	maps.Copy(exclude, f.refused)
	if scope != anyUpstream {
		occupied = f.excludeIsolated(exclude, scope)
	}
	u, ok, _ := f.g.choosePlain(plainChoice{scope: f.scope(), tried: exclude}, now)
	if ok {
		slot = f.g.acquire(u, now)
		if f.action != quarantine.Run {
			f.g.suspects.isolated[u.ID]++
		}
	}
	return slot, ok, occupied
}

// excludeIsolated excludes the upstreams that are out of scope. It reports whether there are upstreams in scope that run a
// crash suspect. The caller holds g.mu.
func (f *plainRequest) excludeIsolated(exclude map[string]bool, scope isolationScope) (occupied bool) {
	for _, u := range f.g.candidates(f.scope()) {
		switch {
		case exclude[u.ID]:
		case scope == ownSlot && len(f.slot.Upstreams) > 0 && !slices.Contains(f.slot.Upstreams, u.ID):
			exclude[u.ID] = true
		case f.g.suspects.isolated[u.ID] > 0:
			exclude[u.ID], occupied = true, true
		}
	}
	return occupied
}

// releaseIsolated counts the end of an isolated run at an upstream.
func (g *Gateway) releaseIsolated(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.isolated[upstream]--; g.suspects.isolated[upstream] <= 0 {
		delete(g.suspects.isolated, upstream)
	}
}
