package callproof

import (
	"bytes"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"
)

// Require refuses requests that do not prove credential, and proves each reply of next. It holds request and reply in
// memory, so next must not stream and the caller must bound the request. An empty credential turns both off.
func Require(credential string, next http.Handler) http.Handler {
	if credential == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			writeError(w, twirp.Malformed.Error("the request body could not be read or is too large"))
			return
		}
		nonce := r.Header.Get(HeaderNonce)
		want := requestProof(credential, nonce, r.Method, r.URL.EscapedPath(), body)
		if nonce == "" || len(nonce) > maxNonceBytes || !equal(r.Header.Get(HeaderProof), want) {
			writeError(w, twirp.Unauthenticated.Error(
				"the proof of the shared credential of the fleet is missing or wrong; set the same credential_file on both sides"))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(response, r)
		w.Header().Set(HeaderProof, responseProof(credential, nonce, response.status, response.body.Bytes()))
		w.WriteHeader(response.status)
		// The caller finds out by itself when it cannot read the reply.
		_, _ = w.Write(response.body.Bytes())
	})
}

func writeError(w http.ResponseWriter, err twirp.Error) {
	// The caller finds out by itself when it cannot read the refusal.
	_ = twirp.WriteError(w, err)
}

// bufferedResponse keeps a reply until its proof can be computed.
type bufferedResponse struct {
	header  http.Header
	status  int
	started bool
	body    bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter; the first status counts.
func (b *bufferedResponse) WriteHeader(status int) {
	if !b.started {
		b.started, b.status = true, status
	}
}

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(data []byte) (int, error) {
	b.started = true
	return b.body.Write(data)
}
