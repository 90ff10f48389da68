package trainer

import (
	"encoding/json"
	"net/http"
	"slices"
)

// SamplesAnswer is the answer of GET /admin/samples.
type SamplesAnswer struct {
	// IDs of the samples trained on, sorted.
	IDs []string `json:"ids"`
}

// Admin serves the report of the trainer and its restart.
func (t *Trainer) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Report()) })
	mux.HandleFunc("GET /admin/samples", func(w http.ResponseWriter, _ *http.Request) {
		ids := t.ledger.ids()
		slices.Sort(ids)
		writeJSON(w, SamplesAnswer{IDs: ids})
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
