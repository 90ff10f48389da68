package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
	"github.com/radishshelf/radishshelf/versionplan"
)

// dutyWork is what the holder of the duties does.
type dutyWork struct {
	g       *Gateway
	planner *versionplan.Planner
	// orders holds how many orders each incarnation of an upstream has accepted; an upstream that is not in it is asked
	// before it gets its first order.
	orders  map[incarnation]int64
	usage   *usageReporter
	scaling *scaleOrders
	collect *collector
	mu      sync.Mutex
	calls   sync.WaitGroup
}

// incarnation names one start of an upstream.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(e upstreams.Entry) incarnation { return incarnation{id: e.ID, born: e.Born} }

func newDutyWork(g *Gateway) *dutyWork {
	return &dutyWork{
		g: g, planner: versionplan.New(versionplan.DefaultConfig()), orders: map[incarnation]int64{},
		usage: newUsageReporter(g), scaling: newScaleOrders(g), collect: &collector{g: g},
	}
}

// wait returns when no call is on its way.
func (w *dutyWork) wait() { w.calls.Wait() }

// round starts the calls that are due. They run beside each other and end before the time to act is over for long.
func (w *dutyWork) round(ctx context.Context) {
	now := time.Now()
	for _, l := range w.dueLoads(now) {
		w.mu.Lock()
		w.planner.Sent(l.load, now)
		w.mu.Unlock()
		if l.known {
			w.start("order", func() { w.order(ctx, l) })
		} else {
			w.start("look", func() { w.look(ctx, l) })
		}
	}
	if w.g.opts.UsageDuty && w.usage.begin(now) {
		w.start("usage report", func() { w.usage.run(ctx) })
	}
	if w.collect.begin(now) {
		w.start("collect", func() { w.collect.run(ctx) })
	}
	if w.g.opts.ScaleDuty && w.scaling.begin(now) {
		w.start("scale", func() { w.scaling.run(ctx) })
	}
}

// start makes a call beside the others.
func (w *dutyWork) start(what string, call func()) {
	w.calls.Go(func() { w.g.recoverPanic(what, call) })
}

type dueLoad struct {
	load     versionplan.Load
	entry    upstreams.Entry
	strategy upstreamcall.Strategy
	// known tells that the number of orders that the upstream accepted is known.
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
		for _, l := range w.planner.Next(w.view(service.Name), g.demands(service.Models), now) {
			if e, ok := g.upstreams.Get(l.Upstream); ok {
				_, known := w.orders[incarnationOf(e)]
				due = append(due, dueLoad{load: l, entry: e, strategy: strategy, known: known})
			}
		}
	}
	return due
}

// view returns the upstreams of a service as the planner sees them. The caller holds both locks.
func (w *dutyWork) view(service string) []versionplan.Upstream {
	var list []versionplan.Upstream
	for _, e := range w.g.upstreams.Ready(service) {
		others, _ := w.g.loadOfPeers(e.ID)
		list = append(list, versionplan.Upstream{
			ID: e.ID, DataCentre: e.DataCentre, Usable: !w.g.healthOf(e.ID).Suspect(), Orders: w.orders[incarnationOf(e)],
			Versions: e.Versions, Running: w.g.inFlight[e.ID] + others,
		})
	}
	return list
}

// demands returns what is wanted of each model. The caller holds the lock.
func (g *Gateway) demands(models []string) []versionplan.Demand {
	var list []versionplan.Demand
	for _, model := range models {
		d := versionplan.Demand{Model: model, Newest: g.latestVersions[model], Waits: g.config.SingleVersion()}
		for _, e := range g.jobs {
			if e.record.Model == model && e.record.Open() && !g.expired(e) {
				d.Oldest = max(d.Oldest, e.record.MinVersion)
			}
		}
		list = append(list, d)
	}
	return list
}

// order sends one order and takes its answer.
func (w *dutyWork) order(ctx context.Context, l dueLoad) {
	ctx, cancel := context.WithTimeout(ctx, maxDutyCall)
	defer cancel()
	term, ok := w.g.mayAct()
	if !ok {
		w.settle(func() { w.planner.Refused(l.load) })
		return
	}
	answer, err := w.g.opts.Upstreams.Order(ctx, l.entry, upstreamcall.VersionOrder{
		Model: l.load.Model, Version: l.load.Version, Strategy: l.strategy, Holder: w.g.opts.Host, Term: term,
		ExpectedOrders: l.load.ExpectedOrders,
	})
	w.g.metrics.versionOrders(string(answer)).Inc()
	w.g.opts.Log.Info().Str("upstream", l.load.Upstream).Str("model", l.load.Model).Int64("version", l.load.Version).
		Int64("term", term).Int64("expected_orders", l.load.ExpectedOrders).Str("answer", string(answer)).
		AnErr("error", err).Msg("version ordered")
	switch answer {
	case upstreamcall.OrderAccepted:
		w.settle(func() {
			w.orders[incarnationOf(l.entry)] = l.load.ExpectedOrders + 1
			w.planner.Accepted(l.load, time.Now())
		})
	case upstreamcall.OrderConflict, upstreamcall.OrderHolds:
		w.look(ctx, l)
	case upstreamcall.OrderUnknown:
		// the order may still be carried out; the planner waits before it asks again
	default:
		w.settle(func() { w.planner.Refused(l.load) })
	}
}

// look asks an upstream how many orders it has accepted, so that the next order can name the number.
func (w *dutyWork) look(ctx context.Context, l dueLoad) {
	ctx, cancel := context.WithTimeout(ctx, maxDutyCall)
	defer cancel()
	report, err := w.g.opts.Upstreams.Report(ctx, l.entry)
	w.g.opts.Log.Info().Str("upstream", l.load.Upstream).Int64("orders", report.Orders).Bool("loading", report.Loading).
		Interface("versions", report.Versions).AnErr("error", err).Msg("upstream reported")
	if err != nil {
		return // the planner waits before it asks again
	}
	w.settle(func() {
		w.orders[incarnationOf(l.entry)] = report.Orders
		if !report.Loading && report.Versions[l.load.Model] < l.load.Version {
			w.planner.Refused(l.load)
		}
	})
}

func (w *dutyWork) settle(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}
