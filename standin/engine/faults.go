package engine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// Faults is the body of POST /admin/faults; every call replaces all of them.
type Faults struct {
	// FailNextSwap makes the next activation fail partway.
	FailNextSwap bool `json:"fail_next_swap"`
	// CrashMarker ends the process when a prompt contains it.
	CrashMarker string `json:"crash_marker"`
	// SlowFirstToken delays the first token of every request.
	SlowFirstToken settings.Duration `json:"slow_first_token"`
	// IgnoreFencing carries out orders with any term.
	IgnoreFencing bool `json:"ignore_fencing"`
	// TruncateAfterTokens breaks the connection after that many tokens; 0 turns it off.
	TruncateAfterTokens int `json:"truncate_after_tokens"`
}

type faults struct {
	mu          sync.Mutex
	crashMarker string
	set         Faults
}

func (f *faults) replace(next Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.set = next
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.set
	if out.CrashMarker == "" {
		out.CrashMarker = f.crashMarker
	}
	return out
}

// takeSwapFailure reports whether the activation that starts now fails.
func (f *faults) takeSwapFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	fail := f.set.FailNextSwap
	f.set.FailNextSwap = false
	return fail
}

func (f *faults) firstTokenDelay() time.Duration { return f.get().SlowFirstToken.D() }

func (f *faults) serve(w http.ResponseWriter, r *http.Request) {
	var next Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", "faults: "+err.Error())
		return
	}
	f.replace(next)
	writeJSON(w, http.StatusOK, next)
}
