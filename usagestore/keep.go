package usagestore

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
)

// keepUnreadable logs a batch row that cannot be decoded and copies it below keptPrefix, because the batch row is
// deleted with its window and a later version may be able to read it.
func (r *Reporter) keepUnreadable(ctx context.Context, row hosting.Row, cause error) error {
	// The line comes before the writes: after a lost reply of a write it would not be known whether there is one.
	r.skipped.Skip(row.Key, cause)
	key := keptKey(row.Key)
	_, err := r.putIfAbsent(ctx, key, hosting.Txn{Puts: []hosting.Put{{Key: key, Value: row.Value}}})
	return err
}
