package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/radishshelf/radishshelf/agent/engineapi"
)

// newScriptedEngine serves an engine that reports the given start count and streams the labels that script emits.
func newScriptedEngine(t *testing.T, startCount func() int64, script func(emit func(engineapi.Label))) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engineapi.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(engineapi.Status{Policy: "planner", ActiveVersion: 1, StartCount: startCount()})
	})
	mux.HandleFunc("POST "+engineapi.PathChat, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		total := int64(0)
		script(func(label engineapi.Label) {
			total += int64(label.Tokens)
			data, _ := json.Marshal(engineapi.ChatResponse{Labels: []engineapi.Label{label}})
			fmt.Fprintf(w, "data: %s\n\n", data)
		})
		data, _ := json.Marshal(engineapi.ChatResponse{Usage: &engineapi.Usage{CompletionTokens: total}})
		fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", data)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}
