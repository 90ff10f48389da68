package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Faults is the body of POST /admin/faults. Every call replaces all faults.
type Faults struct {
	// FailNextSwap makes the next weight activation fail partway.
	FailNextSwap bool `json:"fail_next_swap"`
	// CrashMarker terminates the process when a prompt contains it. If it is empty, the marker of the settings applies.
	CrashMarker string `json:"crash_marker"`
	// SlowFirstToken is an additional delay before the first token of every request.
	SlowFirstToken settings.Duration `json:"slow_first_token"`
	// IgnoreFencing accepts orders with any term.
	IgnoreFencing bool `json:"ignore_fencing"`
	// TruncateAfterTokens breaks the connection after this number of tokens; 0 disables the fault.
	TruncateAfterTokens int `json:"truncate_after_tokens"`
}

// faultState holds the injected faults.
type faultState struct {
	mu                 sync.Mutex
	defaultCrashMarker string // applies while current has no marker
	current            Faults
}

func (f *faultState) set(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.current
	if out.CrashMarker == "" {
		out.CrashMarker = f.defaultCrashMarker
	}
	return out
}

// consumeSwapFailure reports whether the activation that starts now fails, and clears that fault.
func (f *faultState) consumeSwapFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fail := f.current.FailNextSwap
	f.current.FailNextSwap = false
	return fail
}

func (f *faultState) firstTokenDelay() time.Duration { return f.get().SlowFirstToken.D() }

func (f *faultState) serve(w http.ResponseWriter, r *http.Request) {
	var next Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "faults: "+err.Error())
		return
	}
	f.set(next)
	writeJSON(w, http.StatusOK, next)
}
