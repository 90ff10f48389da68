package peer

import (
	"crypto/subtle"
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/radishshelf/radishshelf/rpc"
)

// Limits of the peer port.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 30 * time.Second
	writeTimeout  = 30 * time.Second
	idleTimeout   = 90 * time.Second
	maxHeader     = 16 << 10
	// maxBody is above the largest group that a peer holds: 64 samples of a quarter megabyte.
	maxBody = 16 << 20
)

const bearer = "Bearer "

// NewHTTPServer returns the server of the peer port. When credential is not empty, callers must show it; a nil config
// means plain TCP.
func NewHTTPServer(s *Server, credential string, config *tls.Config) *http.Server {
	handler := http.MaxBytesHandler(rpc.NewPeerServer(s), maxBody)
	return &http.Server{
		Handler: requireCredential(credential, handler), TLSConfig: config, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func requireCredential(credential string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get("Authorization")
		if credential != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(bearer+credential)) != 1 {
			// The client closes the connection on its own when it cannot write the answer.
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error(
				"the shared credential of the fleet is missing or wrong; set credential_file on both sides"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Dialer makes clients of other entries.
type Dialer struct {
	scheme string
	client *http.Client
}

// NewDialer returns a Dialer that shows the credential.
func NewDialer(credential string, config *tls.Config, timeout time.Duration) *Dialer {
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	transport := &http.Transport{TLSClientConfig: config, MaxIdleConnsPerHost: 4, IdleConnTimeout: idleTimeout}
	return &Dialer{
		scheme: scheme,
		client: &http.Client{Timeout: timeout, Transport: showing{credential: credential, next: transport}},
	}
}

// Dial returns the client of the entry at a peer address.
func (d *Dialer) Dial(address string) rpc.Peer {
	return rpc.NewPeerProtobufClient(d.scheme+"://"+address, d.client)
}

// showing adds the credential to every call.
type showing struct {
	credential string
	next       http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s showing) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.credential != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", bearer+s.credential)
	}
	return s.next.RoundTrip(r)
}
