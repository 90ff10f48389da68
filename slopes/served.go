package slopes

import (
	"net"
	"net/http"
	"time"
)

// served is an HTTP server on loopback.
type served struct {
	server  *http.Server
	address string
}

func serve(handler http.Handler) (served, error) { return serveCounted(handler, &traffic{}) }

// serveCounted counts the bytes of the connections.
func serveCounted(handler http.Handler, count *traffic) (served, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return served{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(countedListener{listener, count}) }()
	return served{server: server, address: listener.Addr().String()}, nil
}
