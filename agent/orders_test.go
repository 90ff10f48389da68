package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// Guards against an order of a deposed role holder reaching an engine that does not check terms, and against an engine
// that stays on its initial version after a restart.
func TestStaleTermIsRefusedWithoutEngineFencing(t *testing.T) {
	e, server := startEngine(t, func(s *engine.Settings) { s.CheckFencing = false })
	f := startAgent(t, server.URL, engineKind, nil)
	newer := &rpc.WantedState{Term: 5, Revision: 9, Policy: "planner", StageVersion: 3, ActivateVersion: 3}
	f.entries[0].setWanted(newer)
	f.entries[1].setWanted(newer)
	f.eventually("version 3", func() bool { return f.entries[0].lastReport().ActiveVersion == 3 })
	refused := f.metrics.ordersRefused.Get()
	f.entries[1].setWanted(&rpc.WantedState{Term: 4, Revision: 20, Policy: "planner", StageVersion: 2, ActivateVersion: 2})
	f.eventually("refused order", func() bool { return f.metrics.ordersRefused.Get() > refused+3 })
	status, err := f.engine.probe(t.Context())
	if err != nil || status.ActiveVersion != 3 || len(status.StagedVersions) != 2 {
		t.Errorf("engine = %+v, %v; want version 3 active and version 2 never staged", status, err)
	}
	f.entries[1].setWanted(newer)
	e.Restart()
	f.eventually("version 1 after a restart of the engine", func() bool { return f.entries[0].lastReport().ActiveVersion != 3 })
	f.eventually("version 3 again", func() bool { return f.entries[0].lastReport().ActiveVersion == 3 })
	if got := f.entries[0].lastReport().HighestTerm; got != 5 {
		t.Errorf("highest term = %d; want 5", got)
	}
}

// Guards against a restarted agent that accepts an order before it knows the highest term, and against one that waits
// forever for a second entry.
func TestRestartedAgentLearnsTermFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, err := New(Settings{Serves: "planner"}, Options{
			Logger: zerolog.Nop(), Registry: telemetry.NewRegistry(), Recorder: usage.NewRecorder("a", "r"),
		})
		if err != nil {
			t.Fatal(err)
		}
		old := &rpc.WantedState{Term: 4, Revision: 1, Policy: "planner", ActivateVersion: 2}
		a.reconciler.receiveWanted("entry-1", old)
		if a.reconciler.wanted != nil {
			t.Fatal("an order was accepted from the first entry")
		}
		a.reconciler.receiveWanted("entry-2", &rpc.WantedState{Term: 6, Revision: 1, Policy: "planner", ActivateVersion: 3})
		a.reconciler.receiveWanted("entry-1", old)
		if a.reconciler.wanted.GetTerm() != 6 {
			t.Fatalf("wanted = %v; want the order of term 6", a.reconciler.wanted)
		}
		single := newOrderReconciler(a)
		for range 2 * maxLearnRounds {
			single.receiveWanted("entry-2", nil)
			single.finishRound(1)
		}
		single.receiveWanted("entry-1", old)
		single.finishRound(1)
		if single.receiveWanted("entry-1", old); single.wanted != nil {
			t.Fatal("replies without a wanted state counted as reports of a term")
		}
		for range maxLearnRounds {
			single.receiveWanted("entry-1", old)
			single.finishRound(1)
			time.Sleep(time.Second)
		}
		single.receiveWanted("entry-1", old)
		if single.wanted.GetTerm() != 4 {
			t.Error("the order of the only entry that replies was never accepted")
		}
	})
}
