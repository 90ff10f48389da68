package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Names of the deployment.
const (
	host          = "api.example"
	model         = "planner"
	apiKey        = "key-of-north"
	engineService = "engines"
	scoreService  = "desk"
	rolloutPath   = "/rollout/"
	scorePath     = "/score/"
)

// heartbeatInterval is how often a server writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// lab is a small deployment with its stand-ins.
type lab struct {
	dir, gateway string
	started      time.Time
	out          *os.File
	store        *rows.Store
	storeAddress string
	dutyAddress  string
	gateways     []*process
	// subnet is the part of the loopback addresses that belongs to this run as long as guard listens.
	subnet int
	guard  net.Listener

	mu     sync.Mutex
	visits map[string][]*visit
	// whole counts the answers that servers have ended, by request.
	whole map[string]int
	// holder is the holder that the last call of a duty named.
	holder string
}

func newLab(gateway, record string) *lab {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		panic(err)
	}
	out, err := os.Create(record)
	if err != nil {
		panic(err)
	}
	l := &lab{dir: dir, gateway: gateway, started: time.Now(), out: out, store: rows.New(), visits: map[string][]*visit{}}
	l.subnet, l.guard = claimSubnet()
	l.storeAddress = l.serve(platformtest.NewStoreHandler(l.store))
	l.dutyAddress = l.serve(platformtest.NewDutyHandler(func(r platformtest.UsageReport) {
		l.mu.Lock()
		l.holder = r.Holder
		l.mu.Unlock()
		l.record("usage of window %d from %s with token %d: %v", r.Window, r.Holder, r.Term, r.Counts)
	}))
	return l
}

// claimSubnet returns a part of the loopback addresses that no other run uses.
func claimSubnet() (subnet int, guard net.Listener) {
	for subnet = range 250 {
		if guard, err := net.Listen("tcp", fmt.Sprintf("127.28.%d.1:%d", subnet, guardPort)); err == nil {
			return subnet, guard
		}
	}
	panic("no free loopback addresses")
}

// address returns a loopback address of this run.
func (l *lab) address(n int) string { return fmt.Sprintf("127.28.%d.%d", l.subnet, n) }

func (l *lab) serve(h http.Handler) string {
	listener := listen()
	go func() { _ = http.Serve(listener, h) }() // ends with this program
	return listener.Addr().String()
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends the processes, and copies their logs to a folder if one is named.
func (l *lab) close(keep string) {
	l.mu.Lock()
	gateways := l.gateways
	l.mu.Unlock()
	for _, p := range gateways {
		p.stop()
		name := p.settings.Name + ".log"
		if data, err := os.ReadFile(filepath.Join(l.dir, name)); err == nil && keep != "" {
			_ = os.WriteFile(filepath.Join(keep, name), data, 0o600) // for a look at them only
		}
	}
	_ = l.guard.Close()
	_ = os.RemoveAll(l.dir)
	_ = l.out.Close()
}

func (l *lab) begin(item, engine string, after int) *visit {
	v := &visit{engine: engine, from: time.Now(), after: after}
	l.mu.Lock()
	l.visits[item] = append(l.visits[item], v)
	l.mu.Unlock()
	l.record("item %s begins at %s after event %d", item, engine, after)
	return v
}

func (l *lab) end(item string, v *visit, how string) {
	l.mu.Lock()
	v.to, v.ended = time.Now(), how
	l.mu.Unlock()
	l.record("item %s ends at %s: %s", item, v.engine, how)
}

// visitsOf returns copies of the visits of an item.
func (l *lab) visitsOf(item string) []visit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []visit
	for _, v := range l.visits[item] {
		list = append(list, *v)
	}
	return list
}

// register writes the entry of a server every heartbeatInterval.
func (l *lab) register(id string, entry func(sequence int64) []byte) {
	go func() {
		for sequence := int64(1); ; sequence++ {
			l.store.Put(platformtest.UpstreamTable, id, entry(sequence))
			time.Sleep(heartbeatInterval)
		}
	}()
}

// process is one gateway.
type process struct {
	lab      *lab
	settings platformtest.ProcessSettings

	mu  sync.Mutex
	cmd *exec.Cmd
	// closed is set once the process must not be started again.
	closed bool
}

// Ports of the gateways, which have an address each.
const (
	guardPort = 28079
	frontPort = 28080
	readyPort = 28081
	firstPort = 28090
)

// addGateway starts a gateway and waits until it is ready.
func (l *lab) addGateway(name, zone string) *process {
	ip := l.address(11 + len(l.gateways))
	p := &process{lab: l, settings: platformtest.ProcessSettings{
		Name: name, IP: ip, DataCentre: zone, OtherDataCentres: otherZones(zone), Store: l.storeAddress, Duties: l.dutyAddress,
		FrontPort: frontPort, ReadyPort: readyPort, FirstPort: firstPort, MemoryMB: 164, MaxFDs: 8200,
	}}
	p.start()
	l.mu.Lock()
	l.gateways = append(l.gateways, p)
	l.mu.Unlock()
	for deadline := time.Now().Add(15 * time.Second); !p.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(name + " is not ready")
		}
	}
	l.record("%s is ready", name)
	return p
}

func otherZones(zone string) []string {
	if zone == "a" {
		return []string{"b"}
	}
	return []string{"a"}
}

func (p *process) front() string { return net.JoinHostPort(p.settings.IP, fmt.Sprint(frontPort)) }

func (p *process) ready() bool {
	address := net.JoinHostPort(p.settings.IP, fmt.Sprint(readyPort))
	return platformtest.Caller{Timeout: time.Second}.Do(http.MethodGet, address, "/-/readyz", "", nil).Status == http.StatusOK
}

func (p *process) start() {
	path := filepath.Join(p.lab.dir, p.settings.Name+".conf")
	if err := os.WriteFile(path, []byte(p.settings.Settings()), 0o600); err != nil {
		panic(err)
	}
	log, err := os.OpenFile(filepath.Join(p.lab.dir, p.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	cmd := exec.Command(p.lab.gateway, "run")
	cmd.Env = append(os.Environ(), "RADISHSHELF_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	p.cmd = cmd
	p.lab.record("%s started", p.settings.Name)
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	_ = p.cmd.Wait()
	p.cmd = nil
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
}
