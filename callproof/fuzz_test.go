package callproof

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a request without a valid proof that reaches the handler, and against headers that cause a panic.
func FuzzRequire(f *testing.F) {
	f.Fuzz(func(t *testing.T, method, nonce, proof string, body []byte) {
		served := false
		handler := Require("fleet", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
		r, err := http.NewRequest(method, "http://127.0.0.1/call", bytes.NewReader(body))
		if err != nil {
			return
		}
		r.Header = http.Header{HeaderNonce: {nonce}, HeaderProof: {proof}}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if served || w.Code != http.StatusUnauthorized {
			t.Errorf("served %t, status %d", served, w.Code)
		}
	})
}
