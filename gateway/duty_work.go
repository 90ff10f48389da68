package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/versionplan"
)

// dutyWork performs the duties while this process holds the lease.
type dutyWork struct {
	g       *Gateway
	planner *versionplan.Planner
	// acceptedOrders holds how many orders each incarnation of an upstream has accepted. An upstream that is
	// missing here is asked before it gets an order.
	acceptedOrders map[upstreams.Incarnation]int64
	reporter       *usageReporter
	scaler         *upstreamScaler
	gc             *jobGC
	mu             sync.Mutex
	calls          sync.WaitGroup
}

func newDutyWork(g *Gateway) *dutyWork {
	return &dutyWork{
		g: g, planner: versionplan.New(versionplan.DefaultConfig()), acceptedOrders: map[upstreams.Incarnation]int64{},
		reporter: newUsageReporter(g), scaler: newUpstreamScaler(g), gc: &jobGC{g: g},
	}
}

// wait returns when no call is in flight.
func (w *dutyWork) wait() { w.calls.Wait() }

// startDueCalls starts the calls that are due. They run concurrently and end shortly after the time to act is over.
func (w *dutyWork) startDueCalls(ctx context.Context) {
	now := time.Now()
	for _, l := range w.dueLoads(now) {
		w.mu.Lock()
		w.planner.Sent(l.load, now)
		w.mu.Unlock()
		if l.known {
			w.start("order", func() { w.sendOrder(ctx, l) })
		} else {
			w.start("look", func() { w.queryOrders(ctx, l) })
		}
	}
	if w.g.opts.UsageDuty && w.reporter.beginIfDue(now) {
		w.start("usage report", func() { w.reporter.run(ctx) })
	}
	if w.gc.beginIfDue(now) {
		w.start("collect", func() { w.gc.run(ctx) })
	}
	if w.g.opts.ScaleDuty && w.scaler.beginIfDue(now) {
		w.start("scale", func() { w.scaler.run(ctx) })
	}
}

// start runs a call concurrently with the others.
func (w *dutyWork) start(operation string, call func()) {
	w.calls.Go(func() { w.g.recoverPanic(operation, call) })
}

// dueLoad is a load of weights to order now.
type dueLoad struct {
	load     versionplan.Load
	entry    upstreams.Entry
	strategy upstreamcall.Strategy
	// known is set if the number of orders that the upstream has accepted is known.
	known bool
}

// dueLoads returns the loads to order now.
func (w *dutyWork) dueLoads(now time.Time) []dueLoad {
	g := w.g
	g.mu.Lock()
	defer g.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.config == nil {
		return nil
	}
	strategy := upstreamcall.Retain
	if g.config.SingleVersion() {
		strategy = upstreamcall.Wait
	}
	var due []dueLoad
	for _, service := range g.config.Services {
		if len(service.Models) == 0 {
			continue
		}
		for _, l := range w.planner.NextLoads(w.plannerView(service.Name), g.modelDemands(service.Models), now) {
			if e, ok := g.upstreams.Get(l.Upstream); ok {
				_, known := w.acceptedOrders[e.Incarnation()]
				due = append(due, dueLoad{load: l, entry: e, strategy: strategy, known: known})
			}
		}
	}
	return due
}

// plannerView returns the upstreams of a service as input for the planner. The caller holds g.mu and w.mu.
func (w *dutyWork) plannerView(service string) []versionplan.Upstream {
	var list []versionplan.Upstream
	for _, e := range w.g.candidates(sendScope{service: service}) {
		peerRequests, _ := w.g.loadOfPeers(e.ID)
		list = append(list, versionplan.Upstream{
			ID: e.ID, DataCentre: e.DataCentre, Usable: w.g.healthOf(e.ID).AnswersControlCalls(), Limited: w.g.limits.NamesLimit(e), Orders: w.acceptedOrders[e.Incarnation()],
			Versions: e.Versions, Running: w.g.inFlight[e.ID] + peerRequests,
		})
	}
	return list
}

// modelDemands returns the versions that each model is needed in. The caller holds g.mu.
func (g *Gateway) modelDemands(models []string) []versionplan.Demand {
	var list []versionplan.Demand
	for _, model := range models {
		d := versionplan.Demand{Model: model, Newest: g.latestVersions[model], WaitsForRunning: g.config.SingleVersion()}
		for _, e := range g.jobs {
			if e.record.Model == model && e.record.Open() && !g.isExpired(e) {
				d.MinVersion = max(d.MinVersion, e.record.MinVersion)
			}
		}
		list = append(list, d)
	}
	return list
}

// sendOrder sends one order and handles its result.
func (w *dutyWork) sendOrder(ctx context.Context, l dueLoad) {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	term, ok := w.g.mayAct()
	if !ok {
		w.withLock(func() { w.planner.Refused(l.load) })
		return
	}
	result, err := w.g.order(ctx, l.entry, upstreamcall.VersionOrder{
		Model: l.load.Model, Version: l.load.Version, Strategy: l.strategy, Holder: w.g.opts.Host, Term: term,
		ExpectedOrders: l.load.ExpectedOrders,
	})
	w.g.metrics.versionOrders(string(result)).Inc()
	w.g.opts.Log.Info().Str("upstream", l.load.Upstream).Str("model", l.load.Model).Int64("version", l.load.Version).
		Int64("term", term).Int64("expected_orders", l.load.ExpectedOrders).Bool("trial", l.load.Trial).Str("answer", string(result)).
		AnErr("error", err).Msg("weight version ordered")
	switch result {
	case upstreamcall.OrderAccepted:
		w.withLock(func() {
			w.acceptedOrders[l.entry.Incarnation()] = l.load.ExpectedOrders + 1
			w.planner.Accepted(l.load, time.Now())
		})
	case upstreamcall.OrderConflict, upstreamcall.OrderHolds:
		w.queryOrders(ctx, l)
	case upstreamcall.OrderUnknown:
		// the order may still be executed; the planner waits before it retries
	default:
		w.withLock(func() { w.planner.Refused(l.load) })
	}
}

// queryOrders asks an upstream how many orders it has accepted, because the next order has to state that number.
func (w *dutyWork) queryOrders(ctx context.Context, l dueLoad) {
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	report, err := w.g.report(ctx, l.entry)
	w.g.opts.Log.Info().Str("upstream", l.load.Upstream).Int64("orders", report.Orders).Bool("loading", report.Loading).
		Interface("versions", report.Versions).AnErr("error", err).Msg("upstream reported its orders")
	if err != nil {
		return // the planner waits before it retries
	}
	w.withLock(func() {
		w.acceptedOrders[l.entry.Incarnation()] = report.Orders
		if !report.Loading && report.Versions[l.load.Model] < l.load.Version {
			w.planner.Refused(l.load)
		}
	})
}

// withLock runs change while w.mu is held.
func (w *dutyWork) withLock(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}
