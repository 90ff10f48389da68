package rowrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/rpc/relaypb"
)

// maxRelayWait bounds how long a relayed call for changes may wait.
const maxRelayWait = 5 * time.Second

// server makes direct calls on behalf of peers.
type server struct {
	direct hosting.Rows
}

// NewHandler returns the handler that makes direct calls of the store for peers. While unreachable reports that this
// process cannot reach the store itself, calls of peers fail at once.
func NewHandler(direct hosting.Rows, unreachable func() bool) http.Handler {
	relay := relaypb.NewStoreRelayServer(&server{direct: &guardedRows{rows: direct, unreachable: unreachable}})
	return http.MaxBytesHandler(relay, maxMessageBytes)
}

// Commit implements relaypb.StoreRelay.
func (s *server) Commit(ctx context.Context, req *relaypb.RelayCommitRequest) (*relaypb.RelayCommitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	txn := hosting.RowTxn{Conditions: decodeRows(req.GetConditions()), Puts: decodeRows(req.GetPuts())}
	for _, d := range req.GetDeletes() {
		txn.Deletes = append(txn.Deletes, decodeRow(d).RowKey)
	}
	result, err := s.direct.Commit(ctx, txn)
	return &relaypb.RelayCommitResponse{
		Error: encodeError(err), Committed: result.Committed, Version: result.Version,
		Current: encodeRows(result.Current), ClockMs: result.Clock.Milliseconds(),
	}, nil
}

// Range implements relaypb.StoreRelay.
func (s *server) Range(ctx context.Context, req *relaypb.RelayRangeRequest) (*relaypb.RelayRangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	page, err := s.direct.Range(ctx, hosting.RowRange{
		Table: req.GetTable(), Part: req.GetPart(), From: req.GetFrom(), To: req.GetTo(), Limit: int(req.GetLimit()),
	})
	return &relaypb.RelayRangeResponse{
		Error: encodeError(err), Rows: encodeRows(page.Rows), Truncated: page.Truncated, Version: page.Version,
		ClockMs: page.Clock.Milliseconds(),
	}, nil
}

// Parts implements relaypb.StoreRelay.
func (s *server) Parts(ctx context.Context, req *relaypb.RelayPartsRequest) (*relaypb.RelayPartsResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	parts, err := s.direct.Parts(ctx, req.GetTable())
	return &relaypb.RelayPartsResponse{Error: encodeError(err), Parts: parts}, nil
}

// Changes implements relaypb.StoreRelay.
func (s *server) Changes(ctx context.Context, req *relaypb.RelayChangesRequest) (*relaypb.RelayChangesResponse, error) {
	wait := min(milliseconds(req.GetWaitMs()), maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, directTimeout+wait)
	defer cancel()
	changes, err := s.direct.Changes(ctx, req.GetTable(), req.GetAfter(), wait)
	resp := &relaypb.RelayChangesResponse{
		Error: encodeError(err), Version: changes.Version, ClockMs: changes.Clock.Milliseconds(),
	}
	for _, c := range changes.Changes {
		row := encodeRow(c.StoredRow)
		row.Deleted = c.Deleted
		resp.Changes = append(resp.Changes, row)
	}
	return resp, nil
}

func encodeError(err error) *relaypb.RelayError {
	if err == nil {
		return nil
	}
	var failed *hosting.Error
	if errors.As(err, &failed) {
		return &relaypb.RelayError{Kind: string(failed.Kind), Message: failed.Error()}
	}
	return &relaypb.RelayError{Kind: string(hosting.KindUnknown), Message: err.Error()}
}
