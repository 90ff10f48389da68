package service

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/settings"
)

// crashExitCode is the exit code of a crash caused by a marker.
const crashExitCode = 3

// Faults is the body of POST /admin/faults; every call replaces all of them.
type Faults struct {
	// ResetAfterExecuting breaks the connection after a booking took effect.
	ResetAfterExecuting bool `json:"reset_after_executing"`
	// Delay is added to every call.
	Delay settings.Duration `json:"delay"`
	// CrashMarker ends the process when a request contains it.
	CrashMarker string `json:"crash_marker"`
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// withFaults applies delay and crash marker to all calls but the admin and health ones.
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
