package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/quarantine"
)

// Guards against a request that crashes one upstream after another, and takes the other requests there with it.
func TestCrashSuspectRunsAloneThenNever(t *testing.T) {
	r := newRig(t, func(o *Options) { o.Settings.RetryShare = 1 })
	var crashes, alone atomic.Int32
	crash := func(w http.ResponseWriter, q *http.Request) {
		crashes.Add(1)
		if q.Header.Get(dataplane.HeaderExclusive) == "true" {
			alone.Add(1)
		}
		panic(http.ErrAbortHandler)
	}
	r.upstream("desk-1", fleetconfig.UpstreamService, "desk", newAgent(t, crash))
	r.upstream("desk-2", fleetconfig.UpstreamService, "desk", newAgent(t, crash))
	r.do("POST", "/fare", testSecret, "poison").wantRefusal(t, outcome.KindUpstreamFailed, outcome.MayHaveRun)
	if crashes.Load() != 2 || alone.Load() != 1 {
		t.Fatalf("%d crashes, %d of them alone; want 2 and 1", crashes.Load(), alone.Load())
	}
	fingerprint := quarantine.Fingerprint("hraunvegur", "fare", []byte("poison"))
	r.fleet.MergeSuspects([]quarantine.Suspect{{Fingerprint: fingerprint, Deaths: 2, Remaining: time.Minute}}, time.Now())
	got := r.do("POST", "/fare", testSecret, "poison")
	got.wantRefusal(t, outcome.KindQuarantined, outcome.NotRun)
	if got.header.Get("Retry-After") == "" || crashes.Load() != 2 {
		t.Fatalf("got %v after %d crashes", got.header, crashes.Load())
	}
}
