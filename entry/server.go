package entry

import (
	"net"
	"net/http"
	"time"
)

// idleTimeout closes connections on which no request follows.
const idleTimeout = 2 * time.Minute

// NewCallerServer returns the HTTP server of the caller port. Times for bodies and answers are set per request,
// because a stream may last for long.
func NewCallerServer(e *Entry, s Settings) *http.Server {
	return &http.Server{
		Handler: e, ReadHeaderTimeout: s.HeaderTimeout.D(), MaxHeaderBytes: s.MaxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: quietLog(),
	}
}

// Listen opens the caller port with its limit of connections.
func Listen(s Settings) (net.Listener, error) {
	l, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return nil, err
	}
	return newLimitedListener(l, s.MaxConnections), nil
}
