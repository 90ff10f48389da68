// Package arrivals records the requests that arrived at a stand-in upstream, so that tests can verify that no secret
// was sent to it.
package arrivals

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
)

const adminPrefix = "/admin/"

// Limits of the recorded text. Once it exceeds maxRecordedBytes, no further requests are recorded.
const (
	maxRecordedBytes = 64 << 20
	maxBodyBytes     = 16 << 20
)

// Recorder records the URIs, headers and bodies of the requests that arrived. The zero value is ready for use, and its
// methods may be called concurrently.
type Recorder struct {
	mu   sync.Mutex
	text strings.Builder
}

// Middleware records every request outside /admin/ and passes it on to next with its body restored.
func (rec *Recorder) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, adminPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
			return
		}
		rec.add(r, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (rec *Recorder) add(r *http.Request, body []byte) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.text.Len() > maxRecordedBytes {
		return
	}
	rec.text.WriteString(r.RequestURI)
	rec.text.WriteByte('\n')
	_ = r.Header.Write(&rec.text)
	rec.text.Write(body)
	rec.text.WriteByte('\n')
}

// Contains reports whether text occurs in any recorded request.
func (rec *Recorder) Contains(text string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return strings.Contains(rec.text.String(), text)
}

// SeenResponse is the body of the response to GET /admin/seen.
type SeenResponse struct {
	Seen bool `json:"seen"`
}

// ServeSeen handles GET /admin/seen?text=..., which reports whether text occurs in any recorded request.
func (rec *Recorder) ServeSeen(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("text")
	if text == "" {
		http.Error(w, "the query parameter text is missing; use /admin/seen?text=...", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(SeenResponse{Seen: rec.Contains(text)}) // fails only if the client has disconnected
}
