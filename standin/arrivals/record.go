// Package arrivals records what arrived at a stand-in upstream, so that a test can ask whether a secret ever did.
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

// Limits of the record of arrived text.
const (
	maxRecordedBytes = 64 << 20
	maxBodyBytes     = 16 << 20
)

// Recorder keeps the request lines, headers and bodies that arrived.
type Recorder struct {
	mu   sync.Mutex
	text strings.Builder
}

// Middleware notes every request but those under /admin/ and passes it on with its body restored.
func (a *Recorder) Middleware(next http.Handler) http.Handler {
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
		a.add(r, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (a *Recorder) add(r *http.Request, body []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.text.Len() > maxRecordedBytes {
		return
	}
	a.text.WriteString(r.RequestURI)
	a.text.WriteByte('\n')
	_ = r.Header.Write(&a.text)
	a.text.Write(body)
	a.text.WriteByte('\n')
}

// Contains reports whether text arrived anywhere.
func (a *Recorder) Contains(text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Contains(a.text.String(), text)
}

// SeenResponse is the answer of GET /admin/seen.
type SeenResponse struct {
	Seen bool `json:"seen"`
}

// ServeSeen answers GET /admin/seen?text=...
func (a *Recorder) ServeSeen(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("text")
	if text == "" {
		http.Error(w, "name the text to look for: /admin/seen?text=...", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(SeenResponse{Seen: a.Contains(text)}) // a client that left gets no answer
}
