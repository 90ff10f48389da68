package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/hosting"
)

// firstReport returns the first report with any requests, or nil if there is none yet.
func (f *fakeDuties) firstReport() *usageReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.reports {
		if len(f.reports[i].counts) > 0 {
			return &f.reports[i]
		}
	}
	return nil
}

// Guards against a malformed usage row that prevents its window, and every later window, from being reported.
func TestMalformedUsageRowIsSkipped(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	for window := g.windowOf(time.Now()) - lookBackWindows - 1; window <= g.windowOf(time.Now())+1; window++ {
		w.store.Put(usageTable, windowPrefix(window)+"other/1", []byte(`{"counts":`))
	}
	if _, err := w.request(g, t.Context(), "/quote/1"); err != nil {
		t.Fatal(err)
	}
	w.eventually("the window is reported", func() bool { return w.duties.firstReport() != nil })
	if got := w.duties.firstReport().counts["north"]; got != 1 {
		t.Errorf("reported %d requests, want the one that was counted", got)
	}
}

// Guards against a report that the platform rejects permanently and that blocks the reports of all later windows.
func TestRejectedUsageReportBlocksNoOther(t *testing.T) {
	w := newTestCluster(t)
	first := int64(0)
	w.duties.rejects = func(window int64) error {
		if first == 0 {
			first = window
		}
		if window == first {
			return &hosting.Error{Kind: hosting.KindInvalid, Op: "usage report", Err: errors.New("window unknown")}
		}
		return nil
	}
	w.start("a")
	w.eventually("a later window is reported", func() bool {
		w.duties.mu.Lock()
		defer w.duties.mu.Unlock()
		return len(w.duties.reports) > 0
	})
}
