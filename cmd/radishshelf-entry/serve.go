package main

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/connguard"
	"github.com/radishshelf/radishshelf/entry"
	"github.com/radishshelf/radishshelf/entry/peer"
	"github.com/radishshelf/radishshelf/fleetauth"
	"github.com/radishshelf/radishshelf/idempotency"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/membership"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
	"github.com/radishshelf/radishshelf/usagestore"
)

const (
	// configPollInterval is the time between two checks for the first configuration.
	configPollInterval = 50 * time.Millisecond
	// stopTimeout bounds the last usage flush and the shutdown of each port other than the caller port, whose requests
	// are never cut off.
	stopTimeout = 5 * time.Second
	// minWarmUpTime lets every agent send a heartbeat, at one per second, before a restarted entry accepts requests;
	// maxWarmUpTime ends the wait in a fleet without upstreams.
	minWarmUpTime = 1200 * time.Millisecond
	maxWarmUpTime = 4 * time.Second
)

var errWarmingUp = errors.New("the entry has not received heartbeats from the upstreams yet")

var errLeaving = errors.New("the entry is shutting down")

// serve runs the entry until ctx ends, then shuts it down gracefully.
func (p *process) serve(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	servers, err := p.servers()
	if err != nil {
		p.listeners.close()
		return err
	}
	serveErrs := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serveErrs <- s.run() }()
	}
	var loops sync.WaitGroup
	flush, err := p.startLoops(background, &loops)
	if err != nil {
		return err
	}
	p.log.Info().Str("caller", p.listeners.caller.Addr().String()).Str("peer", p.listeners.peer.Addr().String()).
		Str("status", p.listeners.status.Addr().String()).Str("incarnation", p.incarnation).Msg("entry serving")
	select {
	case err := <-serveErrs:
		return err
	case <-ctx.Done():
	}
	p.shutDown(servers, flush)
	stop()
	loops.Wait()
	p.entry.Close()
	p.log.Info().Msg("entry stopped")
	return nil
}

// shutDown withdraws readiness first, then drains requests and usage records before it closes the ports.
func (p *process) shutDown(servers []server, flush func(context.Context) error) {
	p.log.Info().Dur("readiness_delay_ms", p.settings.ReadinessDelay.D()).Msg("entry leaving")
	p.leaving.Store(true)
	p.syncer.SetLeaving()
	time.Sleep(p.settings.ReadinessDelay.D())
	p.entry.Drain(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := flush(ctx); err != nil {
		p.log.Warn().Err(err).Msg("cannot flush the recovered usage records")
	}
	for _, s := range servers {
		s.stop(s.drainFully)
	}
}

func (p *process) ready() error {
	if p.leaving.Load() {
		return errLeaving
	}
	if !p.warmedUp() {
		return errWarmingUp
	}
	return p.syncer.Ready()
}

// warmedUp reports whether the entry has received heartbeats from upstreams, or has waited long enough for them.
func (p *process) warmedUp() bool {
	now := time.Now()
	if now.Sub(p.startedAt) >= maxWarmUpTime {
		return true
	}
	for _, u := range p.fleet.Upstreams(now) {
		if u.Status == membership.Live {
			return now.Sub(p.startedAt) >= minWarmUpTime
		}
	}
	return false
}

// startLoops starts the background loops, which end with ctx. flush writes the remaining usage records.
func (p *process) startLoops(ctx context.Context, loops *sync.WaitGroup) (flush func(context.Context) error, err error) {
	orders, err := p.newOrders()
	if err != nil {
		return nil, err
	}
	rollouts, err := p.newRollouts()
	if err != nil {
		return nil, err
	}
	run := func(name string, f func(context.Context) error) {
		loops.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				p.log.Error().Err(err).Str("part", name).Msg("background loop failed")
			}
		})
	}
	runNoError := func(name string, f func(context.Context)) {
		run(name, func(ctx context.Context) error {
			f(ctx)
			return nil
		})
	}
	run("configuration", p.syncer.Run)
	run("roles", p.roles.Run)
	run("orders", orders.Run)
	run("rollouts", rollouts.Run)
	runNoError("requests", p.entry.Run)
	runNoError("groups", p.lots.Run)
	runNoError("hosts", p.watchHosts)
	runNoError("quota", func(ctx context.Context) { p.shares.Run(ctx, p.quotaGranter) })
	runNoError("usage records", func(ctx context.Context) { p.fleet.WatchUsage(ctx, p.retainer) })
	runNoError("usage", p.runUsage)
	runNoError("old claims", func(ctx context.Context) {
		idempotency.NewSweeper(p.services.Table, time.Now).Run(ctx, func() bool { return p.rank("claims") == 0 })
	})
	return p.flushUsage, nil
}

