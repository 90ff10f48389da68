package idempotency

import (
	"context"
	"encoding/json"

	"github.com/radishshelf/radishshelf/hosting"
)

// Claim is a claim row that this process wrote. Exactly one of Release and Finish ends it; a claim that is not ended
// makes resends answer "may have run".
type Claim struct {
	store    *Store
	key      string
	revision int64
	row      Row
}

// Release removes the row of a request that did not run, so that a resend may run.
func (c *Claim) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := c.store.table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{{Key: c.key, Revision: c.revision}}, Deletes: []string{c.key},
	})
	return err
}

// Finish stores the answer of a request that ran. A nil answer, or one that is too large, is not kept.
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
