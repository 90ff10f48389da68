package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// fakeSend is a request, report or order that reached an upstream.
type fakeSend struct {
	host, upstream string
	at             time.Time
}

// setLimit makes an upstream name a limit in its responses from now on; 0 means none.
func (f *fakeUpstreams) setLimit(id string, perSecond float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[id] = perSecond
}

// sendsTo returns the number of sends to an upstream from the given time until before another.
func (f *fakeUpstreams) sendsTo(id string, from, until time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.sends {
		if s.upstream == id && !s.at.Before(from) && s.at.Before(until) {
			n++
		}
	}
	return n
}

// mostSends returns the largest number of sends to an upstream within any span of the given length after from.
func (f *fakeUpstreams) mostSends(id string, from time.Time, span time.Duration) int {
	f.mu.Lock()
	var times []time.Time
	for _, s := range f.sends {
		if s.upstream == id && !s.at.Before(from) {
			times = append(times, s.at)
		}
	}
	f.mu.Unlock()
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= span {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// announcingUpstreams are the fake upstreams as one gateway reaches them: their responses name their limits.
type announcingUpstreams struct {
	*fakeUpstreams
	host     string
	announce func(u upstreams.Entry, a upstreamcall.Announcement)
}

// arrive records a send and returns a function that announces what its response says.
func (a *announcingUpstreams) arrive(u upstreams.Entry) (responded func()) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sends = append(a.sends, fakeSend{host: a.host, upstream: u.ID, at: now})
	return func() {
		a.mu.Lock()
		limit := a.limits[u.ID]
		a.mu.Unlock()
		a.announce(u, upstreamcall.Announcement{Limit: limit, RequestedAt: now})
	}
}

func (a *announcingUpstreams) Send(ctx context.Context, r *upstreamcall.Request) (*upstreamcall.Response, error) {
	responded := a.arrive(r.Upstream)
	response, err := a.fakeUpstreams.Send(ctx, r)
	responded()
	return response, err
}

func (a *announcingUpstreams) Order(
	ctx context.Context, u upstreams.Entry, o upstreamcall.VersionOrder,
) (upstreamcall.OrderResult, error) {
	defer a.arrive(u)()
	return a.fakeUpstreams.Order(ctx, u, o)
}

func (a *announcingUpstreams) Report(ctx context.Context, u upstreams.Entry) (upstreamcall.Report, error) {
	defer a.arrive(u)()
	return a.fakeUpstreams.Report(ctx, u)
}

// orderCount returns the number of orders that reached an upstream.
func (f *fakeUpstreams) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}
