package main

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/connguard"
	"github.com/radishshelf/radishshelf/gateway"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/platform"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rowrelay"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// memoryLimitFraction is the fraction of the host's memory that is the runtime's soft memory limit, near which it
	// collects garbage more often.
	memoryLimitFraction = 0.6
	// bufferFraction is the fraction of the host's memory that buffered responses and request bodies may use together, while
	// they are received and until they are passed on. The collector needs room beside them below memoryLimitFraction.
	bufferFraction = 1.0 / 3
	// gcPercent lets the heap grow to several times the live data, because memory is cheaper than CPU time.
	gcPercent = 400
	// storeDialTimeout and peerDialTimeout allow several round trips between regions.
	storeDialTimeout = 500 * time.Millisecond
	peerDialTimeout  = 400 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply until the configuration is read. They are generous, because
	// callers rely on the configured ones.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes and maxHeaderTimeout are the fixed bounds of the server, above any configured limit. The guard applies
	// those in force.
	maxHeaderBytes   = 1 << 20
	maxHeaderTimeout = 60 * time.Second
	// drainFraction is the fraction of the grace period within which requests in flight may finish, and shutdownFraction
	// the one within which the process must have exited. The last store calls happen between the two.
	drainFraction    = 0.85
	shutdownFraction = 0.97
	// finalResponseTime is how long the responses may take to requests that were ended at the end of the drain period.
	finalResponseTime = 400 * time.Millisecond
)

// process holds the parts of one gateway.
type process struct {
	settingsPath string
	settings     platform.Settings
	log          zerolog.Logger
	gateway      *gateway.Gateway
	rows         *rowrelay.Client
	// stores are the store clients: one for this process and one for calls relayed for its peers.
	stores      []*platform.Store
	duties      *platform.DutyClient
	memory      *membudget.Budget
	guards      guards
	frontServer *http.Server
	// requestCtx is the parent of the contexts of all requests of callers; endRequests cancels it.
	requestCtx  context.Context
	endRequests context.CancelCauseFunc
}

func run(path, level, metricsPort string) error {
	signal.Ignore(syscall.SIGHUP) // until watchSettings handles it; the default action ends the process
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(settings.Cores, 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryBytes)))
	out := logging.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, err := logging.New(out, name, level)
	if err != nil {
		return err
	}
	log = log.Hook(logging.NewLimiter()).With().Str("host", settings.Name).Logger()
	stdlog.SetFlags(0)
	stdlog.SetOutput(log) // log lines of net/http
	registry := telemetry.NewRegistry()
	registry.NewGauge("radishshelf_gateway_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	p := &process{settingsPath: path, settings: settings, log: log}
	p.memory = newMemoryBudget(registry, log, settings.MemoryBytes, func() { p.guards.callers.CloseStalled() })
	p.gateway = p.newGateway(registry)
	if p.guards, err = newGuards(registry, log, settings.MemoryBytes, settings.MaxFDs, p.gateway.Limits); err != nil {
		return err
	}
	return p.serve(registry, metricsPort)
}

// newMemoryBudget returns the limit on the total size of buffered responses and request bodies. closeStalled ends the requests
// of callers that do not take their responses; it is called whenever the memory does not suffice.
func newMemoryBudget(registry *telemetry.Registry, log zerolog.Logger, bytes int64, closeStalled func()) *membudget.Budget {
	shed := registry.NewCounter("radishshelf_gateway_memory_shed_total")
	memory := membudget.New(int64(bufferFraction*float64(bytes)), func(bytes int64) {
		shed.Inc()
		log.Warn().Int64("bytes", bytes).Msg("buffer memory is full; gave up a response or body")
		closeStalled()
	})
	registry.NewGauge("radishshelf_gateway_memory_held_bytes", func() float64 { return float64(memory.Used()) })
	return memory
}

// newStore returns a store client whose address follows changes of the settings.
func (p *process) newStore() *platform.Store {
	store := platform.NewStore(p.settings.StoreAddress, platform.Dialer(storeDialTimeout))
	p.stores = append(p.stores, store)
	return store
}

// newTiming returns the platform's time limits in the form that the gateway takes.
func newTiming(b platform.Bounds) gateway.Timing {
	return gateway.Timing{
		Lease: b.Lease, Grace: b.Grace, UsageWindow: b.UsageWindow, UsageLate: b.UsageLate, BatchLifetime: b.BatchLifetime,
		Settle: b.Settle, CancelApply: b.CancelApply, ColdOverrun: b.ColdOverrun, ColdSlack: b.ColdSlack,
	}
}

const (
	// removalHeartbeats is the number of missed heartbeats after which the platform removes the entry of an upstream.
	removalHeartbeats = 3
	// removalSlack covers the removal itself, the watch delay and clock differences.
	removalSlack = 2400 * time.Millisecond
)

// ledgerConfig returns the limits of the quarantine ledger, which records requests that may have crashed an upstream. A
// broken run waits for confirmation of its upstream's end until the entry of a silent one would have been removed.
func ledgerConfig(heartbeat time.Duration) quarantine.LedgerConfig {
	cfg := quarantine.DefaultLedgerConfig()
	cfg.ConfirmTimeout = removalHeartbeats*heartbeat + removalSlack
	return cfg
}

