package configstore

import (
	"context"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// outageAfterCommit starts an outage of the table after the first commit.
type outageAfterCommit struct{ *memory.Table }

func (o outageAfterCommit) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	result, err := o.Table.Commit(ctx, txn)
	o.Table.Faults.Set(memory.Faults{Outage: true})
	return result, err
}
