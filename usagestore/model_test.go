package usagestore

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
	"github.com/radishshelf/radishshelf/usage"
)

// A fixed seed gives the same result on every run; flags override both values. The default of 100 checks does not
// detect a lost reply that is treated as a commit.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const leaseKey = "lease/usage"

var testWindow = usage.Window{Length: time.Minute}

// fakeAuthority claims to hold the role under one revision of the lease row, even after the lease has moved on.
type fakeAuthority struct{ revision int64 }

func (a fakeAuthority) MayAct(time.Time) (int64, bool) { return a.revision, a.revision > 0 }

func (a fakeAuthority) Guard() (hosting.Condition, bool) {
	return hosting.Condition{Key: leaseKey, Revision: a.revision}, a.revision > 0
}

// interceptor runs a hook before a commit or report, so that a test can act in the middle of a step.
type interceptor struct {
	hosting.Table
	hosting.UsageSink
	callsBeforeHook int
	hook            func()
	// delayCount is the number of next commits whose reply is lost and that take effect in deliverDelayed.
	delayCount int
	delayed    []hosting.Txn
}

func (h *interceptor) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	h.runHook()
	if h.delayCount > 0 {
		h.delayCount--
		h.delayed = append(h.delayed, txn)
		return hosting.TxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit"}
	}
	return h.Table.Commit(ctx, txn)
}

func (h *interceptor) deliverDelayed(ctx context.Context) {
	for _, txn := range h.delayed {
		_, _ = h.Table.Commit(ctx, txn)
	}
	h.delayed = nil
}

func (h *interceptor) Report(ctx context.Context, report hosting.UsageReport) error {
	h.runHook()
	return h.UsageSink.Report(ctx, report)
}

func (h *interceptor) runHook() {
	if hook := h.hook; hook != nil && h.callsBeforeHook == 0 {
		h.hook = nil
		hook()
	}
	h.callsBeforeHook--
}

// harness holds one agent, one entry and the current and previous holder of role usage.
type harness struct {
	ctx         context.Context
	platform    *memory.Platform
	interceptor *interceptor
	now         time.Time

	incarnation  int
	recorder     *usage.Recorder
	agentFlusher *Flusher
	retainer     *usage.Retainer
	entryStarts  int
	entryFlusher *Flusher
	reporter     *Reporter
	previous     *Reporter
	// unreadable holds the values of the unreadable batch rows in the table by key.
	unreadable map[string]string
	// log receives the lines of the reporters made from now on.
	log zerolog.Logger

	expected map[string]usage.WorkspaceTotals
}

func newHarness() *harness {
	w := &harness{
		unreadable: map[string]string{},
		ctx:        context.Background(), platform: memory.New(memory.Options{}), expected: map[string]usage.WorkspaceTotals{},
		now: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC), log: zerolog.Nop(),
	}
	w.interceptor = &interceptor{Table: w.platform.Table, UsageSink: w.platform.Usage}
	w.startAgent()
	w.startEntry()
	w.takeOver()
	return w
}

func (w *harness) clock() time.Time { return w.now }

func (w *harness) writer() *Writer { return NewWriter(w.interceptor, fixedWindow, w.clock) }

func (w *harness) flusher(source Source) *Flusher {
	return NewFlusher("test", w.writer(), source, FlusherOptions{MaxBatchRecords: 3}, zerolog.Nop(), telemetry.NewRegistry())
}

func (w *harness) startAgent() {
	w.incarnation++
	w.recorder = usage.NewRecorder("agent/1", w.incarnationName())
	w.agentFlusher = w.flusher(NewRecorderSource(w.recorder))
}

func (w *harness) incarnationName() string { return fmt.Sprintf("i%d", w.incarnation) }

func (w *harness) startEntry() {
	w.entryStarts++
	w.retainer = usage.NewRetainer(fmt.Sprintf("entry-1.%d", w.entryStarts), 1000)
	w.entryFlusher = w.flusher(NewRetainerSource(w.retainer))
}

// takeOver gives the role to a new holder; the previous one does not notice that it has lost the role.
func (w *harness) takeOver() {
	result, err := w.platform.Table.Commit(w.ctx, hosting.Txn{Puts: []hosting.Put{{Key: leaseKey, Value: []byte(`{}`)}}})
	if err != nil {
		return
	}
	w.previous = w.reporter
	w.reporter = NewReporter(ReporterOptions{
		Table: w.interceptor, Sink: w.interceptor, Authority: fakeAuthority{result.Revision}, Window: fixedWindow,
		Grace: 20 * time.Second, Now: w.clock, Log: w.log, Registry: telemetry.NewRegistry(),
	})
}

// request records one request at the agent and retains it at the entry.
func (w *harness) request(workspace string, tokens int64) {
	rec := usage.Record{Workspace: workspace, PromptTokens: tokens, CompletionTokens: 2 * tokens, FinishedAt: w.now}
	seq := w.recorder.Add(rec)
	w.retainer.Retain("r", workspace, "planner", dataplane.Result{
		Upstream: "agent/1", Incarnation: w.incarnationName(), UsageSeq: seq, PromptTokens: tokens, CompletionTokens: 2 * tokens,
	}, w.now)
	totals := w.expected[workspace]
	totals.Requests++
	totals.PromptTokens += tokens
	totals.CompletionTokens += 2 * tokens
	w.expected[workspace] = totals
}

// reportAll clears all faults and runs steps until every window is reported.
func (w *harness) reportAll() error {
	w.interceptor.hook = nil
	w.interceptor.delayCount = 0
	w.interceptor.deliverDelayed(w.ctx)
	w.platform.Table.Faults.Set(memory.Faults{})
	w.platform.Usage.Faults.Set(memory.Faults{})
	w.takeOver()
	for range 4 {
		if err := w.agentFlusher.Flush(w.ctx); err != nil {
			return err
		}
		if err := w.entryFlusher.Flush(w.ctx); err != nil {
			return err
		}
		w.now = w.now.Add(2 * testWindow.Length)
		if err := w.reporter.Step(w.ctx); err != nil {
			return err
		}
	}
	return nil
}

// totals sums the accepted reports by workspace.
func (w *harness) totals() (map[string]usage.WorkspaceTotals, error) {
	sums := map[string]usage.WorkspaceTotals{}
	for _, report := range w.platform.Usage.List() {
		if report.Conflicts > 0 {
			return nil, fmt.Errorf("report %s was sent again with a different body", report.ID)
		}
		var totals usage.WorkspaceTotals
		if err := json.Unmarshal(report.Body, &totals); err != nil {
			return nil, err
		}
		sum := sums[totals.Workspace]
		sum.Requests += totals.Requests
		sum.PromptTokens += totals.PromptTokens
		sum.CompletionTokens += totals.CompletionTokens
		sums[totals.Workspace] = sum
	}
	return sums, nil
}

func fixedWindow() usage.Window { return testWindow }
