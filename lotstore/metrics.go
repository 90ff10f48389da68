package lotstore

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishshelf/radishshelf/samples"
	"github.com/radishshelf/radishshelf/telemetry"
)

type storeMetrics struct {
	registry  *telemetry.Registry
	added     *metrics.Counter
	repeated  *metrics.Counter
	waited    *metrics.Counter
	formed    *metrics.Counter
	delivered *metrics.Counter
	voided    *metrics.Counter
	skipped   *metrics.Counter
}

func newStoreMetrics(registry *telemetry.Registry) storeMetrics {
	return storeMetrics{
		registry:  registry,
		added:     registry.GetOrCreateCounter("radishshelf_groups_added_total"),
		repeated:  registry.GetOrCreateCounter("radishshelf_groups_repeated_total"),
		waited:    registry.GetOrCreateCounter("radishshelf_groups_waited_for_store_total"),
		formed:    registry.GetOrCreateCounter("radishshelf_lots_formed_total"),
		delivered: registry.GetOrCreateCounter("radishshelf_lots_handed_over_total"),
		voided:    registry.GetOrCreateCounter("radishshelf_lots_void_total"),
		skipped:   registry.GetOrCreateCounter("radishshelf_lot_rows_skipped_total"),
	}
}

// recordDelivery counts a delivered lot and records the staleness of its oldest sample, in versions.
func (m *storeMetrics) recordDelivery(trainer string, age int64) {
	m.delivered.Inc()
	m.registry.GetOrCreateHistogram(fmt.Sprintf("radishshelf_lot_staleness_versions{trainer=%q}", trainer)).Update(float64(age))
}

func (m *storeMetrics) recordDiscarded(reason samples.Reason, n int) {
	m.registry.GetOrCreateCounter(`radishshelf_samples_discarded_total{reason="` + string(reason) + `"}`).Add(n)
}
