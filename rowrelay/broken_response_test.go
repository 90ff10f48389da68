package rowrelay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/rpc/relaypb"
	"github.com/radishshelf/radishshelf/standin/rawhttp"
)

// testPeer returns a peer that calls an address as the gateway does.
func testPeer(address string) *Peer {
	return NewPeer(address, NewClient(new(net.Dialer).DialContext))
}

// Guards against a peer's response that ends no request and is believed, or waited for until the deadline.
func TestOddStatusOfPeer(t *testing.T) {
	body, err := proto.Marshal(&relaypb.RelayCommitResponse{Committed: true, Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, status := range []string{"000 None", "099 Low", "-00 Minus", "101 Switching Protocols", "150 Interim", "304 Not Modified", "600 High"} {
		t.Run(status, func(t *testing.T) {
			peer := testPeer(rawhttp.ServeText(t, fmt.Sprintf(
				"HTTP/1.1 %s\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var odd *httpstatus.Error
			if _, err := peer.Commit(ctx, hosting.RowTxn{}); !hosting.IsKind(err, hosting.KindUnknown) || !errors.As(err, &odd) {
				t.Errorf("commit: %v, want an unknown effect because of the status", err)
			}
			if _, err := peer.Range(ctx, hosting.RowRange{Table: "t"}); !hosting.IsKind(err, hosting.KindUnavailable) || !errors.As(err, &odd) {
				t.Errorf("range: %v, want it unavailable because of the status", err)
			}
			if ctx.Err() != nil {
				t.Error("the response was waited for until the deadline")
			}
		})
	}
}

// Guards against a part of a peer's response that counts as the whole because its connection was reset while the call was
// being sent.
func TestResetBesideCall(t *testing.T) {
	body, err := proto.Marshal(&relaypb.RelayCommitResponse{Committed: true, Version: 7})
	if err != nil {
		t.Fatal(err)
	}
	peer := testPeer(rawhttp.Serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n%s", body) // without it the call fails as well
		time.Sleep(5 * time.Millisecond)
		_ = conn.SetLinger(0) // resets the connection
		return false
	}))
	txn := hosting.RowTxn{Puts: []hosting.StoredRow{{RowKey: hosting.RowKey{Table: "t", Part: "p", Key: "k"}, Value: make([]byte, 8<<20)}}}
	for range 10 {
		if result, err := peer.Commit(t.Context(), txn); !hosting.IsKind(err, hosting.KindUnknown) {
			t.Errorf("%+v, %v, want an unknown effect", result, err)
		}
	}
}