// runUsage starts the usage loops once the configuration, which sets the window, is known.
func (p *process) runUsage(ctx context.Context) {
	for p.syncer.Ready() != nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(configPollInterval):
		}
	}
	var loops sync.WaitGroup
	loops.Go(func() { p.newReporter().Run(ctx) })
	loops.Go(func() { p.newFlusher().Run(ctx) })
	loops.Wait()
}

func (p *process) window() usage.Window {
	return usage.Window{Length: time.Duration(p.syncer.View().Defaults().UsageWindowSeconds) * time.Second}
}

func (p *process) newFlusher() *usagestore.Flusher {
	writer := usagestore.NewWriter(p.services.Table, p.window, time.Now)
	return usagestore.NewFlusher("recovery", writer, usagestore.NewRetainerSource(p.retainer), usagestore.FlusherOptions{}, p.log, p.registry)
}

// flushUsage writes the pending recovery batches.
func (p *process) flushUsage(ctx context.Context) error { return p.newFlusher().Flush(ctx) }

// server is one port.
type server struct {
	http     *http.Server
	listener net.Listener
	tls      *tls.Config
	// guard bounds the connections; may be nil. A port with TLS has none.
	guard *connguard.Guard
	// drainFully makes stop wait for the last request without a time limit.
	drainFully bool
}

func (s server) run() error {
	listener := s.listener
	if s.tls != nil {
		listener = tls.NewListener(listener, s.tls)
	}
	if s.guard != nil {
		listener = s.guard.Listener(listener)
	}
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s server) stop(drainFully bool) {
	ctx := context.Background()
	if !drainFully {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, stopTimeout)
		defer cancel()
	}
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}

// servers returns the ports in the order in which they are closed.
func (p *process) servers() ([]server, error) {
	service := peer.NewServer(peer.Options{
		Name: p.settings.Name, Syncer: p.syncer, Members: p.fleet, Roles: p.roleView, Groups: p.lots, Quota: p.quotaServer,
		Usage: p.retainer, Log: p.log, Registry: p.registry,
	})
	operator, err := p.newOperatorServer()
	if err != nil {
		return nil, err
	}
	operatorTLS, err := fleetauth.ServerTLS(p.settings.TLS)
	if err != nil {
		return nil, err
	}
	guard := p.newCallerGuard()
	return []server{
		{http: entry.NewCallerServer(p.entry, p.settings, guard), listener: p.listeners.caller, guard: guard, drainFully: true},
		{http: operator, listener: p.listeners.operator, tls: operatorTLS},
		{http: peer.NewHTTPServer(service, p.credential, p.tls), listener: p.listeners.peer, tls: p.tls},
		{http: telemetry.NewStatusServer(p.registry, p.ready), listener: p.listeners.status},
	}, nil
}

// newCallerGuard returns the guard of the caller port with its metrics.
func (p *process) newCallerGuard() *connguard.Guard {
	closed := p.registry.NewCounter("radishshelf_entry_connections_closed_total")
	log := p.log.Hook(logging.NewLimiter()) // callers decide how often this happens
	g := entry.NewCallerGuard(p.settings, func(reason connguard.Reason) {
		closed.Inc()
		log.Warn().Str("reason", string(reason)).Msg("connection closed")
	})
	p.registry.NewGauge("radishshelf_entry_connections", func() float64 { return float64(g.Count()) })
	return g
}
