package usagestore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

// scanPage bounds the rows of one read of batches to about 5 MB.
const scanPage = 50

// closing is the content of a closing row.
type closing struct {
	Term int64 `json:"term"`
}

// Close keeps later batches out of the window.
func (r *Reporter) Close(ctx context.Context, start time.Time) error {
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
	value, err := json.Marshal(closing{Term: term})
	if err != nil {
		return eris.Wrapf(err, "encode %s", key)
	}
	_, err = r.commitAbsent(ctx, key, hosting.Txn{Puts: []hosting.Put{{Key: key, Value: value}}})
	return err
}

// Seal fixes the figures of a closed window, or returns those that are fixed already.
func (r *Reporter) Seal(ctx context.Context, start time.Time) (usage.Sealed, error) {
	key := sealedKey(usage.WindowKey(start))
	row, err := r.opts.Table.Get(ctx, key)
	if err == nil {
		return decodeSealed(key, row.Value)
	}
	if !hosting.IsKind(err, hosting.KindNotFound) {
		return usage.Sealed{}, eris.Wrap(err, "seal usage window")
	}
	counted, condition, err := r.counted(ctx)
	if err != nil {
		return usage.Sealed{}, err
	}
	sealed, counted, err := r.figures(ctx, start, counted)
	if err != nil {
		return usage.Sealed{}, err
	}
	return r.writeSealed(ctx, sealed, counted.Prune(start.Add(-r.opts.Retention)), condition)
}

// counted reads what the seals so far have counted, and the condition that no other seal comes between.
func (r *Reporter) counted(ctx context.Context) (usage.Counted, hosting.Condition, error) {
	row, err := r.opts.Table.Get(ctx, countedKey)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return usage.Counted{}, hosting.Condition{Key: countedKey}, nil
	}
	if err != nil {
		return usage.Counted{}, hosting.Condition{}, eris.Wrapf(err, "read %s", countedKey)
	}
	var counted usage.Counted
	if err := json.Unmarshal(row.Value, &counted); err != nil {
		return usage.Counted{}, hosting.Condition{}, eris.Wrapf(err, "decode %s", countedKey)
	}
	return counted, hosting.Condition{Key: countedKey, Revision: row.Revision}, nil
}

func (r *Reporter) figures(
	ctx context.Context, start time.Time, counted usage.Counted,
) (usage.Sealed, usage.Counted, error) {
	sealer := usage.NewSealer(start, counted)
	prefix := batchPrefix + usage.WindowKey(start) + "/"
	after := ""
	for {
		rows, err := r.opts.Table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return usage.Sealed{}, usage.Counted{}, eris.Wrap(err, "read usage batches")
		}
		if len(rows) == 0 {
			return sealer.Seal()
		}
		for _, row := range rows {
			var batch usage.Batch
			if err := json.Unmarshal(row.Value, &batch); err != nil {
				return usage.Sealed{}, usage.Counted{}, eris.Wrapf(err, "decode %s", row.Key)
			}
			sealer.Add(batch)
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Reporter) writeSealed(
	ctx context.Context, sealed usage.Sealed, counted usage.Counted, condition hosting.Condition,
) (usage.Sealed, error) {
	key := sealedKey(sealed.Window)
	sealedValue, err := json.Marshal(sealed)
	if err != nil {
		return usage.Sealed{}, eris.Wrapf(err, "encode %s", key)
	}
	countedValue, err := json.Marshal(counted)
	if err != nil {
		return usage.Sealed{}, eris.Wrapf(err, "encode %s", countedKey)
	}
	held, err := r.commitAbsent(ctx, key, hosting.Txn{
		Conditions: []hosting.Condition{condition},
		Puts:       []hosting.Put{{Key: key, Value: sealedValue}, {Key: countedKey, Value: countedValue}},
	})
	if err != nil {
		return usage.Sealed{}, err
	}
	if held != nil {
		return decodeSealed(key, held)
	}
	r.metrics.sealed.Inc()
	r.metrics.missing.AddInt64(sealed.Missing)
	r.metrics.repeated.AddInt64(sealed.Repeated)
	r.opts.Log.Info().Str("window", sealed.Window).Int64("batches", sealed.Batches).Int("workspaces", len(sealed.Reports)).
		Int64("missing", sealed.Missing).Int64("repeated", sealed.Repeated).Msg("usage window sealed")
	return sealed, nil
}

func decodeSealed(key string, value []byte) (usage.Sealed, error) {
	var sealed usage.Sealed
	if err := json.Unmarshal(value, &sealed); err != nil {
		return usage.Sealed{}, eris.Wrapf(err, "decode %s", key)
	}
	return sealed, nil
}
