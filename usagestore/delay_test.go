package usagestore

import (
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/standin/memory"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Guards against a delay metric that does not show reports delayed by an outage of the sink.
func TestReportDelayMetric(t *testing.T) {
	w := newHarness()
	registry := telemetry.NewRegistry()
	w.reporter.metrics = newReporterMetrics(registry)
	w.request("north", 5)
	if err := w.agentFlusher.Flush(w.ctx); err != nil {
		t.Fatal(err)
	}
	start := w.now
	w.now = start.Add(2 * testWindow.Length)
	w.platform.Usage.Faults.Set(memory.Faults{Outage: true})
	if err := w.reporter.Step(w.ctx); err == nil {
		t.Fatal("the sink is down, but the step succeeded")
	}
	w.platform.Usage.Faults.Set(memory.Faults{})
	w.now = start.Add(10 * testWindow.Length)
	if err := w.reporter.Step(w.ctx); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	registry.WritePrometheus(&text)
	// The window of one minute ended nine minutes before its report was accepted.
	if want := "radishshelf_usage_report_delay_seconds_sum 540\n"; !strings.Contains(text.String(), want) {
		t.Errorf("no line %q in:\n%s", want, text.String())
	}
}
