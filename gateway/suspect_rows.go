package gateway

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/quarantine"
)

// caseKeyPrefix precedes the fingerprint in the row key of a case.
const caseKeyPrefix = "case/"

// fingerprintKeyRow is the row of the fingerprint key. The first process to start writes it; it never changes
// afterwards.
var fingerprintKeyRow = hosting.RowKey{Table: suspectTable, Key: "key"}

func caseRowKey(fingerprint string) hosting.RowKey {
	return hosting.RowKey{Table: suspectTable, Key: caseKeyPrefix + fingerprint}
}

// suspectWatch watches the table of suspect requests.
func (g *Gateway) suspectWatch() *tableWatch {
	w := g.newTableWatch(suspectTable, false)
	w.apply = func(c hosting.RowChange) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if c.Deleted {
			g.applyCaseRemoval(c.Key, c.Version)
			return
		}
		g.applySuspectRow(c.StoredRow)
	}
	w.reset = func(rows []hosting.StoredRow) {
		g.mu.Lock()
		defer g.mu.Unlock()
		present := map[string]bool{}
		for _, r := range rows {
			present[r.Key] = true
			w.recoverPanic("row of "+w.table, func() { g.applySuspectRow(r) })
		}
		for fingerprint, version := range g.suspects.rowVersions {
			if key := caseRowKey(fingerprint).Key; !present[key] {
				g.applyCaseRemoval(key, version+1)
			}
		}
		g.suspects.loaded = true
		g.suspects.wake()
	}
	return w
}

// applySuspectRow merges a row of the table. The caller holds g.mu.
func (g *Gateway) applySuspectRow(r hosting.StoredRow) {
	if r.Key == fingerprintKeyRow.Key {
		if len(r.Value) > 0 {
			g.suspects.fingerprintKey = quarantine.Key(r.Value)
		}
		return
	}
	fingerprint, ok := strings.CutPrefix(r.Key, caseKeyPrefix)
	if !ok || r.Version <= g.suspects.rowVersions[fingerprint] {
		return
	}
	var c quarantine.Case
	if err := json.Unmarshal(r.Value, &c); err != nil {
		g.skipRow(r.RowKey, err)
		return
	}
	g.suspects.rowVersions[fingerprint] = r.Version
	before := g.suspects.ledger.Check(fingerprint, time.Now()).Action
	if g.suspects.ledger.Merge(fingerprint, c, time.Now()) {
		g.suspects.markChanged(fingerprint)
	}
	if action := g.suspects.ledger.Check(fingerprint, time.Now()).Action; action != before {
		g.opts.Log.Info().Str("fingerprint", fingerprint).Int("ends", len(c.Ends)).Int("level", c.Level).
			Int64("row_version", r.Version).Stringer("action", action).Msg("suspect request updated from the store")
	}
}

// applyCaseRemoval handles the removal of a case row: the request was answered, or its case expired. The caller holds
// g.mu.
func (g *Gateway) applyCaseRemoval(key string, version int64) {
	fingerprint, ok := strings.CutPrefix(key, caseKeyPrefix)
	if !ok {
		return
	}
	if g.suspects.removedVersions[fingerprint] == version {
		delete(g.suspects.removedVersions, fingerprint) // removed by this process; anything counted since then is newer
		return
	}
	if version > g.suspects.rowVersions[fingerprint] {
		delete(g.suspects.rowVersions, fingerprint)
		g.suspects.ledger.Drop(fingerprint)
	}
}
