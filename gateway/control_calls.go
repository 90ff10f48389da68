package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// report asks an upstream for its state. The request counts against the upstream's limit but does not wait for it: runs and
// orders depend on the answer, and the requests sent after it make up for it. Nothing is
// asked in an evacuated data centre: a run that is silent there then counts as lost.
func (g *Gateway) report(ctx context.Context, u upstreams.Entry) (upstreamcall.Report, error) {
	if g.isEvacuated(u) {
		return upstreamcall.Report{}, errEvacuated
	}
	g.countControlCall(u)
	report, err := g.opts.Upstreams.Report(ctx, u)
	if err == nil {
		g.recordControlAnswer(u)
	}
	return report, err
}

// order sends a version order to an upstream; it counts as a report does.
func (g *Gateway) order(
	ctx context.Context, u upstreams.Entry, o upstreamcall.VersionOrder,
) (upstreamcall.OrderResult, error) {
	if g.isEvacuated(u) {
		return "", errEvacuated
	}
	g.countControlCall(u)
	result, err := g.opts.Upstreams.Order(ctx, u, o)
	if err == nil {
		g.recordControlAnswer(u)
	}
	return result, err
}

func (g *Gateway) countControlCall(u upstreams.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.Sent(u, time.Now())
}

// recordControlAnswer records that an upstream answered a control call.
func (g *Gateway) recordControlAnswer(u upstreams.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.upstreams.Get(u.ID); ok && e.Incarnation() == u.Incarnation() {
		g.healthOf(u.ID).RecordControlAnswer(time.Now())
	}
}
