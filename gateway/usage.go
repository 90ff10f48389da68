package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

const (
	// usageFlushInterval is the time between two flushes of counts to the store, so that a lost host loses at most
	// that much.
	usageFlushInterval = 900 * time.Millisecond
	// retainedWindows is how many windows a process keeps in memory after they were stored.
	retainedWindows = 6
)

// usageCounts holds the number of requests that began to run, by window and workspace.
type usageCounts map[int64]*windowCounts

// windowCounts holds the counts of one window, by workspace.
type windowCounts struct {
	Counts map[string]int64 `json:"counts"`
	dirty  bool
}

// windowOf returns the number of the usage window that contains t.
func (g *Gateway) windowOf(t time.Time) int64 {
	return t.UnixMilli() / max(g.opts.Timing.UsageWindow.Milliseconds(), 1)
}

// countUsage counts a request that begins to run now.
func (g *Gateway) countUsage(workspace string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.windowOf(g.timeOfDay())
	w, ok := g.usage[window]
	if !ok {
		w = &windowCounts{Counts: map[string]int64{}}
		g.usage[window] = w
	}
	w.Counts[workspace]++
	w.dirty = true
}

// usageKey returns the key of this process's counts in a window. The keys of a window are adjacent.
func (g *Gateway) usageKey(window int64) hosting.RowKey {
	return hosting.RowKey{Table: usageTable, Key: fmt.Sprintf("%s%s/%s", windowPrefix(window), g.opts.Host, g.opts.Incarnation)}
}

func windowPrefix(window int64) string { return fmt.Sprintf("%012d/", window) }

// usageFlushLoop stores the counts periodically until ctx ends.
func (g *Gateway) usageFlushLoop(ctx context.Context) {
	if !g.opts.UsageDuty {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, usageFlushInterval)
		g.flushUsage(ctx)
	}
}

// flushUsage stores the counts that changed. A row holds the total of its window, so that a repeated write changes
// nothing.
func (g *Gateway) flushUsage(ctx context.Context) {
	g.mu.Lock()
	var rows []hosting.StoredRow
	var flushed []*windowCounts
	oldest := g.windowOf(g.timeOfDay()) - retainedWindows
	for window, w := range g.usage {
		if w.dirty {
			value, err := json.Marshal(w)
			if err != nil {
				g.opts.Log.Error().Err(err).Msg("cannot encode usage")
				continue
			}
			rows = append(rows, hosting.StoredRow{RowKey: g.usageKey(window), Value: value})
			flushed = append(flushed, w)
			w.dirty = false
		} else if window < oldest {
			delete(g.usage, window)
		}
	}
	g.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	if _, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{Puts: rows}); err != nil {
		g.opts.Log.Info().Err(err).Msg("cannot store usage; will retry")
		g.mu.Lock()
		for _, w := range flushed {
			w.dirty = true
		}
		g.mu.Unlock()
	}
}

// sealUsage fixes the counts of a window in the store and returns them. The first process to seal a window decides
// what is reported.
func (g *Gateway) sealUsage(ctx context.Context, window int64) (map[string]int64, error) {
	prefix := windowPrefix(window)
	rows, _, err := readRange(ctx, g.opts.Rows, hosting.RowRange{Table: usageTable, From: prefix, To: prefix + "\x7f"}, g.recordStoreResponse)
	if err != nil {
		return nil, err
	}
	sum := windowCounts{Counts: map[string]int64{}}
	for _, r := range rows {
		var w windowCounts
		if err := json.Unmarshal(r.Value, &w); err != nil {
			g.skipRow(r.RowKey, err) // the counts of one process are lost, not the window
			continue
		}
		for workspace, n := range w.Counts {
			sum.Counts[workspace] += n
		}
	}
	value, err := json.Marshal(sum)
	if err != nil {
		return nil, err
	}
	key := hosting.RowKey{Table: sealedUsageTable, Key: prefix}
	result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
		Conditions: []hosting.StoredRow{{RowKey: key}}, Puts: []hosting.StoredRow{{RowKey: key, Value: value}},
	})
	if err != nil {
		return nil, err
	}
	if result.Committed {
		return sum.Counts, nil
	}
	sealed := windowCounts{}
	for _, r := range result.Current {
		if err := json.Unmarshal(r.Value, &sealed); err != nil {
			return nil, &hosting.Error{Kind: hosting.KindInvalid, Op: "sealed usage " + r.Key, Err: err}
		}
	}
	return maps.Clone(sealed.Counts), nil
}
