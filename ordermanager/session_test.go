package ordermanager

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/goldentest"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// testInterval is chosen so that no round coincides with a tick of the role runner within a session, which keeps
// sessions deterministic.
const testInterval = 1003 * time.Millisecond

// Guards against orders from two processes that both consider themselves the role holder, and against an order that is
// repeated under a second ID. The scripts in testdata run in virtual time, with real role runners and an in-memory
// platform.
func TestSessions(t *testing.T) {
	goldentest.Run(t, "testdata/*.golden", func(t *testing.T, path, script string) string {
		var out string
		synctest.Test(t, func(t *testing.T) { out = replay(t, path, script) })
		return out
	})
}

func replay(t *testing.T, path, script string) string {
	s := &session{
		t: t, start: time.Now(), platform: memory.New(memory.Options{CheckTerms: strings.Contains(path, "checking")}),
		hosts: map[string]*testHost{},
	}
	var out strings.Builder
	for line := range strings.Lines(script) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "  ") {
			continue
		}
		out.WriteString(line + "\n")
		if line != "" && !strings.HasPrefix(line, "#") {
			s.run(strings.Fields(line))
			synctest.Wait()
			out.WriteString(s.drainEvents())
		}
	}
	s.stop()
	return out.String()
}

// session consists of a platform and the hosts that compete for the role.
type session struct {
	t        *testing.T
	start    time.Time
	platform *memory.Platform
	hosts    map[string]*testHost

	mu     sync.Mutex
	busy   int
	events []string
}

func (s *session) run(args []string) {
	switch args[0] {
	case "start":
		s.hosts[args[1]] = newTestHost(s, args[1])
	case "freeze":
		s.hosts[args[1]].gate.freeze()
	case "freeze-at-order":
		s.hosts[args[1]].gate.freezeAtOrder()
	case "thaw":
		s.hosts[args[1]].gate.thaw()
	case "kill":
		s.hosts[args[1]].gate.kill()
	case "stop":
		s.hosts[args[1]].cancel()
		<-s.hosts[args[1]].done
	case "busy":
		n, err := strconv.Atoi(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		s.mu.Lock()
		s.busy = n
		s.mu.Unlock()
	case "lose-order-replies":
		s.platform.Orders.Faults.Set(memory.Faults{LoseReplies: 1})
	case "table-outage":
		s.platform.Table.Faults.Set(memory.Faults{Outage: args[1] == "on"})
	case "advance":
		d, err := time.ParseDuration(args[1])
		if err != nil {
			s.t.Fatal(err)
		}
		time.Sleep(d)
	default:
		s.t.Fatalf("unknown command %q", args)
	}
}

func (s *session) stop() {
	for _, h := range s.hosts {
		h.gate.kill()
		h.cancel()
		<-h.done
	}
}

func (s *session) event(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("  %s ", time.Since(s.start).Round(time.Second))+fmt.Sprintf(format, args...))
}

func (s *session) drainEvents() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out strings.Builder
	for _, e := range s.events {
		out.WriteString(e + "\n")
	}
	s.events = nil
	return out.String()
}

func (s *session) signals(time.Time) []ordering.Signal {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := ordering.Pool{DataCentre: "sudur", Kind: "engine:fares"}
	return []ordering.Signal{{Pool: pool, Live: 2, Busy: s.busy, Slots: 20, Min: 1, Max: 20}}
}

// testHost is a role runner and an order manager behind a gate that can freeze or kill them.
type testHost struct {
	gate   *hostGate
	cancel context.CancelFunc
	done   chan struct{}
}

func newTestHost(s *session, name string) *testHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &testHost{gate: newHostGate(), cancel: cancel, done: make(chan struct{})}
	table := &gatedTable{Table: s.platform.Table, gate: h.gate}
	runner, err := roles.New(roles.Options{
		Table: table, Lease: lease.DefaultConfig(name), Roles: []string{roles.Orders}, Log: zerolog.Nop(),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	planning := ordering.DefaultConfig()
	planning.ScaleDownDelay = time.Minute
	manager, err := New(Options{
		Table: table, Orders: &gatedOrders{Orders: s.platform.Orders, gate: h.gate, session: s, host: name},
		Authority: runner.Authority(roles.Orders), Planning: planning, Signals: s.signals, Log: zerolog.Nop(),
		Interval: testInterval,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() { _ = runner.Run(ctx) })
	wg.Go(func() { _ = manager.Run(ctx) })
	go func() { wg.Wait(); close(h.done) }()
	return h
}

// gatedOrders delays or fails calls according to the gate, and records those that reach the platform.
type gatedOrders struct {
	hosting.Orders
	gate    *hostGate
	session *session
	host    string
}

func (o *gatedOrders) Place(ctx context.Context, order hosting.Order) error {
	if err := o.gate.waitBeforeOrder(); err != nil {
		return err
	}
	err := o.Orders.Place(context.WithoutCancel(ctx), order)
	o.session.event("%s order %s count=%d term=%d => %s", o.host, order.ID, order.Count, order.Term, resultText(err))
	return err
}

func (o *gatedOrders) Lookup(ctx context.Context, id string) (hosting.Order, error) {
	if err := o.gate.wait(); err != nil {
		return hosting.Order{}, err
	}
	order, err := o.Orders.Lookup(ctx, id)
	o.session.event("%s lookup %s => %s", o.host, id, resultText(err))
	return order, err
}

func resultText(err error) string {
	for _, kind := range []hosting.ErrorKind{hosting.KindUnknown, hosting.KindNotFound, hosting.KindFenced, hosting.KindUnavailable} {
		if hosting.IsKind(err, kind) {
			return string(kind)
		}
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}
