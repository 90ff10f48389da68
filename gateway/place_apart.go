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
		u, ok, _ := f.choose(false)
		return u, ok
	}
	until := f.request.Received.Add(time.Duration(apartShare * float64(f.target.route.TargetLatency)))
	for {
		u, ok, kept := f.choose(true)
		if ok || !kept {
			return u, ok
		}
		if f.pending > 0 || !time.Now().Before(until) || ctx.Err() != nil {
			u, ok, _ = f.choose(false)
			return u, ok
		}
		sleep(ctx, busyPause)
	}
}

// choose picks an upstream that was not tried yet and counts the request there. With apart it leaves out those at which a
// request runs that may end them; kept tells that there are such.
func (f *forwarding) choose(apart bool) (u upstreams.Entry, ok, kept bool) {
	now := time.Now()
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	exclude := maps.Clone(f.tried)
	maps.Copy(exclude, f.refused)
	if apart {
		for id := range f.g.suspects.apart {
			exclude[id], kept = true, true
		}
	}
	u, ok = f.g.choosePlain(f.service, exclude, false, now)
	if ok {
		f.g.acquire(u.ID, now)
		if f.action != quarantine.Run {
			f.g.suspects.apart[u.ID]++
		}
	}
	return u, ok, kept
}

// leaveApart takes the end of a run that was kept apart.
func (g *Gateway) leaveApart(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.apart[upstream]--; g.suspects.apart[upstream] <= 0 {
		delete(g.suspects.apart, upstream)
	}
}
