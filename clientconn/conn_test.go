package clientconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"
)

// scriptedConn ends at each read. Its writes return what is sent to results, and fail once it is closed.
type scriptedConn struct {
	net.Conn
	started chan struct{}
	results chan error
	closed  chan struct{}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.started <- struct{}{}
	select {
	case err := <-c.results:
		return len(p), err
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

// request is a request on a scripted connection, driven like net/http does.
type request struct {
	t     *testing.T
	wire  *scriptedConn
	conn  net.Conn
	trace *httptrace.ClientTrace
	end   chan error
}

func newRequest(t *testing.T, resp *http.Response) *request {
	t.Helper()
	wire := &scriptedConn{started: make(chan struct{}), results: make(chan error), closed: make(chan struct{})}
	dial := NewDialFunc(func(context.Context, string, string) (net.Conn, error) { return wire, nil })
	conn, err := dial(t.Context(), "tcp", "upstream")
	if err != nil {
		t.Fatal(err)
	}
	ctx, tracker := Track(t.Context())
	r := &request{t: t, wire: wire, conn: conn, trace: httptrace.ContextClientTrace(ctx), end: make(chan error, 1)}
	r.trace.GotConn(httptrace.GotConnInfo{Conn: conn})
	tracker.Accept(resp)
	return r
}

// write starts a write and returns its result.
func (r *request) write() <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := r.conn.Write([]byte("body"))
		done <- err
	}()
	<-r.wire.started
	return done
}

// read starts to read the end of the connection.
func (r *request) read() {
	go func() {
		_, err := r.conn.Read(make([]byte, 1))
		r.end <- err
	}()
}

// wantWaiting fails the test if the end was returned.
func (r *request) wantWaiting() {
	r.t.Helper()
	select {
	case err := <-r.end:
		r.t.Fatalf("the end was returned as %v before the request was sent", err)
	case <-time.After(10 * time.Millisecond):
	}
}

// wantEnd fails the test unless the end was returned: as a failure because of cause, or as io.EOF if cause is nil.
func (r *request) wantEnd(cause error) {
	r.t.Helper()
	var err error
	select {
	case err = <-r.end:
	case <-time.After(5 * time.Second):
		r.t.Fatal("the end was not returned")
	}
	var end *EndError
	if cause == nil && err != io.EOF || cause != nil && (!errors.As(err, &end) || !errors.Is(err, cause)) {
		r.t.Errorf("the end was returned as %v, want it because of %v", err, cause)
	}
}

var untilClose = &http.Response{ContentLength: -1}

// Guards against an end that is judged by the writes so far: a write in progress and the next one can still fail.
func TestEndWaitsForTheRequest(t *testing.T) {
	for name, failure := range map[string]error{"sent": nil, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, untilClose)
			first := r.write()
			r.read()
			r.wantWaiting()
			r.wire.results <- nil
			<-first
			r.wantWaiting()
			last := r.write()
			r.wantWaiting()
			r.wire.results <- failure
			r.trace.WroteRequest(httptrace.WroteRequestInfo{Err: <-last})
			r.wantEnd(failure)
		})
	}
}

// Guards against the same for the last bytes, which net/http flushes after it has reported the request as written.
func TestEndWaitsForTheFlush(t *testing.T) {
	for name, failure := range map[string]error{"sent": nil, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, untilClose)
			r.trace.WroteRequest(httptrace.WroteRequestInfo{})
			r.write()
			r.read()
			r.wantWaiting()
			r.wire.results <- failure
			r.wantEnd(failure)
		})
	}
}

// Guards against an end that is believed after a write took the error of the connection.
func TestEndAfterFailedWrite(t *testing.T) {
	r := newRequest(t, untilClose)
	done := r.write()
	r.wire.results <- syscall.ECONNRESET
	r.trace.WroteRequest(httptrace.WroteRequestInfo{Err: <-done})
	r.read()
	r.wantEnd(syscall.ECONNRESET)
}

// Guards against an end that is believed after the body of the request could not be read.
func TestEndAfterUnreadableRequest(t *testing.T) {
	r := newRequest(t, untilClose)
	r.trace.WroteRequest(httptrace.WroteRequestInfo{Err: io.ErrUnexpectedEOF})
	r.read()
	r.wantEnd(io.ErrUnexpectedEOF)
}

// Guards against a wait beyond the end of the request, when net/http closes its connection.
func TestEndOfClosedConnection(t *testing.T) {
	for name, writing := range map[string]bool{"during a write": true, "between two writes": false} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, untilClose)
			if writing {
				r.write()
			}
			r.read()
			r.wantWaiting()
			if err := r.conn.Close(); err != nil {
				t.Fatal(err)
			}
			r.wantEnd(net.ErrClosed)
		})
	}
}

// Guards against a wait where a length or chunks mark the end of the body.
func TestEndOfFramedResponse(t *testing.T) {
	for name, resp := range map[string]*http.Response{
		"length": {ContentLength: 4}, "chunks": {ContentLength: -1, TransferEncoding: []string{"chunked"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRequest(t, resp)
			r.read()
			r.wantEnd(nil)
		})
	}
}

// Guards against a wait that outlasts a timeout of the client.
func TestTimeoutEndsTheWait(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") // the test fails without a response
		_ = c.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	}()
	transport := &http.Transport{DialContext: NewDialFunc(nil)}
	ctx, tracker := Track(t.Context())
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), endlessBody{})
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	tracker.Accept(resp)
	if body, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%q passed for a whole response", body)
	}
}

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
