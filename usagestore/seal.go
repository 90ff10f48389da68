package usagestore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

// batchPageSize bounds the size of one read of batch rows to about 5 MB.
const batchPageSize = 50

// closingRow is the content of a closing row.
type closingRow struct {
	Term int64 `json:"term"`
}

// CloseWindow writes the closing row, after which no batch is added to the window.
func (r *Reporter) CloseWindow(ctx context.Context, start time.Time) error {
	key := closingKey(usage.WindowKey(start))
	_, err := r.opts.Table.Get(ctx, key)
	if err == nil {
		return nil
	}
	if !hosting.IsKind(err, hosting.KindNotFound) {
		return eris.Wrap(err, "close usage window")
	}
	term, ok := r.opts.Authority.MayAct(r.opts.Now())
	if !ok {
		return ErrNotHolder
	}
	value, err := json.Marshal(closingRow{Term: term})
	if err != nil {
		return eris.Wrapf(err, "encode %s", key)
	}
	_, err = r.putIfAbsent(ctx, key, hosting.Txn{Puts: []hosting.Put{{Key: key, Value: value}}})
	return err
}

// SealWindow aggregates the batches of a closed window and writes the sealed row, or returns the sealed row that exists
// already.
func (r *Reporter) SealWindow(ctx context.Context, start time.Time) (usage.SealedWindow, error) {
	key := sealedKey(usage.WindowKey(start))
	row, err := r.opts.Table.Get(ctx, key)
	if err == nil {
		return decodeSealed(key, row.Value)
	}
	if !hosting.IsKind(err, hosting.KindNotFound) {
		return usage.SealedWindow{}, eris.Wrap(err, "seal usage window")
	}
	counted, condition, err := r.readDedupState(ctx)
	if err != nil {
		return usage.SealedWindow{}, err
	}
	sealed, counted, err := r.aggregate(ctx, start, counted)
	if err != nil {
		return usage.SealedWindow{}, err
	}
	sealed, err = r.writeSealed(ctx, sealed, counted.Prune(start.Add(-r.opts.DedupRetention)), condition)
	if err == nil {
		r.skipped.Forget() // the batches of a sealed window are not decoded again
	}
	return sealed, err
}

// readDedupState reads the records that earlier seals have counted. The condition that it returns makes the write fail
// if another seal comes in between.
func (r *Reporter) readDedupState(ctx context.Context) (usage.DedupState, hosting.Condition, error) {
	row, err := r.opts.Table.Get(ctx, countedKey)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return usage.DedupState{}, hosting.Condition{Key: countedKey}, nil
	}
	if err != nil {
		return usage.DedupState{}, hosting.Condition{}, eris.Wrapf(err, "read %s", countedKey)
	}
	var counted usage.DedupState
	if err := json.Unmarshal(row.Value, &counted); err != nil {
		return usage.DedupState{}, hosting.Condition{}, eris.Wrapf(err, "decode %s", countedKey)
	}
	return counted, hosting.Condition{Key: countedKey, Revision: row.Revision}, nil
}

// aggregate adds up the batches of a window. Batch rows that cannot be decoded are kept and counted in the result.
func (r *Reporter) aggregate(
	ctx context.Context, start time.Time, counted usage.DedupState,
) (usage.SealedWindow, usage.DedupState, error) {
	sealer := usage.NewSealer(start, counted)
	prefix := batchPrefix + usage.WindowKey(start) + "/"
	after := ""
	unreadable := int64(0)
	for {
		rows, err := r.opts.Table.Scan(ctx, prefix, after, batchPageSize)
		if err != nil {
			return usage.SealedWindow{}, usage.DedupState{}, eris.Wrap(err, "read usage batches")
		}
		if len(rows) == 0 {
			sealed, counted, err := sealer.Seal()
			sealed.Unreadable = unreadable
			return sealed, counted, err
		}
		for _, row := range rows {
			batch, err := decodeBatch(row)
			if err == nil {
				sealer.Add(batch)
				continue
			}
			unreadable++
			if err := r.keepUnreadable(ctx, row, err); err != nil {
				return usage.SealedWindow{}, usage.DedupState{}, err
			}
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Reporter) writeSealed(
	ctx context.Context, sealed usage.SealedWindow, counted usage.DedupState, condition hosting.Condition,
) (usage.SealedWindow, error) {
	key := sealedKey(sealed.Window)
	sealedValue, err := json.Marshal(sealed)
	if err != nil {
		return usage.SealedWindow{}, eris.Wrapf(err, "encode %s", key)
	}
	countedValue, err := json.Marshal(counted)
	if err != nil {
		return usage.SealedWindow{}, eris.Wrapf(err, "encode %s", countedKey)
	}
	existing, err := r.putIfAbsent(ctx, key, hosting.Txn{
		Conditions: []hosting.Condition{condition},
		Puts:       []hosting.Put{{Key: key, Value: sealedValue}, {Key: countedKey, Value: countedValue}},
	})
	if err != nil {
		return usage.SealedWindow{}, err
	}
	if existing != nil {
		return decodeSealed(key, existing)
	}
	r.metrics.sealed.Inc()
	r.metrics.missing.AddInt64(sealed.Missing)
	r.metrics.repeated.AddInt64(sealed.Repeated)
	r.opts.Log.Info().Str("window", sealed.Window).Int64("batches", sealed.Batches).Int("workspaces", len(sealed.Reports)).
		Int64("missing", sealed.Missing).Int64("repeated", sealed.Repeated).Int64("unreadable", sealed.Unreadable).
		Msg("usage window sealed")
	return sealed, nil
}

func decodeSealed(key string, value []byte) (usage.SealedWindow, error) {
	var sealed usage.SealedWindow
	if err := json.Unmarshal(value, &sealed); err != nil {
		return usage.SealedWindow{}, eris.Wrapf(err, "decode %s", key)
	}
	return sealed, nil
}
