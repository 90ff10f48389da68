package usageview

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	// maxWindows bounds the windows found by their closing rows, which stay in the table, and those found by their
	// batch rows, which are deleted after the report. It covers two days of hourly windows.
	maxWindows = 48
	// pageSize bounds the rows of one scan.
	pageSize = 500
	// maxKeySuffix sorts after every character that occurs in a key.
	maxKeySuffix = "\xff"
)

// windowNames returns the names of the windows to list, oldest first.
func (v *View) windowNames(ctx context.Context) ([]string, error) {
	window := v.opts.Window()
	current := window.Start(v.opts.Now())
	length := window.End(current).Sub(current)
	found := map[string]bool{usage.WindowKey(current): true}
	if err := v.addClosed(ctx, current.Add(-maxWindows*length), found); err != nil {
		return nil, eris.Wrap(err, "read closed usage windows")
	}
	if err := v.addUnreported(ctx, found); err != nil {
		return nil, eris.Wrap(err, "read usage windows with batches")
	}
	return slices.Sorted(maps.Keys(found)), nil
}

// addClosed adds the newest windows with a closing row that began at oldest or later. It reads one page. There are more
// only after the window length was raised; those after the first page are then left out.
func (v *View) addClosed(ctx context.Context, oldest time.Time, found map[string]bool) error {
	rows, err := v.opts.Table.Scan(ctx, closingPrefix, closingPrefix+usage.WindowKey(oldest.Add(-time.Second)), pageSize)
	if err != nil {
		return err
	}
	for _, row := range rows[max(0, len(rows)-maxWindows):] {
		found[strings.TrimPrefix(row.Key, closingPrefix)] = true
	}
	return nil
}

// addUnreported adds the windows that still have batch rows. It reads one row per window and skips the rest.
func (v *View) addUnreported(ctx context.Context, found map[string]bool) error {
	after := ""
	for range maxWindows {
		rows, err := v.opts.Table.Scan(ctx, batchPrefix, after, 1)
		if err != nil || len(rows) == 0 {
			return err
		}
		name := windowOfBatch(rows[0])
		found[name] = true
		after = batchPrefix + name + "/" + maxKeySuffix
	}
	return nil
}

func windowOfBatch(batch hosting.Row) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(batch.Key, batchPrefix), "/")
	return name
}
