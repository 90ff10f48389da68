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
		p := s.pick(r)
		p.end(syscall.SIGKILL)
		time.Sleep(d / 3)
		s.restart(p)
	}},
	{"kill all", func(s *Soak, r *rand.Rand, d time.Duration) {
		for _, p := range s.processes {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(d / 4)
		for _, p := range s.processes {
			p.end(syscall.SIGKILL)
			s.restart(p)
		}
	}},
	{"stop", func(s *Soak, r *rand.Rand, _ time.Duration) {
		p := s.pick(r)
		if !p.end(syscall.SIGTERM) {
			s.h.violate("%s did not end within its grace", p.settings.Name)
		}
		s.restart(p)
	}},
	{"pause", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pick(r)
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}},
	{"hang up", func(s *Soak, r *rand.Rand, _ time.Duration) { s.pick(r).signal(syscall.SIGHUP) }},
	{"cut from the store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pick(r)
		p.store.Set(Link{CutTo: r.IntN(2) == 0, CutFrom: true})
		time.Sleep(d)
		p.store.Set(Link{})
		p.store.Reset()
	}},
	{"turned away by the store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pick(r)
		p.store.Set(Link{Refuse: true})
		p.store.Reset()
		time.Sleep(d)
		p.store.Set(Link{})
	}},
	{"slow store", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pick(r)
		p.store.Set(Link{Delay: 150 * time.Millisecond})
		time.Sleep(d)
		p.store.Set(Link{})
	}},
	{"resets", func(s *Soak, r *rand.Rand, _ time.Duration) { s.pick(r).store.Reset() }},
	{"store down", func(s *Soak, r *rand.Rand, d time.Duration) {
		s.store.SetFaults(func(rows.Call, *hosting.RowTxn) rows.Fault { return rows.Refuse })
		time.Sleep(d)
		s.store.SetFaults(nil)
	}},
	{"lost answers", func(s *Soak, r *rand.Rand, d time.Duration) {
		draw := rand.New(rand.NewPCG(r.Uint64(), 1))
		s.store.SetFaults(func(_ rows.Call, txn *hosting.RowTxn) rows.Fault {
			if txn == nil || draw.IntN(10) > 2 { // the store calls this under its lock
				return rows.NoFault
			}
			return []rows.Fault{rows.DropResponse, rows.DropCall, rows.Defer}[draw.IntN(3)]
		})
		time.Sleep(d)
		s.store.SetFaults(nil)
		s.store.ApplyDeferred()
	}},
	{"an upstream leaves and says so in its answers", func(s *Soak, r *rand.Rand, d time.Duration) { s.leave(r, d) }},
	{"history dropped", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.store.Compact() }},
	{"engine crash", func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetDown(true)
		time.Sleep(d / 2)
		u.SetDown(false)
	}},
	{"answers of an upstream lost", misbehave(platformtest.DropResponse)},
	{"heads without end", misbehave(platformtest.EndlessHeader)},
	{"bodies without end", misbehave(platformtest.EndlessBody)},
	{"second answers", misbehave(platformtest.DuplicateResponse)},
	{"streams that trickle", misbehave(platformtest.SlowStream)},
	{"rows that cannot be read", func(s *Soak, r *rand.Rand, _ time.Duration) {
		for _, value := range []string{"", "{", "null", `{"sequence":"x"}`, `{"items":-1}`} {
			for _, table := range []string{platformtest.UpstreamTable, "jobs", "entries"} {
				s.store.Put(table, fmt.Sprintf("spoilt-%d", r.IntN(1000)), []byte(value))
			}
		}
	}},
	{"settings half written", func(s *Soak, r *rand.Rand, d time.Duration) {
		p := s.pick(r)
		if err := p.spoilSettings(r.IntN(200)); err != nil {
			s.h.violate("settings of %s: %v", p.settings.Name, err)
		}
		p.signal(syscall.SIGHUP)
		time.Sleep(d / 4)
		if err := p.writeSettings(); err != nil {
			s.h.violate("settings of %s: %v", p.settings.Name, err)
		}
		p.signal(syscall.SIGHUP)
	}},
	{"kill the holder of the duties", func(s *Soak, _ *rand.Rand, d time.Duration) {
		if p := s.holder(); p != nil {
			p.end(syscall.SIGKILL)
			time.Sleep(d / 3)
			s.restart(p)
		}
	}},
	{"version named", func(s *Soak, _ *rand.Rand, _ time.Duration) { s.nameVersion() }},
}

// misbehave returns a fault in which one upstream, engine or plain service, spoils its answers.
func misbehave(m platformtest.Fault) func(s *Soak, r *rand.Rand, d time.Duration) {
	return func(s *Soak, r *rand.Rand, d time.Duration) {
		u := s.upstreams.pick(r)
		u.SetFault(m)
		time.Sleep(d / 4)
		u.SetFault(platformtest.NoFault)
	}
}

// disturb starts faults at times that overlap until ctx ends, and waits for the last one.
func (s *Soak) disturb(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		d := time.Duration(500+r.IntN(3500)) * time.Millisecond
		own := rand.New(rand.NewPCG(r.Uint64(), 2))
		s.h.add("fault: %s, %s", f.name, d)
		s.background.Go(func() {
			f.run(s, own, d)
			s.h.add("over: %s", f.name)
		})
		pause(ctx, time.Duration(200+r.IntN(2500))*time.Millisecond)
	}
}

// holder returns the process that holds the duties by the lease in the store, nil when there is none.
func (s *Soak) holder() *process {
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
		s.h.violate("%s does not start: %v", p.settings.Name, err)
	}
}

// nameVersion names the next version of the model.
func (s *Soak) nameVersion() {
	version := s.version.Add(1)
	s.store.Put(platformtest.OperatorTable, "version/"+platformtest.Model, platformtest.NamedVersion(version))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
