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

// process is a gateway process that can be stopped and restarted.
type process struct {
	binary, dir string
	settings    platformtest.ProcessSettings
	store       *Proxy
	log         *os.File
	history     *history

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected is set once the process was told to exit.
	exitExpected bool
}

// Ports of the gateways. All gateways use the same ports, since each gateway of each run has its own IP address.
const (
	guardPort = 21079
	frontPort = 21080
	readyPort = 21081
	firstPort = 21090
)

// subnetCount is the number of loopback subnets, and so of runs that can be executed in parallel.
const subnetCount = 250

// claimSubnet claims the loopback subnet of the seed, or the next one that no run owns. A run owns a subnet while it listens
// on guardPort of its first address, since the gateways do not listen at all times.
func claimSubnet(seed uint64) (subnet int, guard net.Listener, err error) {
	for i := range subnetCount {
		subnet = (int(seed%subnetCount) + i) % subnetCount
		guard, err = net.Listen("tcp", fmt.Sprintf("127.1.%d.1:%d", subnet, guardPort))
		if err == nil {
			return subnet, guard, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback subnet: %w", err)
}

// newProcess creates the gateway with the given number, its log file and its proxy to the store. It does not start it.
func newProcess(opts Options, h *history, subnet, number int, storeAddress, dutyAddress string) (*process, error) {
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
			Name: name, IP: fmt.Sprintf("127.1.%d.%d", subnet, 10+number), DataCentre: dataCentre(number),
			OtherDataCentres: []string{dataCentre(number + 1), dataCentre(number + 2)},
			Store:            proxy.Address(), Duties: dutyAddress, FrontPort: frontPort, ReadyPort: readyPort, FirstPort: firstPort,
		},
	}, nil
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, p.settings.Name+".conf") }

// address returns the address of the caller port.
func (p *process) address() string { return net.JoinHostPort(p.settings.IP, fmt.Sprint(frontPort)) }

// start writes the settings file and starts the process unless it is running.
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
		_ = cmd.Wait() // the exit code of a killed process carries no information
		p.mu.Lock()
		p.cmd = nil
		if !p.exitExpected {
			p.history.recordViolation("%s exited unexpectedly; see its log", p.settings.Name)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *process) writeSettings() error {
	return os.WriteFile(p.settingsPath(), []byte(p.settings.Settings()), 0o600)
}

// truncateSettings writes only the first size bytes of the settings file.
func (p *process) truncateSettings(size int) error {
	text := p.settings.Settings()
	return os.WriteFile(p.settingsPath(), []byte(text[:min(size, len(text))]), 0o600)
}

// signal sends a signal if the process is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.exitExpected = p.exitExpected || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = p.cmd.Process.Signal(s) // fails if the process has just exited
	}
}

// exitTimeout is longer than the grace period in the settings.
const exitTimeout = 10 * time.Second

// stop sends a signal and waits for the exit of the process. It returns false if the process had to be killed after
// exitTimeout.
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
