package roles

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// testProcess is a process that competes for the role "usage".
type testProcess struct {
	runner   *Runner
	eligible atomic.Bool
	stop     func()
}

func startProcess(t *testing.T, table hosting.Table, name string) *testProcess {
	p := &testProcess{}
	p.eligible.Store(true)
	runner, err := New(Options{
		Table: table, Lease: lease.DefaultConfig(name), Roles: []string{Usage}, Eligible: p.eligible.Load, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	p.runner = runner
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = runner.Run(ctx) })
	p.stop = func() {
		cancel()
		done.Wait()
	}
	return p
}

func (p *testProcess) term() int64 {
	term, _ := p.runner.Authority(Usage).MayAct(time.Now())
	return term
}

// Guards against a role that stays vacant for the lease duration plus the pause tolerance because its holder is leaving
// and still finishes long streams.
func TestLeavingHolderReleasesRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(memory.Options{}).Table
		a := startProcess(t, table, "a")
		time.Sleep(time.Second + time.Millisecond)
		b := startProcess(t, table, "b")
		time.Sleep(5 * time.Second)
		if a.term() != 1 || b.term() != 0 {
			t.Fatalf("terms %d and %d, want 1 and 0", a.term(), b.term())
		}
		a.eligible.Store(false)
		time.Sleep(5 * time.Second)
		if a.term() != 0 || b.term() != 2 {
			t.Fatalf("5 s after a became ineligible: terms %d and %d, want 0 and 2", a.term(), b.term())
		}
		b.eligible.Store(false)
		a.eligible.Store(true)
		time.Sleep(5 * time.Second)
		if a.term() != 3 {
			t.Fatalf("a is eligible again and has term %d, want 3", a.term())
		}
		a.stop()
		b.stop()
	})
}

// Guards against a transaction of a former holder that still commits, and against a transaction of the current holder
// that fails because the holder renewed its lease.
func TestGuardFailsAfterHolderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.New(memory.Options{}).Table
		a := startProcess(t, table, "a")
		time.Sleep(5 * time.Second)
		guard, ok := a.runner.Authority(Usage).Guard()
		if !ok {
			t.Fatal("the holder has no guard")
		}
		commit := func() bool {
			result, err := table.Commit(t.Context(), hosting.Txn{
				Conditions: []hosting.Condition{guard}, Puts: []hosting.Put{{Key: "k", Value: []byte("v")}},
			})
			if err != nil {
				t.Fatal(err)
			}
			return result.Committed
		}
		time.Sleep(10 * time.Second)
		if !commit() {
			t.Error("the holder's guard failed after lease renewals")
		}
		a.stop()
		b := startProcess(t, table, "b")
		time.Sleep(5 * time.Second)
		if b.term() != 2 || commit() {
			t.Errorf("b has term %d, want 2, or the guard of term 1 still holds", b.term())
		}
		b.stop()
	})
}
