package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/telemetry"
)

// entryMetrics holds the metrics of the request path. The values of the label "workspace" come from the configuration,
// never from a caller, so that callers cannot create time series.
type entryMetrics struct {
	registry         *telemetry.Registry
	firstByte        *metrics.Histogram
	requestTime      *metrics.Histogram
	hedges           *metrics.Counter
	leaks            *metrics.Counter
	abortedResponses *metrics.Counter
	replays          *metrics.Counter
	groupsStored     *metrics.Counter
	groupsDropped    *metrics.Counter
}

func newEntryMetrics(registry *telemetry.Registry, e *Entry) *entryMetrics {
	m := &entryMetrics{
		registry:         registry,
		firstByte:        registry.GetOrCreateHistogram("radishshelf_entry_first_byte_seconds"),
		requestTime:      registry.GetOrCreateHistogram("radishshelf_entry_request_seconds"),
		hedges:           registry.GetOrCreateCounter("radishshelf_entry_hedges_total"),
		leaks:            registry.GetOrCreateCounter("radishshelf_entry_credential_leaks_refused_total"),
		abortedResponses: registry.GetOrCreateCounter("radishshelf_entry_answers_aborted_total"),
		replays:          registry.GetOrCreateCounter("radishshelf_entry_idempotent_replays_total"),
		groupsStored:     registry.GetOrCreateCounter("radishshelf_entry_groups_stored_total"),
		groupsDropped:    registry.GetOrCreateCounter("radishshelf_entry_groups_not_kept_total"),
	}
	registry.GetOrCreateGauge("radishshelf_entry_requests_in_progress", func() float64 {
		return float64(e.requests.inProgress())
	})
	registry.GetOrCreateGauge("radishshelf_entry_queue_length", func() float64 { return float64(e.gate.Waiting()) })
	return m
}

func (m *entryMetrics) recordRequest(workspace string, runOutcome outcome.Outcome, total time.Duration) {
	name := fmt.Sprintf("radishshelf_entry_requests_total{workspace=%q,outcome=%q}", workspace, runOutcome)
	m.registry.GetOrCreateCounter(name).Inc()
	m.requestTime.Update(total.Seconds())
}

// recordQueueWait has the label "workspace", as recordRefusal has: the service is judged by its worst-served workspace.
func (m *entryMetrics) recordQueueWait(workspace string, wait time.Duration) {
	name := fmt.Sprintf("radishshelf_entry_queue_wait_seconds{workspace=%q}", workspace)
	m.registry.GetOrCreateHistogram(name).Update(wait.Seconds())
}

func (m *entryMetrics) recordRefusal(workspace string, kind outcome.Kind) {
	name := fmt.Sprintf("radishshelf_entry_refusals_total{workspace=%q,kind=%q}", workspace, kind)
	m.registry.GetOrCreateCounter(name).Inc()
}

func (m *entryMetrics) recordRetry(reason string) {
	m.registry.GetOrCreateCounter(fmt.Sprintf("radishshelf_entry_retries_total{reason=%q}", reason)).Inc()
}
