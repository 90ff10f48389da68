package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/retry"
)

// notRunRequests is the number of requests in tests that exhaust a retry budget.
const notRunRequests = 20

// newDeadUpstreamAgent returns an agent whose upstream refuses connections.
func newDeadUpstreamAgent(t *testing.T) *fakeAgent {
	return newFakeAgent(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Retry-After", "1")
		respondWithRefusal(outcome.KindUpstreamFailed, outcome.NotRun)(w, q)
	})
}

// Guards against a request that is refused although another upstream is idle, because the entry still took the upstreams of
// its first attempts for live and had spent its retry budget.
func TestNotRunIsRetriedWithEmptyBudget(t *testing.T) {
	unreachable := newFakeAgent(t, respondWithText("90"))
	unreachable.server.Close()
	for name, dead := range map[string]*fakeAgent{"upstream dead": newDeadUpstreamAgent(t), "agent dead": unreachable} {
		t.Run(name, func(t *testing.T) {
			r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 0 })
			idle := newFakeAgent(t, respondWithText("90"))
			r.addUpstream("desk-3", fleetconfig.UpstreamService, "desk", idle)
			for range notRunRequests {
				// A heartbeat from before the deaths makes the entry take the upstreams for live again.
				r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", dead)
				r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", dead)
				r.do("POST", "/book", testSecret, "x").wantOK(t, "90")
			}
		})
	}
}

// Guards against retry storms while all upstreams refuse: a request is sent at most MaxAttempts times, and to each upstream
// once.
func TestSendsOfRefusedRequestAreBounded(t *testing.T) {
	r := newTestEnv(t, nil)
	agents := make(map[string]*fakeAgent)
	for _, name := range []string{"desk-1", "desk-2", "desk-3", "desk-4", "desk-5"} {
		agents[name] = newFakeAgent(t, respondWithRefusal(outcome.KindOverloaded, outcome.NotRun))
		r.addUpstream(name, fleetconfig.UpstreamService, "desk", agents[name])
	}
	for range notRunRequests {
		got := r.do("POST", "/book", testSecret, "x")
		got.wantRefusal(t, outcome.KindOverloaded, outcome.NotRun)
		id, sends := got.header.Get(HeaderRequestID), 0
		for name, agent := range agents {
			n := countCalls(agent, id)
			if n > 1 {
				t.Errorf("request %s was sent to %s %d times", id, name, n)
			}
			sends += n
		}
		if sends > defaultMaxAttempts {
			t.Errorf("request %s was sent %d times, want at most %d", id, sends, defaultMaxAttempts)
		}
		explanation, _ := r.entry.Explain(id)
		if n := len(explanation.Retries); n != sends || explanation.Retries[n-1] != retry.ReasonAttempts {
			t.Errorf("request %s: retries %q for %d sends", id, explanation.Retries, sends)
		}
	}
}

// countCalls returns how often an agent received the request with the given id.
func countCalls(a *fakeAgent, requestID string) int {
	n := 0
	for _, call := range a.calls() {
		if strings.Contains(call, dataplane.HeaderRequestID+":["+requestID+"]") {
			n++
		}
	}
	return n
}
