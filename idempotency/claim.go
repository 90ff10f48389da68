package idempotency

import (
	"context"
	"encoding/json"

	"github.com/radishshelf/radishshelf/hosting"
)

// Claim is a claim row written by this process. The caller must end it with exactly one call of Release or Finish. As
// long as it is not ended, retries of the request are refused with the outcome "may have run".
type Claim struct {
	store    *Store
	key      string
	revision int64
	row      Row
}

// Release deletes the row of a request that did not run, so that a retry may run.
func (c *Claim) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := c.store.table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: c.key, Revision: c.revision}}, Deletes: []string{c.key},
	})
	return err
}

// Finish marks the request as done and stores its response. A nil response, or one whose body exceeds MaxResponseBytes,
// is not stored.
func (c *Claim) Finish(ctx context.Context, response *Response) error {
	if response != nil && len(response.Body) > MaxResponseBytes {
		response = nil
	}
	row := c.row
	row.State = Done
	row.Response = response
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err = c.store.table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: c.key, Revision: c.revision}},
		Puts:       []hosting.Put{{Key: c.key, Value: value}},
	})
	return err
}
