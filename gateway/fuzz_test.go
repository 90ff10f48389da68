package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/homes"
	"github.com/radishshelf/radishshelf/hosting"
	storerows "github.com/radishshelf/radishshelf/standin/rows"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Guards against a panic caused by the content of a watched row, and against a row that corrupts what is computed
// from all rows.
func FuzzWatchedRows(f *testing.F) {
	f.Add(int64(1), []byte(`{"host":"b","incarnation":"1","sequence":4,"limits":{"limits":[{"upstream":"p1","born":0,"service":"desk","limit":1e308,"heard_at_ms":-9223372036854775808},{"upstream":"e1","limit":-1},{"upstream":"e1","limit":1e-320,"heard_at_ms":9223372036854775807}],"demand":{"p1":{"callers":-1},"e1":{"background":1e308,"callers":1e308}}}}`))
	f.Add(int64(1), []byte(`{"host":"b","incarnation":"1","sequence":3,"load":{"e1":2},"tokens":{"e1":-5},"processor":0.5,"items":-7}`))
	f.Add(int64(2), []byte(`{"host":"api.example","owner":"a","total":9,"listed":-1,"done":"/w==","chunks":1}`))
	f.Add(int64(3), []byte(`{"ID":"e1","Service":"engines","Slots":-2,"State":"ready","Versions":{"fares":1}}`))
	f.Add(int64(4), []byte(`{"ends":[{"upstream":"p1","incarnation":"1"},{"upstream":"p1","incarnation":"1"},{}],"level":-3,"furthest":-9}`))
	f.Add(int64(5), []byte(`{"ends":null,"level":9000000000000000000}`))
	f.Fuzz(func(t *testing.T, version int64, value []byte) {
		g := New(Options{
			Host: "a", Incarnation: "1", DataCentre: "north-1", Rows: storerows.New(), Upstreams: newFakeUpstreams(),
			Duties: &fakeDuties{}, Codec: testCodec{}, Log: zerolog.Nop(), Registry: telemetry.NewRegistry(),
			Timing: Timing{UsageWindow: time.Second},
		})
		now := time.Now()
		g.applyOperatorRow(hosting.StoredRow{RowKey: hosting.RowKey{Key: "config"}, Value: testConfig(1)})
		g.mu.Lock()
		defer g.mu.Unlock()
		row := func(table, key string) hosting.StoredRow {
			return hosting.StoredRow{RowKey: hosting.RowKey{Table: table, Key: key}, Value: value, Version: version}
		}
		g.applyHeartbeat(row(heartbeatTable, "b"))
		g.applyJobRow(row(jobTable, "job-1"))
		g.putUpstream(row("upstreams", "e1"))
		g.applySuspectRow(row(suspectTable, caseKeyPrefix+"f"))
		if v := g.suspects.ledger.Check("f", now); v.Remaining < 0 || v.Deaths > 8 {
			t.Errorf("decision %+v", v)
		}
		if txn, shared := g.buildCaseTxn(); len(shared) > 0 {
			g.applyCaseResult(txn, shared, hosting.RowTxnResult{Committed: true, Version: version})
		}
		g.suspects.ledger.Expire(now.Add(24 * time.Hour))
		if n := g.suspects.ledger.Len(); n != 0 {
			t.Errorf("%d suspect cases never expire", n)
		}
		if host, _ := g.chooseOwner("trainer", homes.Regions{}, 100); host == "" {
			t.Error("no owner was chosen for a new job")
		}
		g.newSelector(selectorKey{sendScope: sendScope{service: engineService}, model: testModel}, now)
		g.startableItems(now)
		g.unfinishedItems()
		g.modelDemands([]string{testModel})
		g.loadOfPeers("e1")
		for _, u := range g.upstreams.All() {
			if share, next, limited := g.limits.Share(u, now); limited && (!(share >= 0) || next.Before(now)) {
				t.Errorf("a share of %v a second, the next request at %s", share, next)
			}
			g.limits.Sent(u, now)
		}
		g.limitsReport(now)
	})
}
