// Package rawhttp serves responses byte for byte, also such as no HTTP library writes.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server until the end of the test and returns its address, host:port. respond gets each request with its
// body unread; the connection is closed once it returns false.
func Serve(t testing.TB, respond func(conn *net.TCPConn, r *http.Request) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(conn.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serveConn(conn *net.TCPConn, respond func(*net.TCPConn, *http.Request) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !respond(conn, r) {
			return
		}
	}
}

// ServeText starts a server that responds to each request with a text once it has read the request.
func ServeText(t testing.TB, text string) string {
	t.Helper()
	return Serve(t, func(conn *net.TCPConn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, text)
		return err == nil
	})
}
