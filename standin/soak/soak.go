package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the gateway program, Dir the directory for settings files and logs.
	Binary, Dir string
	Seed        uint64
	// Duration is the time during which faults are injected. The recovery phase follows.
	Duration time.Duration
	// Gateways and Engines are the numbers of gateway processes and stand-in engines.
	Gateways, Engines int
}

// Soak is the state of one run.
type Soak struct {
	opts      Options
	history   *history
	checker   *checker
	store     *rows.Store
	processes []*process
	upstreams upstreamSet
	version   atomic.Int64
	// configVersion is the version of the configuration in force. evacuating and restricting are set while a data centre is
	// evacuated and while routes have homes.
	configVersion           atomic.Int64
	evacuating, restricting atomic.Bool
	served                  atomic.Int64
	background              sync.WaitGroup
	servers                 []*http.Server
	// subnetGuard keeps other runs off the addresses of the processes.
	subnetGuard net.Listener
}

// ErrViolation is returned when a guarantee was violated. The error text holds the first violation with the events before
// it.
var ErrViolation = errors.New("guarantee violated")

// Run executes a run and returns a one-line summary. The error wraps ErrViolation if a check failed.
func Run(opts Options) (string, error) {
	h := newHistory()
	s := &Soak{opts: opts, history: h, checker: newChecker(h), store: rows.New()}
	s.version.Store(1)
	s.configVersion.Store(1)
	defer s.close()
	if err := s.prepare(); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), opts.Duration)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(context.Background())
	defer stopLoad()
	var callers sync.WaitGroup
	for i := range plainCallers {
		callers.Go(func() { s.sendPlainRequests(loadCtx, rand.New(rand.NewPCG(opts.Seed, uint64(100+i)))) })
	}
	callers.Go(func() { s.sendCrashingRequests(loadCtx, rand.New(rand.NewPCG(opts.Seed, 400))) })
	for i := range trainers {
		callers.Go(func() { s.runTrainer(loadCtx, rand.New(rand.NewPCG(opts.Seed, uint64(200+i))), i) })
	}
	s.injectFaults(ctx, rand.New(rand.NewPCG(opts.Seed, 0)))
	s.background.Wait()
	stopLoad()
	callers.Wait()
	s.waitForJobs()
	s.checkRecovery()
	s.checkCrashingRequest()
	summary := fmt.Sprintf("seed %d: %d plain responses, %d jobs, %d results, %d usage windows, %d crashes by one request",
		opts.Seed, s.served.Load(), len(s.checker.jobs), s.resultCount(), len(s.checker.reports), s.checker.crashRuns())
	if first := h.firstViolation(); first != "" {
		return summary, fmt.Errorf("%w: seed %d: %s", ErrViolation, opts.Seed, first)
	}
	return summary, nil
}

func (s *Soak) resultCount() int {
	n := 0
	for id := range s.checker.jobs {
		n += s.checker.resultCount(id)
	}
	return n
}

// startServer serves handler on a loopback port and returns the address. The server is closed with the run.
func (s *Soak) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// startTimeout bounds the time until all processes are ready.
const startTimeout = 20 * time.Second

// prepare starts the stand-ins and the gateways, and waits until the gateways are ready.
func (s *Soak) prepare() error {
	storeAddress, err := s.startServer(platformtest.NewStoreHandler(s.store))
	if err != nil {
		return err
	}
	dutyAddress, err := s.startServer(platformtest.NewDutyHandler(s.checker.recordUsageReport))
	if err != nil {
		return err
	}
	s.store.Put(platformtest.OperatorTable, "config", platformtest.Config(1))
	for i := range s.opts.Engines {
		if _, err := s.addUpstream(fmt.Sprintf("engine-%d", i), platformtest.EngineService); err != nil {
			return err
		}
	}
	for i := range plainUpstreams {
		if _, err := s.addUpstream(fmt.Sprintf("desk-%d", i), platformtest.PlainService); err != nil {
			return err
		}
	}
	subnet, guard, err := claimSubnet(s.opts.Seed)
	if err != nil {
		return err
	}
	s.subnetGuard = guard
	for i := range s.opts.Gateways {
		p, err := newProcess(s.opts, s.history, subnet, i, storeAddress, dutyAddress)
		if err != nil {
			return err
		}
		s.processes = append(s.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *Soak) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, p := range s.processes {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %s; see its log in %s", p.settings.Name, startTimeout, s.opts.Dir)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// ready reports whether the readiness endpoint of the process returns 200.
func (p *process) ready() bool {
	reply := platformtest.Caller{Timeout: time.Second}.Do(http.MethodGet,
		net.JoinHostPort(p.settings.IP, fmt.Sprint(readyPort)), "/-/readyz", "", nil)
	return reply.Status == http.StatusOK
}

// pickProcess returns a random process.
func (s *Soak) pickProcess(r *rand.Rand) *process { return s.processes[r.IntN(len(s.processes))] }

func (s *Soak) close() {
	for _, p := range s.processes {
		p.close()
	}
	s.upstreams.close()
	for _, server := range s.servers {
		server.Close()
	}
	if s.subnetGuard != nil {
		s.subnetGuard.Close()
	}
}
