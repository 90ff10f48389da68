package usagestore

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
)

// putIfAbsent writes puts when key is absent and the role is still held. It returns the row's value if another
// transaction, or an earlier try of this one whose reply was lost, has written key.
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

func (r *Reporter) resolveLostReply(ctx context.Context, key string, cause error) ([]byte, error) {
	row, err := r.opts.Table.Get(ctx, key)
	if err != nil {
		return nil, eris.Wrapf(cause, "write %s, reply lost and row not found", key)
	}
	return row.Value, nil
}

// conditionError tells a lost role from another condition that did not hold; the latter is tried again at the next step.
func conditionError(guard hosting.Condition, current []hosting.Row, key string) error {
	for _, row := range current {
		if row.Key == guard.Key && row.Revision == guard.Revision {
			return fmt.Errorf("write %s: a row it depends on has changed; the next step reads it again", key)
		}
	}
	return ErrNotHolder
}
