package callproof

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against accepting requests or responses that were altered, responses to an earlier call, and messages of a
// process without the credential.
func TestOnlyAuthenticatedMessagesAreAccepted(t *testing.T) {
	const secret = "fleet"
	var served int
	own := Require(secret, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served++
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(append([]byte("re:"), body...))
	}))
	var recorded http.Header
	for _, tt := range []struct {
		name       string
		credential string
		server     http.HandlerFunc
		served     int
		untrusted  bool
	}{
		{"own processes", secret, own.ServeHTTP, 1, false},
		{"caller with another credential", "other", own.ServeHTTP, 0, false},
		{"caller without a credential", "", own.ServeHTTP, 0, false},
		{"server without a credential", secret, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("order")) }, 0, true},
		{"server that sends the proof of the request back", secret, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderProof, r.Header.Get(HeaderProof))
		}, 0, true},
		{"changed request body", secret, func(w http.ResponseWriter, r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader("changed"))
			own.ServeHTTP(w, r)
		}, 0, false},
		{"changed path", secret, func(w http.ResponseWriter, r *http.Request) {
			r.URL.Path = "/other"
			own.ServeHTTP(w, r)
		}, 0, false},
		{"changed reply body", secret, func(w http.ResponseWriter, r *http.Request) {
			buffered := httptest.NewRecorder()
			own.ServeHTTP(buffered, r)
			recorded = buffered.Result().Header
			w.Header().Set(HeaderProof, buffered.Header().Get(HeaderProof))
			w.WriteHeader(buffered.Code)
			_, _ = w.Write([]byte("re:other"))
		}, 1, true},
		{"reply to an earlier call", secret, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderProof, recorded.Get(HeaderProof))
			w.WriteHeader(http.StatusAccepted)
			_, _ = w.Write([]byte("re:hello"))
		}, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			served = 0
			server := httptest.NewServer(tt.server)
			defer server.Close()
			client := &http.Client{Transport: Transport(tt.credential, http.DefaultTransport)}
			resp, err := client.Post(server.URL+"/call", "text/plain", strings.NewReader("hello"))
			if err == nil {
				defer resp.Body.Close()
			}
			if errors.Is(err, ErrUntrusted) != tt.untrusted || served != tt.served {
				t.Fatalf("err %v, served %d; want untrusted %t, served %d", err, served, tt.untrusted, tt.served)
			}
			if tt.untrusted {
				return
			}
			body, _ := io.ReadAll(resp.Body)
			wantStatus := http.StatusUnauthorized
			if tt.served == 1 {
				wantStatus = http.StatusAccepted
			}
			if resp.StatusCode != wantStatus || (tt.served == 1 && string(body) != "re:hello") {
				t.Errorf("status %d, body %q", resp.StatusCode, body)
			}
		})
	}
}
