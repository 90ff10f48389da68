package configstore

import (
	"context"
	"errors"

	"pgregory.net/rapid"

	"github.com/radishshelf/radishshelf/hosting"
)

// faultyTable loses the replies of commits. The commit itself is dropped, delayed or applied.
type faultyTable struct {
	hosting.Table
	t       *rapid.T
	delayed []hosting.Txn
}

func (f *faultyTable) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	f.deliver(ctx)
	lost := &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit", Err: errors.New("reply lost")}
	switch rapid.IntRange(0, 4).Draw(f.t, "fault") {
	case 0:
		return hosting.TxnResult{}, lost
	case 1:
		f.delayed = append(f.delayed, txn)
		return hosting.TxnResult{}, lost
	case 2:
		if _, err := f.Table.Commit(ctx, txn); err != nil {
			return hosting.TxnResult{}, err
		}
		return hosting.TxnResult{}, lost
	}
	return f.Table.Commit(ctx, txn)
}

func (f *faultyTable) Get(ctx context.Context, key string) (hosting.Row, error) {
	f.deliver(ctx)
	return f.Table.Get(ctx, key)
}

// deliver applies some of the delayed commits.
func (f *faultyTable) deliver(ctx context.Context) {
	for len(f.delayed) > 0 && rapid.Bool().Draw(f.t, "deliver") {
		_, _ = f.Table.Commit(ctx, f.delayed[0]) // the caller has already received an error
		f.delayed = f.delayed[1:]
	}
}
