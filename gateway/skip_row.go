package gateway

import "github.com/radishshelf/radishshelf/hosting"

// skipRow counts and logs a row that cannot be decoded. The rows after it are still processed.
func (g *Gateway) skipRow(key hosting.RowKey, err error) {
	g.metrics.rowsSkipped(key.Table).Inc()
	g.opts.Log.Warn().Str("table", key.Table).Str("key", key.Key).Err(err).Msg("row skipped")
}
