package agent

import (
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/standin/engine"
)

// Guards against a sample that is labelled with one version although the weights changed during its generation.
func TestSwapDuringGenerationYieldsTwoSpans(t *testing.T) {
	_, server := startEngine(t, func(s *engine.Settings) { s.TokensPerSecond = 100 })
	f := startAgent(t, server.URL, engineKind, nil)
	f.waitForVersion()
	go func() {
		waitFor(func() bool { return f.load().Running == 1 })
		time.Sleep(200 * time.Millisecond)
		w := &rpc.WantedState{Term: 3, Revision: 1, Policy: "planner", StageVersion: 2, ActivateVersion: 2}
		f.entries[0].setWanted(w)
		f.entries[1].setWanted(w)
	}()
	result, err := f.chat("r1", 100, true)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Spans) != 2 || result.Spans[0].Version != 1 || result.Spans[1].Version != 2 {
		t.Fatalf("spans = %+v; want one of version 1 and one of version 2", result.Spans)
	}
	if got := result.Spans[0].Tokens + result.Spans[1].Tokens; got != 100 || result.DiscardReason != "" {
		t.Errorf("tokens = %d, discard = %q; want 100 and none", got, result.DiscardReason)
	}
}

// Guards against a sample that is labelled with an uncertain version after a swap failed partway.
func TestFailedSwapDiscardsUntilProbe(t *testing.T) {
	_, server := startEngine(t, nil)
	f := startAgent(t, server.URL, engineKind, func(s *Settings) {
		// Disables periodic probes, so that the test controls when the engine is probed.
		s.ProbeInterval *= 1 << 20
		s.PlatformAddress = ""
	})
	f.waitForVersion()
	if status := postJSON(t, server.URL+"/admin/faults", engine.Faults{FailNextSwap: true}); status != http.StatusOK {
		t.Fatalf("faults: status %d", status)
	}
	w := &rpc.WantedState{Term: 1, Revision: 1, Policy: "planner", StageVersion: 2, ActivateVersion: 2}
	f.entries[0].setWanted(w)
	f.entries[1].setWanted(w)
	f.eventually("failed swap", func() bool { return f.versions.discardReason() == discardSwapFailed })
	result, err := f.chat("r1", 4, false)
	if err != nil || result.DiscardReason != discardSwapFailed {
		t.Fatalf("result = %+v, %v; want it discarded as %s", result, err, discardSwapFailed)
	}
	if err := f.probe(t.Context()); err != nil {
		t.Fatal(err)
	}
	if result, err = f.chat("r2", 4, false); err != nil || result.DiscardReason != "" {
		t.Errorf("result after the probe = %+v, %v; want a sample", result, err)
	}
	f.eventually("repeated swap", func() bool { return f.entries[0].lastReport().ActiveVersion == 2 })
}

// Guards against a sample whose labels come from two process runs of an engine.
func TestEngineRestartDiscardsSample(t *testing.T) {
	var starts atomic.Int64
	starts.Store(1)
	server := newScriptedEngine(t, starts.Load, func(emit func(label engineapi.Label)) {
		emit(engineapi.Label{WeightVersion: 1, StartCount: 1, Tokens: 1})
		starts.Store(2)
		emit(engineapi.Label{WeightVersion: 1, StartCount: 2, Tokens: 1})
	})
	f := startAgent(t, server, engineKind, func(s *Settings) { s.ProbeInterval *= 1 << 20 })
	f.waitForVersion()
	result, err := f.chat("r1", 2, true)
	if err != nil || result.DiscardReason != discardStartCount {
		t.Errorf("result = %+v, %v; want it discarded as %s", result, err, discardStartCount)
	}
}

// Guards against a truncated response that is marked as complete.
func TestTruncatedResponseHasNoCompleteTrailer(t *testing.T) {
	_, server := startEngine(t, nil)
	f := startAgent(t, server.URL, engineKind, nil)
	f.waitForVersion()
	postJSON(t, server.URL+"/admin/faults", engine.Faults{TruncateAfterTokens: 3})
	for _, stream := range []bool{true, false} {
		if _, err := f.chat("r1", 10, stream); !errors.Is(err, dataplane.ErrTruncated) {
			t.Errorf("stream %v: err = %v; want ErrTruncated", stream, err)
		}
	}
	if got := f.suspects.report(time.Now()); len(got) != 0 {
		t.Errorf("suspects = %v; want none, because the engine is alive", got)
	}
}
