package agent

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/fencing"
	"github.com/radishshelf/radishshelf/rpc"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/engine"
)

// Guards against an engine that serves the old version for seconds after one failed swap, because the agent waits for
// its next periodic probe and reconciliation.
func TestFailedSwapIsRetriedWithinOneSecond(t *testing.T) {
	e, _ := startEngine(t, func(s *engine.Settings) { s.ActivateTime = 0 })
	var attempts atomic.Int32
	var failedAt atomic.Int64
	repeated := make(chan time.Duration, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != engineapi.PathActivate {
			e.Handler().ServeHTTP(w, r)
			return
		}
		switch attempts.Add(1) {
		case 1:
			failedAt.Store(time.Now().UnixNano())
			http.Error(w, "the swap failed partway", http.StatusInternalServerError)
			return
		case 2:
			repeated <- time.Since(time.Unix(0, failedAt.Load()))
		}
		e.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	// A minute passes before the next periodic probe, so the retry depends on the probe after the failed swap.
	f := startAgent(t, server.URL, engineKind, func(s *Settings) { s.ProbeInterval = settings.Duration(time.Minute) })
	want := &rpc.WantedState{Term: 5, Revision: 9, Policy: "planner", StageVersion: 3, ActivateVersion: 3}
	f.entries[0].setWanted(want)
	f.entries[1].setWanted(want)
	f.eventually("version 3", func() bool { return f.entries[0].lastReport().ActiveVersion == 3 })
	if after := <-repeated; after > time.Second {
		t.Errorf("retried after %s", after)
	}
}

// Guards against flooding an engine with swaps that keep failing. From the third failure on, the delays are at least 1,
// 2, 4, 8, 16 and then 30 s, also if probes fail in between.
func TestRepeatedSwapFailuresBackOff(t *testing.T) {
	for _, random := range []float64{0, 0.5, 1} {
		var backoff orderBackoff
		token := fencing.Token{Term: 1, Revision: 1}
		minDelays := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 30 * time.Second}
		for try := 1; try <= 12; try++ {
			delay := backoff.nextDelay(token, &swapError{errors.New("broken")}, random)
			backoff.nextDelay(token, errVersionUnknown, random)
			if try == 1 && delay >= time.Second {
				t.Errorf("first delay %s", delay)
			}
			if try < 3 {
				continue
			}
			if minDelay := minDelays[min(try-3, len(minDelays)-1)]; delay < minDelay {
				t.Errorf("random %g: delay %s after %d failures, want at least %s", random, delay, try, minDelay)
			}
		}
		if delay := backoff.nextDelay(fencing.Token{Term: 1, Revision: 2}, &swapError{errors.New("broken")}, random); delay >= time.Second {
			t.Errorf("first delay of a newer order %s", delay)
		}
	}
}
