package usagestore

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// putIfAbsent commits txn if key is absent and the role is still held. It returns the value of the row if another
// transaction, or an earlier attempt of this one whose reply was lost, has written key.
func (r *Reporter) putIfAbsent(ctx context.Context, key string, txn hosting.Txn) ([]byte, error) {
	guard, ok := r.opts.Authority.Guard()
	if !ok {
		return nil, ErrNotHolder
	}
	txn.Conditions = append(txn.Conditions, guard, hosting.Condition{Key: key})
	result, err := r.opts.Table.Commit(ctx, txn)
	if hosting.IsKind(err, hosting.KindUnknown) {
		return r.resolveLostReply(ctx, key, err)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "write %s", key)
	}
	if result.Committed {
		return nil, nil
	}
	for _, row := range result.Current {
		if row.Key == key {
			return row.Value, nil
		}
	}
	return nil, conditionError(guard, result.Current, key)
}

// resolveLostReply reads key after a lost reply and returns its value. If the row is absent or cannot be read, the
// transaction may still be in transit, so that the error of the commit is returned.
func (r *Reporter) resolveLostReply(ctx context.Context, key string, cause error) ([]byte, error) {
	row, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return nil, eris.Wrapf(cause, "write %s: the reply was lost, and the row is absent or cannot be read", key)
	}
	return row.Value, nil
}

// conditionError returns ErrNotHolder if guard failed, or else an error for another failed condition, which the next
// step retries.
func conditionError(guard hosting.Condition, current []hosting.Row, key string) error {
	for _, row := range current {
		if row.Key == guard.Key && row.Revision == guard.Revision {
			return fmt.Errorf("write %s: a row that it depends on has changed; the next step retries", key)
		}
	}
	return ErrNotHolder
}
