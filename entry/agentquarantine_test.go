package entry

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
)

// quarantineSeconds is the Retry-After of the refusals of a quarantiningAgent.
const quarantineSeconds = "60"

// respondWithQuarantine refuses requests as an agent does that knows of the given number of deaths: one death refuses only
// requests that are not exclusive.
func respondWithQuarantine(deaths int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, q *http.Request) {
		if deaths == 1 && q.Header.Get(dataplane.HeaderExclusive) == "true" {
			respondWithText("90")(w, q)
			return
		}
		w.Header().Set("Retry-After", quarantineSeconds)
		respondWithRefusal(outcome.KindQuarantined, outcome.NotRun)(w, q)
	}
}

// Guards against a request that an agent refuses as a crash suspect and that the entry, which does not know of the crash,
// then sends to another upstream beside other requests.
func TestRequestRefusedAsSuspectRunsAlone(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var beside atomic.Int32
	unaware := newFakeAgent(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(dataplane.HeaderExclusive) != "true" {
			beside.Add(1)
		}
		respondWithText("90")(w, q)
	})
	aware := newFakeAgent(t, respondWithQuarantine(1))
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", aware)
	r.do("POST", "/fare", testSecret, "suspect").wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", unaware)
	for range 8 {
		r.do("POST", "/fare", testSecret, "suspect").wantOK(t, "90")
	}
	if n := beside.Load(); n != 0 {
		t.Fatalf("the suspect was sent %d times beside other requests", n)
	}
}

// Guards against a quarantined request that an agent refuses although it runs alone, and that the entry sends to an upstream
// whose agent does not know of the quarantine.
func TestRequestRefusedAsQuarantinedIsNotSentOn(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	aware := newFakeAgent(t, respondWithQuarantine(2))
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", aware)
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	unaware := newFakeAgent(t, respondWithText("90"))
	r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", unaware)
	for range 8 {
		got := r.do("POST", "/fare", testSecret, "poison")
		got.wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
		if after := got.header.Get("Retry-After"); after != quarantineSeconds {
			t.Fatalf("Retry-After %q, want %q", after, quarantineSeconds)
		}
	}
	if n := len(unaware.calls()); n != 0 {
		t.Fatalf("the quarantined request reached another upstream %d times", n)
	}
}
