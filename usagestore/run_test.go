package usagestore

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// Guards against reports that are lost or changed by an outage of the sink, and against a closed window that still
// accepts batches.
func TestSinkOutageAndLateBatch(t *testing.T) {
	w := newHarness()
	w.request("north", 5)
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	w.request("north", 7)
	w.now = w.now.Add(2 * testWindow.Length)
	w.platform.Usage.Faults.Set(memory.Faults{Outage: true})
	if err := w.reporter.Step(w.ctx); !hosting.IsKind(err, hosting.KindUnavailable) {
		t.Fatalf("step with the sink down: %v", err)
	}
	sealed, err := w.platform.Table.Get(w.ctx, sealedKey("2026-03-01T10:00:00Z"))
	if err != nil {
		t.Fatalf("the window is not sealed while the sink is down: %v", err)
	}
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	if err := w.reportAll(); err != nil {
		t.Fatal(err)
	}
	after, err := w.platform.Table.Get(w.ctx, sealedKey("2026-03-01T10:00:00Z"))
	if err != nil || !bytes.Equal(sealed.Value, after.Value) {
		t.Fatalf("the sealed row changed: %s, %s, %v", sealed.Value, after.Value, err)
	}
	reports := w.platform.Usage.List()
	want := []string{
		`{"workspace":"north","window":"2026-03-01T10:00:00Z","requests":1,"prompt_tokens":5,"completion_tokens":10}`,
		`{"workspace":"north","window":"2026-03-01T10:01:00Z","requests":1,"prompt_tokens":7,"completion_tokens":14,"late_requests":1}`,
	}
	for i, report := range reports {
		if len(reports) != len(want) || string(report.Body) != want[i] {
			t.Fatalf("report %d of %d: %s", i, len(reports), report.Body)
		}
	}
}

// Guards against a process that closes or reports windows after it has lost the role.
func TestStepWithoutRole(t *testing.T) {
	w := newHarness()
	w.request("north", 5)
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	w.takeOver()
	w.now = w.now.Add(2 * testWindow.Length)
	if err := w.previous.Step(w.ctx); !errors.Is(err, ErrNotHolder) {
		t.Fatalf("step of the old holder: %v", err)
	}
	if _, err := w.platform.Table.Get(w.ctx, closingKey("2026-03-01T10:00:00Z")); !hosting.IsKind(err, hosting.KindNotFound) {
		t.Fatalf("the old holder closed the window: %v", err)
	}
}

// Guards against a report that the sink rejects and that blocks the reports of other workspaces and windows.
func TestConflictDoesNotBlockOthers(t *testing.T) {
	w := newHarness()
	err := w.platform.Usage.Report(w.ctx, hosting.UsageReport{ID: "2026-03-01T10:00:00Z/north", Body: []byte("other")})
	if err != nil {
		t.Fatal(err)
	}
	w.request("north", 5)
	w.request("south", 5)
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(testWindow.Length)
	w.request("south", 5)
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(2 * testWindow.Length)
	if err := w.reporter.Step(w.ctx); !hosting.IsKind(err, hosting.KindConflict) {
		t.Fatalf("step: %v", err)
	}
	if reports := w.platform.Usage.List(); len(reports) != 3 {
		t.Fatalf("%d reports, want the refused one and two of workspace south", len(reports))
	}
}

// Guards against a flusher or reporter that does not run at its interval or does not stop.
func TestRunWorksAtIntervalAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := memory.New(memory.Options{})
		recorder := usage.NewRecorder("agent", "i1")
		writer := NewWriter(p.Table, fixedWindow, time.Now)
		flusher := NewFlusher("agent", writer, NewRecorderSource(recorder), FlusherOptions{}, zerolog.Nop(), telemetry.NewRegistry())
		lease, err := p.Table.Commit(t.Context(), hosting.Txn{Puts: []hosting.Put{{Key: leaseKey}}})
		if err != nil {
			t.Fatal(err)
		}
		reporter := NewReporter(ReporterOptions{
			Table: p.Table, Sink: p.Usage, Authority: fakeAuthority{lease.Revision}, Window: fixedWindow, Log: zerolog.Nop(),
			Registry: telemetry.NewRegistry(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go flusher.Run(ctx)
		go reporter.Run(ctx)
		recorder.Add(usage.Record{Workspace: "north", FinishedAt: time.Now()})
		time.Sleep(DefaultFlushInterval + time.Second)
		if recorder.FlushedSeq() != 1 || recorder.Pending() != 0 {
			t.Fatal("not flushed after one interval")
		}
		time.Sleep(testWindow.Length + DefaultGrace + DefaultReportInterval)
		cancel()
		synctest.Wait()
		if reports := p.Usage.List(); len(reports) != 1 || reports[0].Received != 1 {
			t.Fatalf("reports %v", reports)
		}
	})
}
