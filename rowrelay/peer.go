package rowrelay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/httpstatus"
	"github.com/radishshelf/radishshelf/rpc/relaypb"
)

// Peer is a client that calls the store through another process. It implements hosting.Rows.
type Peer struct {
	client relaypb.StoreRelay
}

var _ hosting.Rows = (*Peer)(nil)

// remedyReadRows is the remedy for a commit that may have taken effect.
const remedyReadRows = "read the rows before repeating the commit"

const (
	// maxMessageBytes bounds a relayed call and its response, which hold at most what one call of the store does.
	maxMessageBytes = 8 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// NewClient returns the HTTP client of calls to peers. dial opens its connections.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{Transport: &boundedTransport{
		base: httpstatus.NewTransport(&http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes}),
	}}
}

// boundedTransport ends the reading of responses that exceed maxMessageBytes; the generated client reads them to their end.
type boundedTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxMessageBytes)
	}
	return response, err
}

// NewPeer returns a client of the process at address, host:port.
func NewPeer(address string, client *http.Client) *Peer {
	return &Peer{client: relaypb.NewStoreRelayProtobufClient("http://"+address, client)}
}

// Commit implements hosting.Rows.
func (p *Peer) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	req := &relaypb.RelayCommitRequest{Conditions: encodeRows(txn.Conditions), Puts: encodeRows(txn.Puts)}
	for _, d := range txn.Deletes {
		req.Deletes = append(req.Deletes, &relaypb.RelayRow{Table: d.Table, Part: d.Part, Key: d.Key})
	}
	resp, err := p.client.Commit(ctx, req)
	if err := decodeError("relayed commit", hosting.KindUnknown, err, resp.GetError()); err != nil {
		return hosting.RowTxnResult{}, err
	}
	return hosting.RowTxnResult{
		Committed: resp.GetCommitted(), Version: resp.GetVersion(), Current: decodeRows(resp.GetCurrent()),
		Clock: milliseconds(resp.GetClockMs()),
	}, nil
}

// Range implements hosting.Rows.
func (p *Peer) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	resp, err := p.client.Range(ctx, &relaypb.RelayRangeRequest{
		Table: r.Table, Part: r.Part, From: r.From, To: r.To, Limit: int32(r.Limit),
	})
	if err := decodeError("relayed range", hosting.KindUnavailable, err, resp.GetError()); err != nil {
		return hosting.RowPage{}, err
	}
	return hosting.RowPage{
		Rows: decodeRows(resp.GetRows()), Truncated: resp.GetTruncated(), Version: resp.GetVersion(),
		Clock: milliseconds(resp.GetClockMs()),
	}, nil
}

// Parts implements hosting.Rows.
func (p *Peer) Parts(ctx context.Context, table string) ([]string, error) {
	resp, err := p.client.Parts(ctx, &relaypb.RelayPartsRequest{Table: table})
	if err := decodeError("relayed parts", hosting.KindUnavailable, err, resp.GetError()); err != nil {
		return nil, err
	}
	return resp.GetParts(), nil
}

// Changes implements hosting.Rows.
func (p *Peer) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	resp, err := p.client.Changes(ctx, &relaypb.RelayChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()})
	if err := decodeError("relayed changes", hosting.KindUnavailable, err, resp.GetError()); err != nil {
		return hosting.RowChanges{}, err
	}
	changes := hosting.RowChanges{Version: resp.GetVersion(), Clock: milliseconds(resp.GetClockMs())}
	for _, r := range resp.GetChanges() {
		changes.Changes = append(changes.Changes, hosting.RowChange{StoredRow: decodeRow(r), Deleted: r.GetDeleted()})
	}
	return changes, nil
}

// decodeError returns the store error that the peer received, or an error of kind peerErrorKind if the call of the peer
// failed. peerErrorKind is KindUnknown for commits only.
func decodeError(op string, peerErrorKind hosting.ErrorKind, err error, storeErr *relaypb.RelayError) error {
	var failed *hosting.Error
	switch {
	case err != nil:
		failed = &hosting.Error{Kind: peerErrorKind, Op: op, Err: err, Remedy: "try another peer"}
	case storeErr != nil:
		failed = &hosting.Error{
			Kind: hosting.ErrorKind(storeErr.GetKind()), Op: op, Err: errors.New(storeErr.GetMessage()), Remedy: "see the peer's log",
		}
	default:
		return nil
	}
	if peerErrorKind == hosting.KindUnknown && failed.Kind == hosting.KindUnknown {
		failed.Remedy = remedyReadRows
	}
	return failed
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
