package trainer

import (
	"encoding/json"
	"net/http"
	"slices"
)

// SamplesResponse is the answer of GET /admin/samples.
type SamplesResponse struct {
	// IDs of the samples trained on, sorted.
	IDs []string `json:"ids"`
}

// AdminHandler serves the report of the trainer and its restart.
func (t *Trainer) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Report()) })
	mux.HandleFunc("GET /admin/samples", func(w http.ResponseWriter, _ *http.Request) {
		ids := t.reports.sampleIDs()
		slices.Sort(ids)
		writeJSON(w, SamplesResponse{IDs: ids})
	})
	mux.HandleFunc("POST /admin/restart", func(w http.ResponseWriter, _ *http.Request) {
		t.Restart()
		writeJSON(w, t.Report())
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
