package usageview

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/operatorclient"
	"github.com/radishshelf/radishshelf/usage"
)

const (
	batchPrefix    = "usage/batch/"
	closingPrefix  = "usage/closing/"
	sealedPrefix   = "usage/sealed/"
	reportedPrefix = "usage/reported/"
)

// States of a window, in order of its life cycle.
const (
	stateOpen     = "open"
	stateClosing  = "closing"
	stateSealed   = "sealed"
	stateReported = "reported"
)

// Options configures a View.
type Options struct {
	Table hosting.Table
	// Window is called for each listing, since operators may change the length of the windows.
	Window func() usage.Window
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// View implements operatorapi.UsageSource.
type View struct{ opts Options }

// New returns a View.
func New(opts Options) *View {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &View{opts: opts}
}

// UsageWindows returns the windows that began within the last maxWindows window lengths and older windows that still
// have batch rows, oldest first.
func (v *View) UsageWindows(ctx context.Context) ([]operatorclient.UsageWindow, error) {
	names, err := v.windowNames(ctx)
	if err != nil {
		return nil, err
	}
	windows := make([]operatorclient.UsageWindow, 0, len(names))
	for _, name := range names {
		window, err := v.window(ctx, name)
		if err != nil {
			return nil, eris.Wrapf(err, "read usage window %s", name)
		}
		windows = append(windows, window)
	}
	return windows, nil
}

func (v *View) window(ctx context.Context, name string) (operatorclient.UsageWindow, error) {
	row, err := v.opts.Table.Get(ctx, sealedPrefix+name)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return v.unsealedWindow(ctx, name)
	}
	window := operatorclient.UsageWindow{Window: name, State: stateSealed}
	if err != nil {
		return window, err
	}
	var sealed usage.SealedWindow
	if err := json.Unmarshal(row.Value, &sealed); err != nil {
		return window, err
	}
	window.Workspaces = len(sealed.Reports)
	window.Reported, err = v.countReported(ctx, name, sealed.Reports)
	if err == nil && window.Reported == window.Workspaces {
		window.State = stateReported
	}
	return window, err
}

func (v *View) unsealedWindow(ctx context.Context, name string) (operatorclient.UsageWindow, error) {
	window := operatorclient.UsageWindow{Window: name, State: stateOpen}
	_, err := v.opts.Table.Get(ctx, closingPrefix+name)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return window, nil
	}
	window.State = stateClosing
	return window, err
}

// countReported returns the number of workspaces of a sealed window whose report the sink has accepted. The number of
// scans is bounded by the number of workspaces.
func (v *View) countReported(ctx context.Context, name string, reports []usage.SealedReport) (int, error) {
	prefix := reportedPrefix + name + "/"
	pending := make(map[string]bool, len(reports))
	for _, report := range reports {
		pending[prefix+url.PathEscape(report.Workspace)] = true
	}
	after := ""
	for range len(reports)/pageSize + 1 {
		rows, err := v.opts.Table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return 0, err
		}
		for _, row := range rows {
			delete(pending, row.Key)
			after = row.Key
		}
		if len(rows) < pageSize {
			break
		}
	}
	return len(reports) - len(pending), nil
}
