package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// fault is a kind of fault. run injects it and returns when it is over; d scales its duration.
type fault struct {
	name string
	run  func(s *Soak, r *rand.Rand, d time.Duration)
}

// faults are chosen with equal probability; repeating an entry raises its weight.
var faults = []fault{
	{"kill", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.stop(syscall.SIGKILL)
		time.Sleep(d / 3)
		s.restart(p)
	}},
	{"kill all", func(s *Soak, r *rand.Rand, d time.Duration) {
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(d / 4)
		for _, p := range s.processes {
			p.stop(syscall.SIGKILL)
			s.restart(p)
		}
	}},
	{"stop", func(s *Soak, r *rand.Rand, _ time.Duration) {
		p := s.pickProcess(r)
		if !p.stop(syscall.SIGTERM) {
			s.history.recordViolation("%s did not exit within its grace period", p.settings.Name)
		}
		s.restart(p)
	}},
	{"rolling restart", func(s *Soak, _ *rand.Rand, d time.Duration) {
		for _, p := range s.processes {
			if !p.stop(syscall.SIGTERM) {
				s.history.recordViolation("%s did not exit within its grace period", p.settings.Name)
			}
			s.restart(p)
			time.Sleep(d / 4)
		}
	}},
	{"pause", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}},
	{"configuration reload", func(s *Soak, r *rand.Rand, _ time.Duration) { s.pickProcess(r).signal(syscall.SIGHUP) }},
	{"partition from the store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.store.SetFaults(LinkFaults{DropToTarget: r.IntN(2) == 0, DropFromTarget: true})
		time.Sleep(d)
		p.store.SetFaults(LinkFaults{})
		p.store.Reset()
	}},
	{"turned away by the store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.store.SetFaults(LinkFaults{Refuse: true})
		p.store.Reset()
		time.Sleep(d)
		p.store.SetFaults(LinkFaults{})
	}},
	{"slow store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.store.SetFaults(LinkFaults{Delay: 150 * time.Millisecond})
		time.Sleep(d)
		p.store.SetFaults(LinkFaults{})
	}},
	{"resets", func(s *Soak, r *rand.Rand, _ time.Duration) { s.pickProcess(r).store.Reset() }},
	{"store down", func(s *Soak, r *rand.Rand, d time.Duration) {
		s.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse })
		time.Sleep(d)
		s.store.SetFaults(nil)
	}},
	{"store responses lost", func(s *Soak, r *rand.Rand, d time.Duration) {
		lossRand := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
			if txn == nil || lossRand.IntN(10) > 2 { // lossRand needs no lock: the store calls this with its own lock held
				return rows.NoFault
			}
			return []rows.Fault{rows.DropResponse, rows.DropCall, rows.Defer}[lossRand.IntN(3)]
		})
		time.Sleep(d)
		s.store.SetFaults(nil)
		s.store.ApplyDeferred()
	}},
	{"upstream announces in its responses that it leaves", func(s *Soak, r *rand.Rand, d time.Duration) { s.leaveUpstream(r, d) }},
	{"upstream names a limit in its responses", func(s *Soak, r *rand.Rand, _ time.Duration) { s.limitUpstream(r) }},
	{"data centre evacuated", func(s *Soak, r *rand.Rand, d time.Duration) { s.evacuate(r, d) }},
	{"homes changed", func(s *Soak, r *rand.Rand, d time.Duration) { s.restrictHomes(r, d) }},
	{"store change history dropped", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.store.Compact() }},
	{"engine crash", func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetDown(true)
		time.Sleep(d / 2)
		u.SetDown(false)
	}},
	{"engine cut off", engineFault(func(u *upstream, d time.Duration) {
		u.link.SetFaults(LinkFaults{DropToTarget: true, DropFromTarget: true})
		time.Sleep(d)
		u.link.SetFaults(LinkFaults{})
		u.link.Reset()
	})},
	{"slow engine", engineFault(func(u *upstream, d time.Duration) {
		u.SetSlower(slowEngineTimes)
		time.Sleep(d)
		u.SetSlower(1)
	})},
	{"connections to engines reset", func(s *Soak, _ *rand.Rand, _ time.Duration) {
		for _, u := range s.upstreams.engines() {
			u.link.ResetHalf()
		}
	}},
	{"upstream responses lost", upstreamFault(platformtest.DropResponse)},
	{"endless response headers", upstreamFault(platformtest.EndlessHeader)},
	{"endless response bodies", upstreamFault(platformtest.EndlessBody)},
	{"duplicate responses", upstreamFault(platformtest.DuplicateResponse)},
	{"slow streams", upstreamFault(platformtest.SlowStream)},
	{"malformed rows", func(s *Soak, r *rand.Rand, _ time.Duration) {
		for _, value := range []string{"", "{", "null", `{"sequence":"x"}`, `{"items":-1}`} {
			for _, table := range []string{platformtest.UpstreamTable, "jobs", "entries"} {
				s.store.Put(table, fmt.Sprintf("spoilt-%d", r.IntN(1000)), []byte(value))
			}
		}
	}},
	{"truncated settings file", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		if err := p.truncateSettings(r.IntN(200)); err != nil {
			s.history.recordViolation("settings of %s: %v", p.settings.Name, err)
		}
		p.signal(syscall.SIGHUP)
		time.Sleep(d / 4)
		if err := p.writeSettings(); err != nil {
			s.history.recordViolation("settings of %s: %v", p.settings.Name, err)
		}
		p.signal(syscall.SIGHUP)
	}},
	{"kill duty holder", func(s *Soak, _ *rand.Rand, d time.Duration) {
		if p := s.dutyHolder(); p != nil {
			p.stop(syscall.SIGKILL)
			time.Sleep(d / 3)
			s.restart(p)
		}
	}},
	{"stop duty holders in turn", func(s *Soak, _ *rand.Rand, _ time.Duration) {
		s.checker.awaitUsageReport()
		for range 2 {
			p := s.dutyHolder()
			if p == nil {
				return
			}
			if !p.stop(syscall.SIGTERM) {
				s.history.recordViolation("%s did not exit within its grace period", p.settings.Name)
			}
			s.restart(p)
		}
	}},
	{"version published", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.publishVersion() }},
}

