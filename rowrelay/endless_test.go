package rowrelay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// socketBuffers is more than the buffers of a loopback connection take without a reader.
const socketBuffers = 8 << 20

// newEndlessServer starts a server that sends prefix and then repeats a piece until the other side closes. It returns its
// address and the number of bytes sent.
func newEndlessServer(t *testing.T, prefix, piece string) (address string, sent *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	sent = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				go func() { _, _ = io.Copy(io.Discard, conn) }() // the request does not matter
				_, err := io.WriteString(conn, prefix)
				for chunk := strings.Repeat(piece, 1000); err == nil; {
					var n int
					n, err = io.WriteString(conn, chunk)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return listener.Addr().String(), sent
}

// Guards against a peer whose response never ends, in the header or the body, filling the memory of the caller.
func TestEndlessResponseOfAPeer(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, piece string
		most          int64
	}{
		"header": {"HTTP/1.1 200 OK\r\nX-Long: ", "no end ", socketBuffers},
		"body":   {"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n", "no end ", maxMessageBytes + socketBuffers},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := newEndlessServer(t, c.prefix, c.piece)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			peer := NewPeer(address, NewClient((&net.Dialer{}).DialContext))
			if _, err := peer.Range(ctx, hosting.RowRange{Table: "t"}); err == nil || ctx.Err() != nil {
				t.Errorf("%v, %v; want an error before the deadline", err, ctx.Err())
			}
			if n := sent.Load(); n > c.most {
				t.Errorf("%d bytes were taken, want at most %d", n, c.most)
			}
		})
	}
}

// Guards against a call of a peer that never ends filling the memory of the process that relays it.
func TestEndlessCallOfAPeer(t *testing.T) {
	handler := NewHandler(rows.New(), func() bool { return false })
	server := &http.Server{Handler: handler}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	defer server.Close()
	body := &endlessBody{}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+listener.Addr().String()+"/twirp/radishshelf.relay.StoreRelay/Range", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/protobuf")
	if response, err := http.DefaultClient.Do(req); err == nil {
		response.Body.Close()
	}
	if n := body.read.Load(); n > maxMessageBytes+4<<20 {
		t.Errorf("%d bytes of a call were taken", n)
	}
}

// endlessBody is a body without end, up to a size at which the test has failed.
type endlessBody struct{ read atomic.Int64 }

func (e *endlessBody) Read(p []byte) (int, error) {
	if e.read.Load() > 64<<20 {
		return 0, io.EOF
	}
	n := copy(p, bytes.Repeat([]byte("x"), len(p)))
	e.read.Add(int64(n))
	return n, nil
}
