package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreams"
)

// isolationWaitFraction is the fraction of the target latency for which a crash suspect waits for an upstream that runs
// no other suspect.
const isolationWaitFraction = 0.5

// chooseUpstream picks the upstream of the next send. Crash suspects are isolated from each other: otherwise a request
// that crashes its upstreams would make the requests beside it look like the cause.
func (f *plainRequest) chooseUpstream(ctx context.Context) (upstreams.Entry, bool) {
	if f.action == quarantine.Run {
		u, ok, _ := f.reserveUpstream(false)
		return u, ok
	}
	until := f.request.Received.Add(time.Duration(isolationWaitFraction * float64(f.auth.route.TargetLatency)))
	for {
		u, ok, occupied := f.reserveUpstream(true)
		if ok || !occupied {
			return u, ok
		}
		if f.pending > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			u, ok, _ = f.reserveUpstream(false)
			return u, ok
		}
		sleep(ctx, busyRetryDelay)
	}
}

// reserveUpstream picks an upstream that was not tried yet and counts the request there. If isolate is set, it leaves
// out the upstreams that run a crash suspect; occupied reports whether there are any.
func (f *plainRequest) reserveUpstream(isolate bool) (u upstreams.Entry, ok, occupied bool) {
	now := time.Now()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	exclude := maps.Clone(f.tried)
	maps.Copy(exclude, f.refused)
	if isolate {
		for id := range f.g.suspects.isolated {
			exclude[id], occupied = true, true
		}
	}
	u, ok = f.g.choosePlain(f.service, exclude, false, now)
	if ok {
		f.g.acquire(u.ID, now)
		if f.action != quarantine.Run {
			f.g.suspects.isolated[u.ID]++
		}
	}
	return u, ok, occupied
}

// releaseIsolated counts the end of an isolated run at an upstream.
func (g *Gateway) releaseIsolated(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.isolated[upstream]--; g.suspects.isolated[upstream] <= 0 {
		delete(g.suspects.isolated, upstream)
	}
}
