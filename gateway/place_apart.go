package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreams"
)

// apartShare is the part of the target latency for which a request waits for an upstream at which no other request runs
// that may end it.
const apartShare = 0.5

// place picks the upstream of the next send. Requests under which an upstream has ended are kept apart, so that one that ends
// its upstreams does not make the others look like it.
func (f *forwarding) place(ctx context.Context) (upstreams.Entry, bool) {
	if f.action == quarantine.Run {
		return f.choose(nil)
	}
	until := f.request.Received.Add(time.Duration(apartShare * float64(f.target.route.TargetLatency)))
	for {
		f.g.mu.Lock()
		taken := maps.Clone(f.g.suspects.apart)
		f.g.mu.Unlock()
		u, ok := f.choose(taken)
		if ok || len(taken) == 0 {
			return u, ok
		}
		if f.pending > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			return f.choose(nil)
		}
		sleep(ctx, busyPause)
	}
}

// choose picks an upstream that was not tried yet and is not taken, and counts the request there.
func (f *forwarding) choose(taken map[string]int) (upstreams.Entry, bool) {
	now := time.Now()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	exclude := maps.Clone(f.tried)
	maps.Copy(exclude, f.refused)
	for id := range taken {
		exclude[id] = true
	}
	u, ok := f.g.choosePlain(f.service, exclude, false, now)
	if ok {
		f.g.acquire(u.ID, now)
		if f.action != quarantine.Run {
			f.g.suspects.apart[u.ID]++
		}
	}
	return u, ok
}

// leaveApart takes the end of a run that was kept apart.
func (g *Gateway) leaveApart(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.apart[upstream]--; g.suspects.apart[upstream] <= 0 {
		delete(g.suspects.apart, upstream)
	}
}
