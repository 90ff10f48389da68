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

// A fixed seed gives the same verdict on every run; flags override both values. With 100 checks, the default, a lost
// reply that is taken for a commit goes undetected.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const leaseKey = "lease/usage"

var testWindow = usage.Window{Length: time.Minute}

// authority is a process that believes to hold the role from one revision of the lease row on.
type authority struct{ revision int64 }

func (a authority) MayAct(time.Time) (int64, bool) { return a.revision, a.revision > 0 }

func (a authority) Guard() (hosting.Condition, bool) {
	return hosting.Condition{Key: leaseKey, Revision: a.revision}, a.revision > 0
}

// hooked runs another action before a commit or report, to place it in the middle of a step.
type hooked struct {
	hosting.Table
	hosting.UsageSink
	skip int
	then func()
	// delay is the number of coming commits whose reply is lost and that take effect at deliver.
	delay   int
	delayed []hosting.Txn
}

func (h *hooked) Commit(ctx context.Context, txn hosting.Txn) (hosting.TxnResult, error) {
	h.before()
	if h.delay > 0 {
		h.delay--
		h.delayed = append(h.delayed, txn)
		return hosting.TxnResult{}, &hosting.Error{Kind: hosting.KindUnknown, Op: "table commit"}
	}
	return h.Table.Commit(ctx, txn)
}

func (h *hooked) deliver(ctx context.Context) {
	for _, txn := range h.delayed {
		_, _ = h.Table.Commit(ctx, txn)
	}
	h.delayed = nil
}

func (h *hooked) Report(ctx context.Context, report hosting.UsageReport) error {
	h.before()
	return h.UsageSink.Report(ctx, report)
}

func (h *hooked) before() {
	if then := h.then; then != nil && h.skip == 0 {
		h.then = nil
		then()
	}
	h.skip--
}

// world is one agent, one entry and the holders of role usage.
type world struct {
	ctx      context.Context
	platform *memory.Platform
	hooked   *hooked
	now      time.Time

	incarnation int
	recorder    *usage.Recorder
	agent       *Flusher
	retainer    *usage.Retainer
	entries     int
	entry       *Flusher
	reporter    *Reporter
	old         *Reporter

	truth map[string]usage.WorkspaceTotals
}

func newWorld() *world {
	w := &world{
		ctx: context.Background(), platform: memory.New(memory.Options{}), truth: map[string]usage.WorkspaceTotals{},
		now: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC),
	}
	w.hooked = &hooked{Table: w.platform.Table, UsageSink: w.platform.Usage}
	w.startAgent()
	w.startEntry()
	w.takeOver()
	return w
}

func (w *world) clock() time.Time { return w.now }

func (w *world) writer() *Writer { return NewWriter(w.hooked, fixedWindow, w.clock) }

func (w *world) flusher(source Source) *Flusher {
	return NewFlusher("test", w.writer(), source, FlusherOptions{MaxBatchRecords: 3}, zerolog.Nop(), telemetry.NewRegistry())
}

func (w *world) startAgent() {
	w.incarnation++
	w.recorder = usage.NewRecorder("agent/1", w.name())
	w.agent = w.flusher(NewRecorderSource(w.recorder))
}

func (w *world) name() string { return fmt.Sprintf("i%d", w.incarnation) }

func (w *world) startEntry() {
	w.entries++
	w.retainer = usage.NewRetainer(fmt.Sprintf("entry-1.%d", w.entries), 1000)
	w.entry = w.flusher(NewRetainerSource(w.retainer))
}

// takeOver gives the role to a new holder; the old one still believes that it holds the role.
func (w *world) takeOver() {
	result, err := w.platform.Table.Commit(w.ctx, hosting.Txn{Puts: []hosting.Put{{Key: leaseKey, Value: []byte(`{}`)}}})
	if err != nil {
		return
	}
	w.old = w.reporter
	w.reporter = NewReporter(ReporterOptions{
		Table: w.hooked, Sink: w.hooked, Authority: authority{result.Revision}, Window: fixedWindow,
		Grace: 20 * time.Second, Now: w.clock, Log: zerolog.Nop(), Registry: telemetry.NewRegistry(),
	})
}

// request runs one request at the agent; the entry receives the trailer.
func (w *world) request(workspace string, tokens int64) {
	rec := usage.Record{Workspace: workspace, PromptTokens: tokens, CompletionTokens: 2 * tokens, FinishedAt: w.now}
	seq := w.recorder.Add(rec)
	w.retainer.Retain("r", workspace, "planner", dataplane.Result{
		Upstream: "agent/1", Incarnation: w.name(), UsageSeq: seq, PromptTokens: tokens, CompletionTokens: 2 * tokens,
	}, w.now)
	f := w.truth[workspace]
	f.Requests++
	f.PromptTokens += tokens
	f.CompletionTokens += 2 * tokens
	w.truth[workspace] = f
}

// finish heals all faults and works until every window is reported.
func (w *world) finish() error {
	w.hooked.then = nil
	w.hooked.delay = 0
	w.hooked.deliver(w.ctx)
	w.platform.Table.Faults.Set(memory.Faults{})
	w.platform.Usage.Faults.Set(memory.Faults{})
	w.takeOver()
	for range 4 {
		if err := w.agent.Flush(w.ctx); err != nil {
			return err
		}
		if err := w.entry.Flush(w.ctx); err != nil {
			return err
		}
		w.now = w.now.Add(2 * testWindow.Length)
		if err := w.reporter.Step(w.ctx); err != nil {
			return err
		}
	}
	return nil
}

// totals sums what the sink accepted.
func (w *world) totals() (map[string]usage.WorkspaceTotals, error) {
	sums := map[string]usage.WorkspaceTotals{}
	for _, report := range w.platform.Usage.List() {
		if report.Conflicts > 0 {
			return nil, fmt.Errorf("report %s was sent with different figures", report.ID)
		}
		var f usage.WorkspaceTotals
		if err := json.Unmarshal(report.Body, &f); err != nil {
			return nil, err
		}
		sum := sums[f.Workspace]
		sum.Requests += f.Requests
		sum.PromptTokens += f.PromptTokens
		sum.CompletionTokens += f.CompletionTokens
		sums[f.Workspace] = sum
	}
	return sums, nil
}

func fixedWindow() usage.Window { return testWindow }
