package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

const (
	gatewayBinary = "target/radishshelf-gateway"
	// heartbeatInterval is how often a server writes its entry; after three of them in silence the platform removes it.
	heartbeatInterval = 1200 * time.Millisecond
	silentHeartbeats  = 3
	metricsPort       = 9464
	readyTimeout      = 15 * time.Second
)

// fleet is a small deployment: the platform's store and duty API, servers, and gateways as processes.
type fleet struct {
	rec      *record
	dir      string
	subnet   string
	store    *rows.Store
	duties   string
	mu       sync.Mutex
	gateways []*gatewayProcess
	closers  []func()
	hosts    int
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	f            *fleet
	name, ip     string
	storeAddress string
	cmd          *exec.Cmd
	exited       chan struct{}
	log          *os.File
}

func newFleet(rec *record) (*fleet, error) {
	if _, err := os.Stat(gatewayBinary); err != nil {
		return nil, fmt.Errorf("%w; run the build of the deploy file first", err)
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: rows.New()}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.subnet, metricsPort))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	f.duties, err = f.serve(platformtest.NewDutyHandler(func(u platformtest.UsageReport) {
		rec.printf("usage holder=%s token=%d window=%d counts=%v", u.Holder, u.Term, u.Window, u.Counts)
	}))
	return f, err
}

// address returns an unused address of the fleet.
func (f *fleet) nextIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts++
	return fmt.Sprintf("%s.%d", f.subnet, f.hosts)
}

// serve serves a handler on a free port and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", f.nextIP()+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// storeHandler is the platform's store.
func (f *fleet) storeHandler() http.Handler { return platformtest.NewStoreHandler(f.store) }

// putConfig writes the configuration as the operator does.
func (f *fleet) putConfig(json string) {
	f.store.Put("op", "config", []byte(json))
	f.rec.printf("config acknowledged: %s", strings.Join(strings.Fields(json), " "))
}

// startGateway starts a gateway whose calls of the store go through the given handler.
func (f *fleet) startGateway(name, zone string, storeHandler http.Handler) (*gatewayProcess, error) {
	address, err := f.serve(storeHandler)
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{f: f, name: name, ip: f.nextIP(), storeAddress: address}
	settings := strings.Replace(platformtest.ProcessSettings{
		Name: name, IP: g.ip, DataCentre: zone, Store: address, Duties: f.duties,
		FrontPort: frontPort, ReadyPort: readyPort, FirstPort: firstPort,
	}.Settings(), "limits.memory_mb=256", "limits.memory_mb=354", 1)
	if err := os.WriteFile(g.settingsPath(), []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return g, g.start()
}

// Ports of a gateway; each has an address of its own.
const (
	frontPort = 8368
	readyPort = 8369
	firstPort = 7780
)

func (g *gatewayProcess) settingsPath() string { return filepath.Join(g.f.dir, g.name+".conf") }

func (g *gatewayProcess) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

func (g *gatewayProcess) start() error {
	g.cmd = exec.Command(gatewayBinary, "run")
	g.cmd.Env = append(os.Environ(), "RADISHSHELF_SETTINGS="+g.settingsPath())
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.f.rec.printf("gateway %s started at %s", g.name, g.ip)
	return nil
}

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", g.ip, readyPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all gateways are ready.
func (f *fleet) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range f.gateways {
			if g.ready() {
				ready++
			}
		}
		if ready == len(f.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}

// keepLogs copies the gateways' logs to a folder; for looking into a case by hand.
func (f *fleet) keepLogs(folder string) {
	for _, g := range f.gateways {
		data, err := os.ReadFile(g.log.Name())
		if err == nil {
			_ = os.WriteFile(filepath.Join(folder, g.name+".log"), data, 0o600)
		}
	}
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		_ = g.cmd.Process.Kill()
		<-g.exited
		_ = g.log.Close()
	}
	if folder := os.Getenv("KEEP_LOGS"); folder != "" {
		f.keepLogs(folder)
	}
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}
