package service

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
)

// Limits of the record of arrived text.
const (
	maxSeenBytes = 64 << 20
	maxBodyBytes = 16 << 20
)

// seen keeps everything that arrived, so that a test can ask whether a secret ever did.
type seen struct {
	mu   sync.Mutex
	text strings.Builder
}

// record notes every request but those under /admin/ and passes it on with its body restored.
func (s *seen) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, adminPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeError(w, http.StatusBadRequest, "body: "+err.Error())
			return
		}
		s.add(r, body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

func (s *seen) add(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.text.Len() > maxSeenBytes {
		return
	}
	s.text.WriteString(r.RequestURI)
	s.text.WriteByte('\n')
	_ = r.Header.Write(&s.text)
	s.text.Write(body)
	s.text.WriteByte('\n')
}

func (s *seen) contains(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(s.text.String(), text)
}
