package standin2

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Lab is a small deployment: a store, a duty API, upstreams and gateways.
type Lab struct {
	Dir       string
	Record    *Record
	Store     *Store
	Cloud     *Cloud
	Upstreams []*Upstream
	Gateways  []*Gateway
	subnet    int
	guard     net.Listener
	// Trouble is false if the disruption is to be left out.
	Trouble bool
}

// NewLab creates the lab of a case, whose record is at the given path.
func NewLab(record string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	r, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	subnet, guard, err := claimSubnet()
	if err != nil {
		return nil, err
	}
	l := &Lab{subnet: subnet, guard: guard, Dir: dir, Record: r, Store: NewStore(), Cloud: &Cloud{}, Trouble: os.Getenv("TROUBLE") != "0"}
	r.Line("trouble: %v", l.Trouble)
	return l, nil
}

// AddUpstreams starts n servers of a service. set edits each of them before its start.
func (l *Lab) AddUpstreams(n int, service string, set func(i int, u *Upstream)) error {
	for i := range n {
		u := &Upstream{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: Zones[i%len(Zones)], Slots: 6, Work: 25 * time.Millisecond}
		set(i, u)
		if err := u.Start(l.Store); err != nil {
			return err
		}
		l.Upstreams = append(l.Upstreams, u)
	}
	return nil
}

// AddGateways starts n gateways and waits until they are ready. set edits the machine of each.
func (l *Lab) AddGateways(n int, set func(i int, m *Machine)) error {
	for i := range n {
		m := Machine{MemoryMB: 354, CPUShare: 0.8, MaxFDs: 8200}
		if set != nil {
			set(i, &m)
		}
		g, err := NewGateway(l.subnet, i, l.Dir, m, l.Store, l.Cloud, l.Record)
		if err != nil {
			return err
		}
		l.Gateways = append(l.Gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range l.Gateways {
		if !g.WaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", g.Name)
		}
	}
	return nil
}

// Close ends all processes of the lab and removes its folder.
func (l *Lab) Close() {
	for _, g := range l.Gateways {
		g.Stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.Dir)
	}
	l.guard.Close()
	l.Record.Close()
}

// Main runs a case and exits with its code. The record is written to the path in the first argument.
func Main(run func(l *Lab) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(NotRun)
	}
	l, err := NewLab(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop // the processes of the case must not outlive it
		l.Record.Line("stopped by a signal")
		l.Close()
		os.Exit(NotRun)
	}()
	code, err := run(l)
	if err != nil {
		l.Record.Line("the case could not run: %v", err)
		code = NotRun
	}
	l.Record.Line("exit code %d", code)
	l.Close()
	os.Exit(code)
}