// newGateway builds the gateway with its platform clients.
func (p *process) newGateway(registry *telemetry.Registry) *gateway.Gateway {
	s := p.settings
	store := p.newStore()
	p.duties = platform.NewDutyClient(s.DutyAddress, platform.Dialer(storeDialTimeout))
	peerClient := rowrelay.NewClient(platform.Dialer(peerDialTimeout))
	var g *gateway.Gateway
	listRelays := func() []rowrelay.Relay {
		var list []rowrelay.Relay
		for _, peer := range g.Peers() {
			list = append(list, rowrelay.Relay{Name: peer.Address, Region: peer.Region, Rows: rowrelay.NewPeer(peer.Address, peerClient)})
		}
		return list
	}
	p.rows = rowrelay.New(store, listRelays)
	g = gateway.New(gateway.Options{
		Host: s.Name, Incarnation: uuid.NewString(), DataCentre: s.DataCentre, RegionOf: s.RegionOf,
		PeerAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), MaxRowBytes: s.StoreRowBytes,
		CPUShare:  s.CPUShare,
		UsageDuty: s.HasUsageDuty(), ScaleDuty: s.HasScaleDuty(),
		Timing: newTiming(s.Bounds), Rows: p.rows, Codec: platform.Codec{}, Memory: p.memory, Log: p.log,
		Suspects: ledgerConfig(s.HeartbeatInterval),
		Registry: registry,
		Upstreams: platform.NewUpstreamClient(platform.UpstreamDialer(), func(u upstreams.Entry, a upstreamcall.Announcement) {
			g.UpstreamAnnounced(u, a)
		}),
		Duties: p.duties,
	})
	return g
}

// serve runs the gateway until SIGTERM, SIGINT or a listener failure, then shuts it down within the grace period.
func (p *process) serve(registry *telemetry.Registry, metricsPort string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	serveErrs := make(chan error, 1)
	if err := p.listen(registry, metricsPort, serveErrs); err != nil {
		return err
	}
	p.log.Info().Str("data_centre", p.settings.DataCentre).Str("front", p.settings.FrontAddress).Msg("started")
	// The loops outlive ctx: duties and watches continue while the process drains.
	loopCtx, stopLoops := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { p.gateway.Run(loopCtx) })
	loops.Go(func() { p.watchSettings(loopCtx) })
	loops.Go(func() { p.rows.Run(loopCtx, gateway.ProbeRange) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
		p.log.Error().Err(err).Msg("listener failed")
	}
	grace := p.settings.Bounds.Grace
	stopCtx, cancel := context.WithTimeout(context.Background(), scale(grace, shutdownFraction))
	defer cancel()
	p.drain(scale(grace, drainFraction))
	stopLoops()
	loopsEnded := make(chan struct{})
	go func() {
		loops.Wait()
		close(loopsEnded)
	}()
	select {
	case <-loopsEnded:
	case <-stopCtx.Done():
	}
	p.gateway.Stop(stopCtx)
	return err
}

// listen opens all ports of the process and serves them. Each listener failure is sent to serveErrs.
func (p *process) listen(registry *telemetry.Registry, metricsPort string, serveErrs chan<- error) error {
	p.requestCtx, p.endRequests = context.WithCancelCause(context.Background())
	newServer := func(g *connguard.Guard, h http.Handler) *http.Server {
		return g.Server(&http.Server{
			Handler: h, ReadHeaderTimeout: maxHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		})
	}
	callers, inner := p.guards.callers, p.guards.inner
	p.frontServer = newServer(callers, platform.NewIngress(p.gateway, p.memory))
	p.frontServer.BaseContext = func(net.Listener) context.Context { return p.requestCtx }
	relay := rowrelay.NewHandler(p.newStore(), p.rows.Relaying)
	for _, l := range []struct {
		address string
		guard   *connguard.Guard
		server  *http.Server
	}{
		{p.settings.FrontAddress, callers, p.frontServer},
		{p.settings.ReadyAddress, inner, newServer(inner, platform.NewReadyHandler(p.gateway))},
		{net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort)), inner, newServer(inner, relay)},
		{net.JoinHostPort(p.settings.IP, metricsPort), inner, inner.Server(telemetry.NewStatusServer(registry, p.gateway.Ready))},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		go func() {
			if err := l.server.Serve(l.guard.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- err
			}
		}()
	}
	return nil
}

// scale returns d multiplied by factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// drain hands over the jobs, waits until the platform sends no more connections, and lets requests in flight finish
// within timeout. The rest is ended then, with a response to each.
func (p *process) drain(timeout time.Duration) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	p.gateway.Leave(started.Add(timeout))
	time.Sleep(gateway.DeregistrationDelay - min(time.Since(started), gateway.DeregistrationDelay))
	if p.frontServer.Shutdown(ctx) == nil {
		return
	}
	p.log.Warn().Msg("requests still in flight after the drain timeout")
	p.endRequests(gateway.ErrStopping)
	last, cancelLast := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancelLast()
	if err := p.frontServer.Shutdown(last); err != nil {
		p.log.Warn().Err(err).Msg("connections without a complete request or response at the end")
	}
}
