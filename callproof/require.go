package callproof

import (
	"bytes"
	"io"
	"net/http"

	"github.com/twitchtv/twirp"
)

// Require returns a handler that rejects requests without a valid proof of credential, and adds a proof to each
// response of next. It buffers request and response in memory, so next must not stream and the size of requests must be
// limited before they reach the handler. An empty credential disables both.
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
		// A write error needs no handling: the caller fails to read the response.
		_, _ = w.Write(response.body.Bytes())
	})
}

func writeError(w http.ResponseWriter, err twirp.Error) {
	// A write error needs no handling: the caller fails to read the response.
	_ = twirp.WriteError(w, err)
}

// bufferedResponse buffers a response until its proof can be computed.
type bufferedResponse struct {
	header  http.Header
	status  int
	started bool
	body    bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter. Only the first call has an effect.
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
