package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/quarantine"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

const (
	// suspectSyncInterval is the interval between passes of the loop when nothing wakes it.
	suspectSyncInterval = time.Second
	// suspectWriteDelay is the delay before a write: by then, most requests that ran beside a crash have been answered
	// elsewhere and need no row.
	suspectWriteDelay = 100 * time.Millisecond
	// suspectRetryDelay is the delay after a call to which the store did not respond.
	suspectRetryDelay = 200 * time.Millisecond
	// maxCasesPerTxn limits the rows of one transaction; the store accepts 100 entries, and each row needs two.
	maxCasesPerTxn = 40
)

// suspectSyncLoop shares the cases of this process with the other processes until ctx ends.
func (g *Gateway) suspectSyncLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.suspects.wakeCh:
		case <-time.After(suspectSyncInterval):
		}
		err := g.ensureFingerprintKey(ctx)
		if err == nil {
			sleep(ctx, suspectWriteDelay)
			err = g.writeSuspects(ctx)
		}
		if err != nil && ctx.Err() == nil {
			g.opts.Log.Info().Err(err).Msg("cannot synchronize suspect requests; will retry")
			sleep(ctx, suspectRetryDelay)
			g.suspects.wake()
		}
	}
}

// writeSuspects writes the rows of changed cases in one transaction. If some are left over, it wakes the loop again.
func (g *Gateway) writeSuspects(ctx context.Context) error {
	_, holder := g.mayAct()
	g.mu.Lock()
	for _, fingerprint := range g.suspects.ledger.Expire(time.Now()) {
		if holder {
			g.suspects.changed[fingerprint] = true // only the duty holder removes the rows of expired cases
		} else {
			delete(g.suspects.rowVersions, fingerprint)
		}
	}
	txn, written := g.buildCaseTxn()
	more := len(g.suspects.changed) > 0
	g.mu.Unlock()
	if len(written) == 0 {
		return nil
	}
	result, err := g.opts.Rows.Commit(ctx, txn)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		for _, fingerprint := range written {
			g.suspects.changed[fingerprint] = true
		}
		return err
	}
	g.applyCaseResult(txn, written, result)
	if more || !result.Committed {
		g.suspects.wake()
	}
	return nil
}

// buildCaseTxn returns the transaction that writes the rows of changed cases and removes those of closed ones, and the
// fingerprints in it. The caller holds g.mu.
func (g *Gateway) buildCaseTxn() (txn hosting.RowTxn, written []string) {
	for fingerprint := range g.suspects.changed {
		if len(written) >= maxCasesPerTxn {
			break
		}
		delete(g.suspects.changed, fingerprint)
		row := hosting.StoredRow{RowKey: caseRowKey(fingerprint), Version: g.suspects.rowVersions[fingerprint]}
		c, open := g.suspects.ledger.Case(fingerprint)
		switch {
		case open:
			value, err := json.Marshal(c)
			if err != nil {
				g.opts.Log.Error().Str("fingerprint", fingerprint).Err(err).
					Msg("cannot encode the case of a suspect request")
				continue
			}
			txn.Puts = append(txn.Puts, hosting.StoredRow{RowKey: row.RowKey, Value: value})
		case row.Version > 0:
			txn.Deletes = append(txn.Deletes, row.RowKey)
		default:
			continue // closed before it was written
		}
		txn.Conditions = append(txn.Conditions, row)
		written = append(written, fingerprint)
	}
	return txn, written
}

// applyCaseResult applies the result of a transaction. On a conflict, the rows of other processes are merged and the
// cases are scheduled to be written again. The caller holds g.mu.
func (g *Gateway) applyCaseResult(txn hosting.RowTxn, written []string, result hosting.RowTxnResult) {
	if result.Committed {
		for _, r := range txn.Puts {
			g.suspects.rowVersions[strings.TrimPrefix(r.Key, caseKeyPrefix)] = result.Version
		}
		for _, r := range txn.Deletes {
			fingerprint := strings.TrimPrefix(r.Key, caseKeyPrefix)
			delete(g.suspects.rowVersions, fingerprint)
			g.suspects.removedVersions[fingerprint] = result.Version
		}
		return
	}
	current := map[string]hosting.StoredRow{}
	for _, r := range result.Current {
		current[r.Key] = r
	}
	for _, fingerprint := range written {
		g.suspects.changed[fingerprint] = true
		if r, ok := current[caseRowKey(fingerprint).Key]; ok {
			g.applySuspectRow(r)
		} else {
			delete(g.suspects.rowVersions, fingerprint)
		}
	}
}

// claimProbe records in the store that this process sends a request as a probe, although its case is open. Only one of
// all processes succeeds.
func (g *Gateway) claimProbe(ctx context.Context, req *upstreamcall.Request, fingerprint string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeClaimTimeout)
	defer cancel()
	g.mu.Lock()
	c, _ := g.suspects.ledger.Case(fingerprint)
	row := hosting.StoredRow{RowKey: caseRowKey(fingerprint), Version: g.suspects.rowVersions[fingerprint]}
	// The check must hold for the row version that the write replaces.
	due := g.suspects.ledger.Check(fingerprint, time.Now()).Action == quarantine.Probe
	g.mu.Unlock()
	if !due {
		return false // another request or process has probed meanwhile
	}
	probed := c.WithProbe()
	value, err := json.Marshal(probed)
	if err != nil {
		g.opts.Log.Error().Str("fingerprint", fingerprint).Err(err).
			Msg("cannot encode the case of a suspect request")
		return false
	}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{row}, Puts: []hosting.StoredRow{{RowKey: row.RowKey, Value: value}},
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && !result.Committed {
		for _, r := range result.Current {
			g.applySuspectRow(r)
		}
		return false
	}
	g.suspects.ledger.Merge(fingerprint, probed, time.Now()) // a write without a response may have been committed
	if err != nil {
		g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Err(err).
			Msg("cannot claim the probe of a suspect request")
		return false
	}
	g.suspects.rowVersions[fingerprint] = result.Version
	g.metrics.suspectProbes.Inc()
	g.opts.Log.Info().Str("request", req.ID).Str("fingerprint", fingerprint).Int("level", probed.Level).
		Msg("suspect request sent as a probe")
	return true
}

// ensureFingerprintKey creates the key of the fingerprints if the store has none.
func (g *Gateway) ensureFingerprintKey(ctx context.Context) error {
	g.mu.Lock()
	wanted := g.suspects.fingerprintKey == nil && g.suspects.loaded
	g.mu.Unlock()
	if !wanted {
		return nil
	}
	row := hosting.StoredRow{RowKey: fingerprintKeyRow, Value: quarantine.NewKey()}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: fingerprintKeyRow}}, Puts: []hosting.StoredRow{row},
	})
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if result.Committed {
		g.applySuspectRow(row)
		return nil
	}
	for _, r := range result.Current {
		g.applySuspectRow(r)
	}
	return nil
}
