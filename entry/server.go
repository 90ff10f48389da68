package entry

import (
	"net"
	"net/http"
	"time"
)

// idleTimeout is how long a keep-alive connection may stay idle before it is closed.
const idleTimeout = 2 * time.Minute

// NewCallerServer returns the HTTP server of the caller port. It sets no read or write timeout: bodies and responses
// have a deadline per request, because a stream may last long.
func NewCallerServer(e *Entry, s Settings) *http.Server {
	return &http.Server{
		Handler: e, ReadHeaderTimeout: s.HeaderTimeout.D(), MaxHeaderBytes: s.MaxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: quietLog(),
	}
}

// Listen opens the caller port and limits its open connections.
func Listen(s Settings) (net.Listener, error) {
	l, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, err
	}
	return newLimitedListener(l, s.MaxConnections), nil
}
