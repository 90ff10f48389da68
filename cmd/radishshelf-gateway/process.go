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
	// memoryShare is the part of the host's memory at which the runtime collects garbage harder.
	memoryShare = 0.6
	// bufferShare is the part of the host's memory that answers and bodies in the making may take together.
	bufferShare = 0.25
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
	// outOfRotation is the time after which the platform sends no new connections to a process that is not ready.
	outOfRotation = 2500 * time.Millisecond
	// lastRequests is the part of the grace within which requests in flight may end, and lastCalls the part within which the
	// process has ended. Between them lie the last calls of the store.
	lastRequests = 0.85
	lastCalls    = 0.97
)

// process is the gateway with its listeners.
type process struct {
	path     string
	settings platform.Settings
	log      zerolog.Logger
	gateway  *gateway.Gateway
	rows     *rowrelay.Client
	// stores are the clients of the store, for the process itself and for its peers.
	stores []*platform.Store
	duties *platform.DutyClient
	memory *membudget.Budget
	front  *http.Server
}

func run(path, level, metricsPort string) error {
	signal.Ignore(syscall.SIGHUP) // until the settings are followed; the default would end the process
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(settings.Cores, 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
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
	p := &process{path: path, settings: settings, log: log}
	p.memory = newMemory(registry, log, settings.MemoryBytes)
	p.gateway = p.newGateway(registry)
	return p.serve(registry, metricsPort)
}

// newMemory returns the bound of what answers and bodies in the making take together.
func newMemory(registry *telemetry.Registry, log zerolog.Logger, bytes int64) *membudget.Budget {
	given := registry.NewCounter("radishshelf_gateway_memory_shed_total")
	memory := membudget.New(int64(bufferShare*float64(bytes)), func(bytes int64) {
		given.Inc()
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

// timing returns the bounds that the gateway works with.
func timing(b platform.Bounds) gateway.Timing {
	return gateway.Timing{
		Lease: b.Lease, Grace: b.Grace, UsageWindow: b.UsageWindow, UsageLate: b.UsageLate, BatchLifetime: b.BatchLifetime,
		Settle: b.Settle, CancelApply: b.CancelApply,
	}
}

const (
	// lapseBeats is the number of heartbeats without which the platform removes the entry of an upstream.
	lapseBeats = 3
	// lapseSlack covers the removal itself, the watch and clocks that differ.
	lapseSlack = 2400 * time.Millisecond
)

// suspects returns the bounds of the memory of requests under which upstreams ended. A broken run waits for word of its
// upstream until the entry of one that went silent would have been removed.
func suspects(heartbeat time.Duration) quarantine.LedgerConfig {
	cfg := quarantine.DefaultLedgerConfig()
	cfg.ConfirmTimeout = lapseBeats*heartbeat + lapseSlack
	return cfg
}

// newGateway wires the gateway to the platform.
func (p *process) newGateway(registry *telemetry.Registry) *gateway.Gateway {
	s := p.settings
	store := p.newStore()
	p.duties = platform.NewDutyClient(s.DutyAddress, platform.Dialer(storeDialTimeout))
	peerClient := &http.Client{Transport: &http.Transport{DialContext: platform.Dialer(peerDialTimeout)}}
	var g *gateway.Gateway
	peers := func() []rowrelay.Relay {
		var list []rowrelay.Relay
		for _, address := range g.PeerAddresses() {
			list = append(list, rowrelay.Relay{Name: address, Rows: rowrelay.NewPeer(address, peerClient)})
		}
		return list
	}
	p.rows = rowrelay.New(store, peers)
	g = gateway.New(gateway.Options{
		Host: s.Name, Incarnation: uuid.NewString(), DataCentre: s.DataCentre, RegionOf: s.RegionOf,
		PeerAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), MaxRowBytes: s.StoreRowBytes,
		CPUShare:  s.CPUShare,
		UsageDuty: s.HasUsageDuty(), ScaleDuty: s.HasScaleDuty(),
		Timing: timing(s.Bounds), Rows: p.rows, Codec: platform.Codec{}, Memory: p.memory, Log: p.log,
		Suspects:  suspects(s.HeartbeatInterval),
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
	failed := make(chan error, 1)
	if err := p.listen(registry, metricsPort, failed); err != nil {
		return err
	}
	p.log.Info().Str("data_centre", p.settings.DataCentre).Str("front", p.settings.FrontAddress).Msg("started")
	// The loops outlive ctx: duties and watches go on while the process leaves.
	loops, stopLoops := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.gateway.Run(loops) })
	running.Go(func() { p.followSettings(loops) })
	running.Go(func() { p.rows.Run(loops, gateway.ProbeRange) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		p.log.Error().Err(err).Msg("a listener failed")
	}
	grace := p.settings.Bounds.Grace
	stopping, cancel := context.WithTimeout(context.Background(), share(grace, lastCalls))
	defer cancel()
	p.leave(share(grace, lastRequests))
	stopLoops()
	loopsEnded := make(chan struct{})
	go func() {
		running.Wait()
		close(loopsEnded)
	}()
	select {
	case <-loopsEnded:
	case <-stopping.Done():
	}
	p.gateway.Stop(stopping)
	return err
}

// listen opens every address of the process.
func (p *process) listen(registry *telemetry.Registry, metricsPort string, failed chan<- error) error {
	p.front = &http.Server{
		Handler: platform.NewIngress(p.gateway, p.memory), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	status := telemetry.NewStatusServer(registry, p.gateway.Ready)
	plain := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
	}
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{p.settings.FrontAddress, p.front},
		{p.settings.ReadyAddress, plain(platform.NewReadyHandler(p.gateway))},
		{net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort)), plain(rowrelay.NewHandler(p.newStore(), p.rows.Relaying))},
		{net.JoinHostPort(p.settings.IP, metricsPort), status},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		go func() {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return nil
}

// share returns a part of a time.
func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }

// leave hands jobs over, waits until the platform sends no more connections, and lets the requests in flight end, all within
// a time.
func (p *process) leave(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	started := time.Now()
	p.gateway.Leave()
	time.Sleep(outOfRotation - min(time.Since(started), outOfRotation))
	if err := p.front.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("requests were still in flight at the stop")
	}
}
