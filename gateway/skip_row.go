package gateway

import "github.com/radishshelf/radishshelf/hosting"

// skipRow notes a row that cannot be read. What it says is lost; the rows after it are not.
func (g *Gateway) skipRow(key hosting.RowKey, err error) {
	g.metrics.rowsSkipped(key.Table).Inc()
	g.opts.Log.Warn().Str("table", key.Table).Str("key", key.Key).Err(err).Msg("row skipped")
}
