package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
)

// Guards against a request that crashes one upstream after another and fails the other requests there: its retry must run
// exclusively, and a quarantined request must be refused.
func TestCrashSuspectRunsAloneThenIsRefused(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var crashes, alone atomic.Int32
	crash := func(w http.ResponseWriter, q *http.Request) {
		crashes.Add(1)
		if q.Header.Get(dataplane.HeaderExclusive) == "true" {
			alone.Add(1)
		}
		panic(http.ErrAbortHandler)
	}
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, crash))
	r.addUpstream("desk-2", fleetconfig.UpstreamService, "desk", newFakeAgent(t, crash))
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if crashes.Load() != 2 || alone.Load() != 1 {
		t.Fatalf("%d crashes, %d of them alone; want 2 and 1", crashes.Load(), alone.Load())
	}
	fingerprint := quarantine.Fingerprint("hraunvegur", "POST /fare", []byte("poison"))
	r.fleet.MergeSuspects([]quarantine.Suspect{{Fingerprint: fingerprint, Deaths: 2, Remaining: time.Minute}}, time.Now())
	got := r.do("POST", "/fare", testSecret, "poison")
	got.wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	if got.header.Get("Retry-After") == "" || crashes.Load() != 2 {
		t.Fatalf("got %v after %d crashes", got.header, crashes.Load())
	}
}

// Guards against a request that crashed two upstreams and is sent to a third before the agents have reported the crashes.
func TestSuspectThatFailsAgainIsNotRetried(t *testing.T) {
	r := newTestEnv(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var crashes atomic.Int32
	crash := func(http.ResponseWriter, *http.Request) {
		crashes.Add(1)
		panic(http.ErrAbortHandler)
	}
	for _, name := range []string{"desk-1", "desk-2", "desk-3"} {
		r.addUpstream(name, fleetconfig.UpstreamService, "desk", newFakeAgent(t, crash))
	}
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if crashes.Load() != 2 {
		t.Fatalf("one request crashed %d upstreams, want 2", crashes.Load())
	}
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	if crashes.Load() != 2 {
		t.Errorf("a repeated request reached an upstream before the agents had reported the crashes")
	}
}

// Guards against a fingerprint without the path: one crashing request without a body would quarantine all requests
// without a body on its route.
func TestQuarantineIsPerTarget(t *testing.T) {
	r := newTestEnv(t, nil)
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, respondWithText("90")))
	fingerprint := quarantine.Fingerprint("hraunvegur", "GET /fare/poison", nil)
	r.fleet.MergeSuspects([]quarantine.Suspect{{Fingerprint: fingerprint, Deaths: 2, Remaining: time.Minute}}, time.Now())
	r.do("GET", "/fare/poison", testSecret, "").wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	r.do("GET", "/fare/sudur", testSecret, "").wantOK(t, "90")
}

// countingWriter records how many requests are in flight when the first byte of the response is written.
type countingWriter struct {
	*httptest.ResponseRecorder
	running func() int
	atWrite int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	if w.Body.Len() == 0 {
		w.atWrite = w.running()
	}
	return w.ResponseRecorder.Write(p)
}

// Guards against a suspect that is refused because the previous request, whose caller already has the response, still
// counts as in flight.
func TestUpstreamReleasedBeforeResponseIsSent(t *testing.T) {
	r := newTestEnv(t, nil)
	r.addUpstream("desk-1", fleetconfig.UpstreamService, "desk", newFakeAgent(t, respondWithText("90")))
	running := func() int {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		return r.fleet.inFlight.Count("desk-1")
	}
	w := &countingWriter{ResponseRecorder: httptest.NewRecorder(), running: running, atWrite: -1}
	req := httptest.NewRequest("POST", "/fare", strings.NewReader("x"))
	req.Header.Set("X-Api-Key", testSecret)
	r.entry.ServeHTTP(w, req)
	if w.Code != http.StatusOK || w.atWrite != 0 {
		t.Fatalf("status %d; %d requests in flight when the response was sent, want 0", w.Code, w.atWrite)
	}
}
