package service

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

const (
	adminPrefix   = "/admin/"
	maxAdminBytes = 64 << 10
)

// Executions is the body of the response to GET /admin/executions.
type Executions struct {
	// RequestIDs are in the order of execution. An ID that was executed twice is listed twice.
	RequestIDs []string `json:"request_ids"`
	// Bookings maps each booking ID to the number of its executions.
	Bookings map[string]int `json:"bookings"`
}

func (s *Service) routeAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("GET /admin/seen", s.arrivals.ServeSeen)
	mux.HandleFunc("POST /admin/faults", s.replaceFaults)
}

func (s *Service) replaceFaults(w http.ResponseWriter, r *http.Request) {
	var next Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&next); err != nil {
		writeError(w, http.StatusBadRequest, "faults: "+err.Error())
		return
	}
	s.mu.Lock()
	s.faults = next
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, next)
}

// recordExecution records the execution of a request and returns the number of executions of the booking id. id is
// empty for calls other than bookings.
func (s *Service) recordExecution(r *http.Request, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions.RequestIDs = append(s.executions.RequestIDs, r.Header.Get("X-Request-Id"))
	if id == "" {
		return 0
	}
	s.executions.Bookings[id]++
	return s.executions.Bookings[id]
}

// Executions returns a copy of the executions recorded so far.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{RequestIDs: slices.Clone(s.executions.RequestIDs), Bookings: maps.Clone(s.executions.Bookings)}
}
