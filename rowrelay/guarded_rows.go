package rowrelay

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// guardedRows makes no calls while unreachable reports true.
type guardedRows struct {
	rows        hosting.Rows
	unreachable func() bool
}

var _ hosting.Rows = (*guardedRows)(nil)

// check returns the error of a call that is not made, or nil if the call may be made.
func (g *guardedRows) check(op string) error {
	if !g.unreachable() {
		return nil
	}
	return &hosting.Error{Kind: hosting.KindUnavailable, Op: op, Remedy: "try another peer; this one cannot reach the store"}
}

// Commit implements hosting.Rows.
func (g *guardedRows) Commit(ctx context.Context, txn hosting.RowTxn) (hosting.RowTxnResult, error) {
	if err := g.check("commit"); err != nil {
		return hosting.RowTxnResult{}, err
	}
	return g.rows.Commit(ctx, txn)
}

// Range implements hosting.Rows.
func (g *guardedRows) Range(ctx context.Context, r hosting.RowRange) (hosting.RowPage, error) {
	if err := g.check("range"); err != nil {
		return hosting.RowPage{}, err
	}
	return g.rows.Range(ctx, r)
}

// Parts implements hosting.Rows.
func (g *guardedRows) Parts(ctx context.Context, table string) ([]string, error) {
	if err := g.check("parts"); err != nil {
		return nil, err
	}
	return g.rows.Parts(ctx, table)
}

// Changes implements hosting.Rows.
func (g *guardedRows) Changes(
	ctx context.Context, table string, after int64, wait time.Duration,
) (hosting.RowChanges, error) {
	if err := g.check("changes"); err != nil {
		return hosting.RowChanges{}, err
	}
	return g.rows.Changes(ctx, table, after, wait)
}
