package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
)

const (
	crashMarker = "prompt-that-crashes"
	// maxCrashedEngines is the number of engines that one request may crash before it is quarantined.
	maxCrashedEngines = 2
	// maxSends limits how often the caller resends the crashing request.
	maxSends = 60
	// Unrelated requests run while the crashing one is sent. Each takes half a second.
	unrelatedRequests = 6
	unrelatedTokens   = 400
	unrelatedTimeout  = 20 * time.Second
	// refusalTimeout bounds a refusal, which involves no upstream.
	refusalTimeout = time.Second
)

// Guards against a request that crashes one engine after another while its caller resends it through several entries, and
// against unrelated requests that are refused together with it.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur", "nordur", "sudur"}, CrashMarker: crashMarker,
	})
	key := f.GrantKey(Verband).Secret
	unrelated := f.sendUnrelated(key)
	f.sendUntilQuarantined(key)
	unrelated.Wait()
	crashed := 0
	for _, engine := range f.Engines {
		if !engine.Alive() {
			crashed++
		}
	}
	if crashed == 0 || crashed > maxCrashedEngines {
		t.Errorf("the request crashed %d engines; want 1 to %d", crashed, maxCrashedEngines)
	}
	for _, e := range f.Entries {
		f.checkQuarantined(e, key)
		for i := range 5 {
			a, err := e.Chat(t.Context(), key, fmt.Sprintf("fare %d", i), 8, false)
			if err != nil || a.Status != http.StatusOK {
				t.Errorf("unrelated request through %s: %v: %v", e.Name, a, err)
			}
		}
	}
}

// sendUntilQuarantined sends the crashing request through the entries in turn until all of them refuse it as quarantined. A
// crash suspect waits for an idle engine, so the refusal comes after the unrelated requests have ended.
func (f *Fleet) sendUntilQuarantined(key string) {
	f.t.Helper()
	refused := 0
	for i := range maxSends {
		e := f.Entries[i%len(f.Entries)]
		a, err := e.Chat(f.t.Context(), key, crashMarker, 8, false)
		if err == nil && a.Status == http.StatusOK {
			f.t.Fatalf("the crashing request was served: %v", a)
		}
		refused++
		if a.Kind() != outcome.KindQuarantined {
			refused = 0
		}
		if refused == len(f.Entries) {
			f.t.Logf("quarantined at every entry after %d sends", i+1)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Errorf("the crashing request was not quarantined within %d sends", maxSends)
}

// sendUnrelated sends requests that run while the engines crash. Callers resend failed requests, and each request must be
// served within unrelatedTimeout.
func (f *Fleet) sendUnrelated(key string) *sync.WaitGroup {
	var sent sync.WaitGroup
	for i := range unrelatedRequests {
		sent.Go(func() {
			var last Response
			for end := time.Now().Add(unrelatedTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
				a, err := f.Entries[i%2].Chat(f.t.Context(), key, fmt.Sprintf("innocent %d", i), unrelatedTokens, false)
				if err == nil && a.Status == http.StatusOK {
					return
				}
				last = a
			}
			f.t.Errorf("unrelated request %d was not served within %s: %v", i, unrelatedTimeout, last)
		})
	}
	// By then the engines are running the requests.
	time.Sleep(200 * time.Millisecond)
	return &sent
}

// checkQuarantined fails the test unless an entry refuses the crashing request within refusalTimeout, as not run and with
// Retry-After.
func (f *Fleet) checkQuarantined(e *Entry, key string) {
	f.t.Helper()
	start := time.Now()
	a, err := e.Chat(f.t.Context(), key, crashMarker, 8, false)
	took := time.Since(start)
	if err != nil || !a.NotRun() || a.Kind() != outcome.KindQuarantined || a.Header.Get("Retry-After") == "" || took > refusalTimeout {
		f.t.Errorf("crashing request at %s took %s, Retry-After %q: %v: %v", e.Name, took, a.Header.Get("Retry-After"), a, err)
	}
}
