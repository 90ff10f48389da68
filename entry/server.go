package entry

import (
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/connguard"
	"github.com/radishshelf/radishshelf/connlimit"
)

// idleTimeout is how long a keep-alive connection may stay idle before it is closed.
const idleTimeout = 2 * time.Minute

// NewCallerGuard returns the guard of the caller port. Above its limits the connections that hold the most and give the least
// are closed; onClose is called for each.
func NewCallerGuard(s Settings, onClose func(connguard.Reason)) *connguard.Guard {
	heads := connguard.Heads{Bytes: s.MaxHeaderBytes, Timeout: s.HeaderTimeout.D()}
	return connguard.New(connguard.Options{
		Limits:  connlimit.Limits{Connections: s.MaxConnections, Bytes: int64(s.MaxConnectionBytes)},
		Heads:   func() connguard.Heads { return heads },
		OnClose: onClose,
	})
}

// NewCallerServer returns the HTTP server of the caller port, whose listener has to belong to g. It sets no read or write
// timeout: bodies and responses have a deadline per request, because a stream may last long.
func NewCallerServer(e *Entry, s Settings, g *connguard.Guard) *http.Server {
	return g.Server(&http.Server{
		Handler: e, ReadHeaderTimeout: s.HeaderTimeout.D(), MaxHeaderBytes: s.MaxHeaderBytes, IdleTimeout: idleTimeout,
		ErrorLog: quietLog(),
	})
}
