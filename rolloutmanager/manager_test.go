package rolloutmanager

import (
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/configstore"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rollout"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// fakeAuthority holds the role if its term is not 0.
type fakeAuthority struct{ term int64 }

func (a *fakeAuthority) MayAct(time.Time) (int64, bool) { return a.term, a.term != 0 }

func (a *fakeAuthority) Guard() (hosting.Condition, bool) { return hosting.Condition{}, a.term != 0 }

// testEnv is a Manager on an in-memory platform with one engine.
type testEnv struct {
	t         *testing.T
	platform  *memory.Platform
	store     *configstore.Store
	authority *fakeAuthority
	engine    rollout.Engine
	manager   *Manager
}

func newTestEnv(t *testing.T, p *memory.Platform) *testEnv {
	r := &testEnv{
		t: t, platform: p, store: configstore.New(p.Table), authority: &fakeAuthority{},
		engine: rollout.Engine{Upstream: "engine-1", Healthy: true},
	}
	manager, err := New(Options{
		Table: p.Table, Config: r.store, Authority: r.authority, Planning: rollout.DefaultConfig(), Rollouts: r.rollouts,
		Engines: func(string, time.Time) []rollout.Engine { return []rollout.Engine{r.engine} }, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r.manager = manager
	return r
}

func (r *testEnv) rollouts() []PolicyRollout {
	state := fleetconfig.NewState()
	objects, _, err := r.store.Load(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	state.Apply(objects)
	current := PolicyRollout{Policy: "fares"}
	if target, ok := state.View().Rollout("fares"); ok {
		object, _ := state.View().Object(fleetconfig.KindRollout, "fares")
		current.Rollout, current.Revision = target, object.Revision
	}
	return []PolicyRollout{current}
}

// runRound runs one round and checks the rollout after it.
func (r *testEnv) runRound(want fleetconfig.Rollout) {
	r.t.Helper()
	if err := r.manager.Round(r.t.Context()); err != nil {
		r.t.Fatal(err)
	}
	if got := r.rollouts()[0].Rollout; got != want {
		r.t.Fatalf("rollout %+v, want %+v", got, want)
	}
}

// Guards against a rollout that advances without authority or before the version is staged, or that carries a term
// other than the holder's.
func TestPublishedVersionIsStagedThenActivated(t *testing.T) {
	r := newTestEnv(t, memory.New(memory.Options{}))
	if _, err := r.store.Write(t.Context(), fleetconfig.KindPolicy, "fares", fleetconfig.Policy{}, 0); err != nil {
		t.Fatal(err)
	}
	if err := Publish(t.Context(), r.platform.Table, "fares", "coach", 7); err != nil {
		t.Fatal(err)
	}
	r.runRound(fleetconfig.Rollout{})
	r.authority.term = 3
	staged := fleetconfig.Rollout{Version: 7, Phase: fleetconfig.PhaseStage, Term: 3}
	r.runRound(staged)
	r.runRound(staged)
	r.engine.Staged = []int64{7}
	r.authority.term = 4
	r.runRound(fleetconfig.Rollout{Version: 7, Phase: fleetconfig.PhaseActivate, Term: 4})
}

// Guards against a published version that decreases or is lost when publications race or their responses are lost.
func TestPublishKeepsTheNewestVersion(t *testing.T) {
	p := memory.New(memory.Options{})
	var wait sync.WaitGroup
	for version := int64(1); version <= 4; version++ {
		wait.Go(func() {
			if err := Publish(t.Context(), p.Table, "fares", "coach", version); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	p.Table.Faults.Set(memory.Faults{LoseReplies: 1})
	if err := Publish(t.Context(), p.Table, "fares", "coach", 9); !hosting.IsKind(err, hosting.KindUnknown) {
		t.Fatalf("lost reply: %v", err)
	}
	for _, version := range []int64{9, 2} {
		if err := Publish(t.Context(), p.Table, "fares", "coach", version); err != nil {
			t.Fatal(err)
		}
	}
	if got, _, err := readPublished(t.Context(), p.Table, "fares"); err != nil || got.Version != 9 {
		t.Fatalf("published %+v, %v; want version 9", got, err)
	}
}
