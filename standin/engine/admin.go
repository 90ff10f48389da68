package engine

import (
	"encoding/json"
	"net/http"
)

// ExecutionsResponse is the body of the response to GET /admin/executions.
type ExecutionsResponse struct {
	// RequestIDs are in the order in which the executions started. An ID that was executed twice is listed twice.
	RequestIDs []string `json:"request_ids"`
}

func (e *Engine) routeAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/seen", e.arrivals.ServeSeen)
	mux.HandleFunc("GET /admin/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, ExecutionsResponse{RequestIDs: e.Executions()})
	})
	mux.HandleFunc("POST /admin/faults", e.faults.serve)
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.faults.get())
	})
	mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) {
		e.Restart()
		writeJSON(w, http.StatusOK, e.currentStatus())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, startCount, _ := e.weights.current()
		writeJSON(w, http.StatusOK, map[string]int64{"start_count": startCount})
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
