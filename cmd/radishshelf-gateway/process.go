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

	"github.com/radishshelf/radishshelf/gateway"
	"github.com/radishshelf/radishshelf/logging"
	"github.com/radishshelf/radishshelf/membudget"
	"github.com/radishshelf/radishshelf/platform"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/rowrelay"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/upstreams"
)

const (
	// memoryLimitFraction is the part of the host's memory at which the runtime collects garbage harder.
	memoryLimitFraction = 0.6
	// bufferFraction is the part of the host's memory that answers and bodies in the making may take together.
	bufferFraction = 0.25
	// gcPercent lets the heap grow to several times what is live: memory is cheap next to processor time.
	gcPercent = 400
	// storeDialTimeout and peerDialTimeout are several round trips between regions.
	storeDialTimeout = 500 * time.Millisecond
	peerDialTimeout  = 400 * time.Millisecond
	// defaultHeaderTimeout and defaultIdleTimeout hold until the configuration is read. They are generous, because
	// callers rely on the configured ones.
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// deregistrationDelay is the time after which the platform sends no new connections to a process that is not ready.
	deregistrationDelay = 2500 * time.Millisecond
	// drainFraction is the part of the grace within which requests in flight may end, and lastCalls the part within which the
	// process has ended. Between them lie the last calls of the store.
	drainFraction    = 0.85
	shutdownFraction = 0.97
)

// process is the gateway with its listeners.
type process struct {
	settingsPath string
	settings     platform.Settings
	log          zerolog.Logger
	gateway      *gateway.Gateway
	rows         *rowrelay.Client
	// stores are the clients of the store, for the process itself and for its peers.
	stores      []*platform.Store
	duties      *platform.DutyClient
	memory      *membudget.Budget
	frontServer *http.Server
}

func run(path, level, metricsPort string) error {
	signal.Ignore(syscall.SIGHUP) // until the settings are followed; the default would end the process
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
	stdlog.SetOutput(log) // lines of the HTTP library
	registry := telemetry.NewRegistry()
	registry.NewGauge("radishshelf_gateway_log_lines_dropped", func() float64 { return float64(out.Dropped()) })
	p := &process{settingsPath: path, settings: settings, log: log}
	p.memory = newMemoryBudget(registry, log, settings.MemoryBytes)
	p.gateway = p.newGateway(registry)
	return p.serve(registry, metricsPort)
}

// newMemoryBudget returns the bound of what answers and bodies in the making take together.
func newMemoryBudget(registry *telemetry.Registry, log zerolog.Logger, bytes int64) *membudget.Budget {
	shed := registry.NewCounter("radishshelf_gateway_memory_shed_total")
	memory := membudget.New(int64(bufferFraction*float64(bytes)), func(bytes int64) {
		shed.Inc()
		log.Warn().Int64("bytes", bytes).Msg("largest answer or body given up, memory for them is short")
	})
	registry.NewGauge("radishshelf_gateway_memory_held_bytes", func() float64 { return float64(memory.Used()) })
	return memory
}

// newStore returns a client of the store that follows changes of the settings.
func (p *process) newStore() *platform.Store {
	store := platform.NewStore(p.settings.StoreAddress, platform.Dialer(storeDialTimeout))
	p.stores = append(p.stores, store)
	return store
}

// newTiming returns the bounds that the gateway works with.
func newTiming(b platform.Bounds) gateway.Timing {
	return gateway.Timing{
		Lease: b.Lease, Grace: b.Grace, UsageWindow: b.UsageWindow, UsageLate: b.UsageLate, BatchLifetime: b.BatchLifetime,
		Settle: b.Settle, CancelApply: b.CancelApply,
	}
}

const (
	// removalHeartbeats is the number of heartbeats without which the platform removes the entry of an upstream.
	removalHeartbeats = 3
	// removalSlack covers the removal itself, the watch and clocks that differ.
	removalSlack = 2400 * time.Millisecond
)

// ledgerConfig returns the bounds of the memory of requests under which upstreams ended. A broken run waits for word of its
// upstream until the entry of one that went silent would have been removed.
func ledgerConfig(heartbeat time.Duration) quarantine.LedgerConfig {
	cfg := quarantine.DefaultLedgerConfig()
	cfg.ConfirmTimeout = removalHeartbeats*heartbeat + removalSlack
	return cfg
}

// newGateway wires the gateway to the platform.
func (p *process) newGateway(registry *telemetry.Registry) *gateway.Gateway {
	s := p.settings
	store := p.newStore()
	p.duties = platform.NewDutyClient(s.DutyAddress, platform.Dialer(storeDialTimeout))
	peerClient := &http.Client{Transport: &http.Transport{DialContext: platform.Dialer(peerDialTimeout)}}
	var g *gateway.Gateway
	listRelays := func() []rowrelay.Relay {
		var list []rowrelay.Relay
		for _, address := range g.PeerAddresses() {
			list = append(list, rowrelay.Relay{Name: address, Rows: rowrelay.NewPeer(address, peerClient)})
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
		Suspects:  ledgerConfig(s.HeartbeatInterval),
		Registry:  registry,
		Upstreams: platform.NewUpstreamClient(platform.UpstreamDialer(), func(u upstreams.Entry) { g.UpstreamLeaving(u) }),
		Duties:    p.duties,
	})
	return g
}

// serve runs until SIGTERM.
func (p *process) serve(registry *telemetry.Registry, metricsPort string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	serveErrs := make(chan error, 1)
	if err := p.listen(registry, metricsPort, serveErrs); err != nil {
		return err
	}
	p.log.Info().Str("data_centre", p.settings.DataCentre).Str("front", p.settings.FrontAddress).Msg("started")
	// The loopCtx outlive ctx: duties and watches go on while the process leaves.
	loopCtx, stopLoops := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { p.gateway.Run(loopCtx) })
	loops.Go(func() { p.watchSettings(loopCtx) })
	loops.Go(func() { p.rows.Run(loopCtx, gateway.ProbeRange) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveErrs:
		p.log.Error().Err(err).Msg("a listener failed")
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

// listen opens every address of the process.
func (p *process) listen(registry *telemetry.Registry, metricsPort string, serveErrs chan<- error) error {
	p.frontServer = &http.Server{
		Handler: platform.NewIngress(p.gateway, p.memory), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	status := telemetry.NewStatusServer(registry, p.gateway.Ready)
	newServer := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
	}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{p.settings.FrontAddress, p.frontServer},
		{p.settings.ReadyAddress, newServer(platform.NewReadyHandler(p.gateway))},
		{net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort)), newServer(rowrelay.NewHandler(p.newStore(), p.rows.Relaying))},
		{net.JoinHostPort(p.settings.IP, metricsPort), status},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		go func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- err
			}
		}()
	}
	return nil
}

// scale returns a part of a time.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

// drain hands jobs over, waits until the platform sends no more connections, and lets the requests in flight end, all within
// a time.
func (p *process) drain(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	started := time.Now()
	p.gateway.Leave()
	time.Sleep(deregistrationDelay - min(time.Since(started), deregistrationDelay))
	if err := p.frontServer.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("requests were still in flight at the stop")
	}
}
