package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// fault is one disturbance; it returns when it is over.
type fault struct {
	name string
	run  func(s *Soak, r *rand.Rand, d time.Duration)
}

// faults are drawn by weight of their place; a name may stand more than once.
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
			s.history.recordViolation("%s did not end within its grace", p.settings.Name)
		}
		s.restart(p)
	}},
	{"pause", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pickProcess(r)
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}},
	{"hang up", func(s *Soak, r *rand.Rand, _ time.Duration) { s.pickProcess(r).signal(syscall.SIGHUP) }},
	{"cut from the store", func(s *Soak, r *rand.Rand, d time.Duration) {
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
	{"lost answers", func(s *Soak, r *rand.Rand, d time.Duration) {
		draw := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
			if txn == nil || draw.IntN(10) > 2 { // the store calls this under its lock
				return rows.None
			}
			return []rows.Fault{rows.LoseAnswer, rows.LoseCall, rows.Late}[draw.IntN(3)]
		})
		time.Sleep(d)
		s.store.SetFaults(nil)
		s.store.Flush()
	}},
	{"an upstream leaves and says so in its answers", func(s *Soak, r *rand.Rand, d time.Duration) { s.leaveUpstream(r, d) }},
	{"history dropped", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.store.Forget() }},
	{"engine crash", func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetDown(true)
		time.Sleep(d / 2)
		u.SetDown(false)
	}},
	{"answers of an upstream lost", upstreamFault(platformtest.DropResponse)},
	{"heads without end", upstreamFault(platformtest.EndlessHeader)},
	{"bodies without end", upstreamFault(platformtest.EndlessBody)},
	{"second answers", upstreamFault(platformtest.DuplicateResponse)},
	{"streams that trickle", upstreamFault(platformtest.SlowStream)},
	{"rows that cannot be read", func(s *Soak, r *rand.Rand, _ time.Duration) {
		for _, value := range []string{"", "{", "null", `{"sequence":"x"}`, `{"items":-1}`} {
			for _, table := range []string{platformtest.UpstreamTable, "jobs", "entries"} {
				s.store.Put(table, fmt.Sprintf("spoilt-%d", r.IntN(1000)), []byte(value))
			}
		}
	}},
	{"settings half written", func(s *Soak, r *rand.Rand, d time.Duration) {
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
	{"kill the holder of the duties", func(s *Soak, _ *rand.Rand, d time.Duration) {
		if p := s.dutyHolder(); p != nil {
			p.stop(syscall.SIGKILL)
			time.Sleep(d / 3)
			s.restart(p)
		}
	}},
	{"version named", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.publishVersion() }},
}

// upstreamFault returns a fault in which one upstream, engine or plain service, spoils its answers.
func upstreamFault(kind platformtest.Fault) func(s *Soak, r *rand.Rand, d time.Duration) {
	return func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetFault(kind)
		time.Sleep(d / 4)
		u.SetFault(platformtest.NoFault)
	}
}

// injectFaults starts faults at times that overlap until ctx ends, and waits for the last one.
func (s *Soak) injectFaults(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		d := time.Duration(500+r.IntN(3500)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 2))
		s.history.record("fault: %s, %s", f.name, d)
		s.background.Go(func() {
			f.run(s, faultRand, d)
			s.history.record("over: %s", f.name)
		})
		sleep(ctx, time.Duration(200+r.IntN(2500))*time.Millisecond)
	}
}

// dutyHolder returns the process that holds the duties by the lease in the store, nil when there is none.
func (s *Soak) dutyHolder() *process {
	for _, row := range s.store.Table("leases") {
		for _, p := range s.processes {
			if bytes.Contains(row.Value, []byte(`"`+p.settings.Name+`#`)) {
				return p
			}
		}
	}
	return nil
}

// restart starts a process again, now or, where its address is not free yet, a little later.
func (s *Soak) restart(p *process) {
	if err := p.start(); err != nil {
		s.history.recordViolation("%s does not start: %v", p.settings.Name, err)
	}
}

// publishVersion names the next version of the model.
func (s *Soak) publishVersion() {
	version := s.version.Add(1)
	s.store.Put(platformtest.OperatorTable, "version/"+platformtest.Model, platformtest.NamedVersion(version))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