// slowEngineTimes is how many times longer the events of a slow engine take.
const slowEngineTimes = 3.5

// engineFault returns a fault of one engine.
func engineFault(run func(u *upstream, d time.Duration)) func(s *Soak, r *rand.Rand, d time.Duration) {
	return func(s *Soak, r *rand.Rand, d time.Duration) {
		if engines := s.upstreams.engines(); len(engines) > 0 {
			run(engines[r.IntN(len(engines))], d)
		}
	}
}

// upstreamFault returns a fault in which one upstream, an engine or a plain service, sends faulty responses.
func upstreamFault(kind platformtest.Fault) func(s *Soak, r *rand.Rand, d time.Duration) {
	return func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetFault(kind)
		time.Sleep(d / 4)
		u.SetFault(platformtest.NoFault)
	}
}

// injectFaults starts random, overlapping faults in s.background until ctx ends.
func (s *Soak) injectFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		d := time.Duration(500+r.IntN(3500)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 2))
		s.history.record("fault: %s, %s", f.name, d)
		s.background.Go(func() {
			f.run(s, faultRand, d)
			s.history.record("fault over: %s", f.name)
		})
		sleep(ctx, time.Duration(200+r.IntN(2500))*time.Millisecond)
	}
}

// dutyHolder returns the process that holds the duties according to the lease row in the store, or nil if there is none.
func (s *Soak) dutyHolder() *process {
	for _, row := range s.store.Table("leases") {
		var record lease.Record
		if json.Unmarshal(row.Value, &record) != nil {
			continue
		}
		for _, p := range s.processes {
			if strings.HasPrefix(record.Holder, p.settings.Name+"#") {
				return p
			}
		}
	}
	return nil
}

// restart starts a process unless it is running.
func (s *Soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.history.recordViolation("%s did not start: %v", p.settings.Name, err)
	}
}

// publishVersion writes the next version of the model to the store.
func (s *Soak) publishVersion() {
	version := s.version.Add(1)
	s.store.Put(platformtest.OperatorTable, "version/"+platformtest.Model, platformtest.NamedVersion(version))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
