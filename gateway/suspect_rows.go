package gateway

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/quarantine"
)

const (
	// suspectInterval is how often the exchange looks for work when nothing wakes it.
	suspectInterval = time.Second
	// suspectRetry follows a call that the store did not answer.
	suspectRetry = 200 * time.Millisecond
)

// fingerprintKeyRow holds the key of the fingerprints. Whoever starts first writes it, once for all time.
var fingerprintKeyRow = hosting.RowKey{Table: suspectTable, Key: "key"}

// suspectWatch follows the table of suspect requests.
func (g *Gateway) suspectWatch() *watch {
	w := g.newWatch(suspectTable, false)
	w.apply = func(c hosting.RowChange) { g.takeSuspectRow(c.StoredRow) }
	w.reset = func(rows []hosting.StoredRow) {
		for _, r := range rows {
			w.guarded("row of "+w.table, func() { g.takeSuspectRow(r) })
		}
		g.suspects.wake()
	}
	return w
}

func (g *Gateway) takeSuspectRow(r hosting.StoredRow) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Key == fingerprintKeyRow.Key && len(r.Value) > 0 {
		g.suspects.key = quarantine.Key(r.Value)
	}
}

// suspectLoop exchanges what is known of suspect requests with the other processes until ctx ends.
func (g *Gateway) suspectLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.suspects.kick:
		case <-time.After(suspectInterval):
		}
		if err := g.exchangeSuspects(ctx); err != nil && ctx.Err() == nil {
			g.opts.Log.Info().Err(err).Msg("suspect requests not exchanged yet")
			sleep(ctx, suspectRetry)
		}
	}
}

func (g *Gateway) exchangeSuspects(ctx context.Context) error {
	if err := g.ensureKey(ctx); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.ledger.Expire(time.Now())
	return nil
}

// ensureKey writes the key of the fingerprints, unless there is one.
func (g *Gateway) ensureKey(ctx context.Context) error {
	g.mu.Lock()
	known, ready := g.suspects.key != nil, !g.answeredAt.IsZero()
	g.mu.Unlock()
	if known || !ready {
		return nil
	}
	row := hosting.StoredRow{RowKey: fingerprintKeyRow, Value: quarantine.NewKey()}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: fingerprintKeyRow}}, Puts: []hosting.StoredRow{row},
	})
	if err != nil {
		return err
	}
	if result.Committed {
		g.takeSuspectRow(row)
		return nil
	}
	for _, r := range result.Current {
		g.takeSuspectRow(r)
	}
	return nil
}
