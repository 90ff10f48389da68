package service

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// crashExitCode is the exit code of a process that a crash marker terminates.
const crashExitCode = 3

// Faults is the body of POST /admin/faults. Every call replaces all faults.
type Faults struct {
	// ResetAfterExecuting breaks the connection after a booking was executed, in place of a response.
	ResetAfterExecuting bool `json:"reset_after_executing"`
	// Delay is the additional time before each call is executed.
	Delay settings.Duration `json:"delay"`
	// CrashMarker terminates the process when the URI or the body of a request contains it; empty disables the fault.
	CrashMarker string `json:"crash_marker"`
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// withFaults applies the delay and the crash marker to all calls except those of the admin interface and the health
// check.
func (s *Service) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, adminPrefix) || r.URL.Path == "/healthz" {
			next.ServeHTTP(w, r)
			return
		}
		faults := s.currentFaults()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			writeError(w, http.StatusBadRequest, "body: "+err.Error())
			return
		}
		if s.hasCrashMarker(faults, r, body) {
			s.exit(crashExitCode)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		select {
		case <-time.After(faults.Delay.D()):
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}

func (s *Service) hasCrashMarker(f Faults, r *http.Request, body []byte) bool {
	if f.CrashMarker == "" {
		return false
	}
	return strings.Contains(r.RequestURI, f.CrashMarker) || bytes.Contains(body, []byte(f.CrashMarker))
}
