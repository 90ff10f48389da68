package standin2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Binary is the gateway as the deploy file builds it, relative to the repository's root.
const Binary = "target/radishshelf-gateway"

// Machine describes the machine of a gateway.
type Machine struct {
	MemoryMB int
	CPUShare float64
	MaxFDs   int
	// StoreDelay is the one-way delay between the machine and the store.
	StoreDelay time.Duration
	// StatusS is status_s; 0 means that of the sheets.
	StatusS int
}

// statusS returns status_s.
func (m Machine) statusS() int {
	if m.StatusS > 0 {
		return m.StatusS
	}
	return 120
}

// Gateway is a gateway process on a machine of its own address.
type Gateway struct {
	Name, IP, Zone string
	Front, Ready   string
	machine        Machine
	dir            string
	record         *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Zones are the zones of the deployment; each is a region of its own.
var Zones = []string{"sudur-a", "nordur-a", "austur-a"}

// FreePort returns a port that is free on an address.
func FreePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Listen serves a handler on a free port of an address and returns host:port.
func Listen(ip string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), s, nil
}

// subnets is the number of loopback subnets, and so of cases that can run at the same time; guardPort is the port whose listener
// shows that a subnet is taken. Each gateway has an address of its own, because one of its ports is fixed.
const subnets, guardPort = 250, 21077

// claimSubnet takes a loopback subnet that no other case uses, until the listener is closed.
func claimSubnet() (subnet int, guard net.Listener, err error) {
	for i := range subnets {
		subnet = (os.Getpid()+i)%subnets + 1
		if guard, err = net.Listen("tcp", fmt.Sprintf("127.77.%d.1:%d", subnet, guardPort)); err == nil {
			return subnet, guard, nil
		}
	}
	return 0, nil, fmt.Errorf("no free loopback subnet: %w", err)
}

// NewGateway prepares the gateway with a number in a subnet. Its store calls arrive under its name.
func NewGateway(subnet, number int, dir string, machine Machine, store *Store, cloud http.Handler, record *Record) (*Gateway, error) {
	g := &Gateway{
		Zone: Zones[number%len(Zones)], IP: fmt.Sprintf("127.77.%d.%d", subnet, 10+number), machine: machine, dir: dir, record: record,
	}
	g.Name = fmt.Sprintf("edge-%s-%d", g.Zone, number/len(Zones)+1)
	storeAddress, _, err := Listen("127.0.0.1", store.Handler(g.Name))
	if err != nil {
		return nil, err
	}
	if machine.StoreDelay > 0 {
		proxy, err := NewProxy(storeAddress, machine.StoreDelay)
		if err != nil {
			return nil, err
		}
		storeAddress = proxy.Address()
	}
	cloudAddress, _, err := Listen("127.0.0.1", cloud)
	if err != nil {
		return nil, err
	}
	front, ready, control, first := FreePort(g.IP), FreePort(g.IP), FreePort(g.IP), FreePort(g.IP)
	g.Front, g.Ready = fmt.Sprintf("%s:%d", g.IP, front), fmt.Sprintf("%s:%d", g.IP, ready)
	lines := []string{
		"node_name=" + g.Name, "role=entry", "machine_class=edge", "serves=edge", "ip=" + g.IP, "zone=" + g.Zone,
		"region=" + strings.TrimSuffix(g.Zone, "-a"),
		"zones.sudur-a=sudur", "zones.nordur-a=nordur", "zones.austur-a=austur",
		"listen.front=" + g.Front, "listen.ready=" + g.Ready, fmt.Sprintf("listen.control=%s:%d", g.IP, control),
		fmt.Sprintf("port_range=%d,%d", first, first+15), "bootstrap=true", "counts_as_loss=false",
		fmt.Sprintf("limits.cpu_share=%g", machine.CPUShare), "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", machine.MemoryMB),
		fmt.Sprintf("limits.max_fds=%d", machine.MaxFDs), "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,tenants,leader,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.sync_s=5.5",
		"bounds.drain_ms=2500", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2500",
		"bounds.rollback_slack_ms=250", "bounds.stretch_max_ms=6000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.require_fence=false", "bounds.lease_ms=3000", "bounds.thaw_ms=300", "bounds.usage_window_s=5",
		"bounds.usage_off=0.05", "bounds.usage_late_s=10", "bounds.recovery_s=12", "bounds.pass_ms=300", "bounds.retry_after_s=0",
		"bounds.finish_s=10", fmt.Sprintf("bounds.status_s=%d", machine.statusS()), "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.quota_overrun=0.1",
		"provider.address=" + storeAddress, "provider.form=table", "provider.writes_per_s=800", "provider.reads_per_s=2000",
		"provider.tx_ms=5.0", "provider.part_writes_per_s=200", "provider.row_bytes=65536", "provider.across=false",
		"provider.history_s=20", "provider.blob_bytes=8388608", "provider.blob_ms=25.0", "provider.blob_mb_s=80.0",
		"cloud.address=" + cloudAddress, "cloud.rate_per_s=50.0", "cloud.duties=usage_report,autoscale", "cloud.duty_per_s=50.0",
	}
	return g, os.WriteFile(g.settings(), []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (g *Gateway) settings() string { return filepath.Join(g.dir, g.Name+".conf") }

// LogPath is the file with the output of the process.
func (g *Gateway) LogPath() string { return filepath.Join(g.dir, g.Name+".log") }

// Start starts the process.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(g.LogPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(Binary, "run")
	cmd.Env = append(os.Environ(), "RADISHSHELF_SETTINGS="+g.settings())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	g.record.Line("%s started, process %d", g.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		g.record.Line("%s process %d ended: %v", g.Name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		g.record.Line("%s gets %v", g.Name, s)
		_ = g.cmd.Process.Signal(s)
	}
}

// Exited is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// Stop kills the process and waits for its end.
func (g *Gateway) Stop() {
	g.mu.Lock()
	cmd, exited := g.cmd, g.exited
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// IsReady asks the ready address.
func (g *Gateway) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the process is ready.
func (g *Gateway) WaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if g.IsReady() {
			return true
		}
	}
	return false
}

// PrivateMB returns the resident memory of the process without its program file, in MB.
func (g *Gateway) PrivateMB() int {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		if fields := strings.Fields(rest); name == "RssAnon" && len(fields) > 0 {
			kb, _ := strconv.Atoi(fields[0])
			return kb >> 10
		}
	}
	return 0
}
