package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
)

// process is one gateway.
type process struct {
	binary, dir string
	settings    platformtest.ProcessSettings
	store       *Proxy
	log         *os.File
	history     *history

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected is set once the process was asked to end.
	exitExpected bool
}

// Ports of the gateways. Each has an address of its own, and so has each seed, so that the ports may be the same.
const (
	frontPort = 21080
	readyPort = 21081
	firstPort = 21090
)

// seedSubnets is how many seeds may run beside each other.
const seedSubnets = 250

// newProcess prepares the gateway with the given number.
func newProcess(opts Options, h *history, number int, storeAddress, dutyAddress string) (*process, error) {
	proxy, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("entry-%d", number)
	log, err := os.Create(filepath.Join(opts.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{
		binary: opts.Binary, dir: opts.Dir, store: proxy, log: log, history: h,
		settings: platformtest.ProcessSettings{
			Name: name, IP: fmt.Sprintf("127.1.%d.%d", opts.Seed%seedSubnets, 10+number), DataCentre: fmt.Sprintf("dc-%d", number%3),
			Store: proxy.Address(), Duties: dutyAddress, FrontPort: frontPort, ReadyPort: readyPort, FirstPort: firstPort,
		},
	}, nil
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.settings.Name+".conf") }

// address is where callers reach the process.
func (p *process) address() string { return net.JoinHostPort(p.settings.IP, fmt.Sprint(frontPort)) }

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "run")
	cmd.Env = append(os.Environ(), "RADISHSHELF_SETTINGS="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited, p.exitExpected = cmd, make(chan struct{}), false
	exited := p.exited
	go func() {
		_ = cmd.Wait() // the exit code of a killed process says nothing
		p.mu.Lock()
		p.cmd = nil
		if !p.exitExpected {
			p.history.recordViolation("%s ended by itself; see its log", p.settings.Name)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) writeSettings() error {
	return os.WriteFile(p.settingsPath(), []byte(p.settings.Settings()), 0o600)
}

// truncateSettings leaves the first bytes of the settings file only.
func (p *process) truncateSettings(size int) error {
	text := p.settings.Settings()
	return os.WriteFile(p.settingsPath(), []byte(text[:min(size, len(text))]), 0o600)
}

// signal sends a signal if the process runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.exitExpected = p.exitExpected || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = p.cmd.Process.Signal(s) // a process that just ended needs none
	}
}

// exitTimeout is longer than the grace of the settings.
const exitTimeout = 10 * time.Second

// stop stops the process with a signal and waits for its stop; false means that it had to be killed.
func (p *process) stop(s syscall.Signal) bool {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	p.signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(exitTimeout):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

func (p *process) close() {
	p.signal(syscall.SIGCONT)
	p.stop(syscall.SIGKILL)
	p.store.Close()
	p.log.Close()
}
