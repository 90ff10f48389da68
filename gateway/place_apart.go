package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreams"
)

// isolationWaitShare is the part of the target latency for which a request waits for an upstream at which no other request runs
// that may end it.
const isolationWaitShare = 0.5

// chooseUpstream picks the upstream of the next send. Requests under which an upstream has ended are kept apart, so that one that ends
// its upstreams does not make the others look like it.
func (f *plainRequest) chooseUpstream(ctx context.Context) (upstreams.Entry, bool) {
	if f.action == quarantine.Run {
		u, ok, _ := f.reserveUpstream(false)
		return u, ok
	}
	until := f.request.Received.Add(time.Duration(isolationWaitShare * float64(f.auth.route.TargetLatency)))
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

// reserveUpstream picks an upstream that was not tried yet and counts the request there. With apart it leaves out those at which a
// request runs that may end them; kept tells that there are such.
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

// releaseIsolated takes the end of a run that was kept apart.
func (g *Gateway) releaseIsolated(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.isolated[upstream]--; g.suspects.isolated[upstream] <= 0 {
		delete(g.suspects.isolated, upstream)
	}
}
