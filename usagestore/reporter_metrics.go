package usagestore

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/radishshelf/radishshelf/telemetry"
)

type reporterMetrics struct {
	sealed    *metrics.Counter
	reported  *metrics.Counter
	missing   *metrics.Counter
	repeated  *metrics.Counter
	conflicts *metrics.Counter
	failed    *metrics.Counter
	skipped   *metrics.Counter
	delay     *metrics.Histogram
}

func newReporterMetrics(registry *telemetry.Registry) reporterMetrics {
	return reporterMetrics{
		sealed:    registry.GetOrCreateCounter("radishshelf_usage_windows_sealed_total"),
		reported:  registry.GetOrCreateCounter("radishshelf_usage_reports_accepted_total"),
		missing:   registry.GetOrCreateCounter("radishshelf_usage_records_missing_total"),
		repeated:  registry.GetOrCreateCounter("radishshelf_usage_records_repeated_total"),
		conflicts: registry.GetOrCreateCounter("radishshelf_usage_report_conflicts_total"),
		failed:    registry.GetOrCreateCounter("radishshelf_usage_report_errors_total"),
		skipped:   registry.GetOrCreateCounter("radishshelf_usage_rows_skipped_total"),
		delay:     registry.GetOrCreateHistogram("radishshelf_usage_report_delay_seconds"),
	}
}
