package trainer

import (
	"encoding/json"
	"net/http"
	"slices"
)

// SamplesResponse is the response of GET /admin/samples.
type SamplesResponse struct {
	// IDs are the sorted ids of the samples that were trained on.
	IDs []string `json:"ids"`
}

// AdminHandler returns the handler of the admin port, which serves the report and restarts the trainer.
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
