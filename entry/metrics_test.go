package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/telemetry"
)

// Guards against queue waits and refusals that are not reported by workspace.
func TestQueueWaitAndRefusalsByWorkspace(t *testing.T) {
	m := &entryMetrics{registry: telemetry.NewRegistry()}
	m.recordQueueWait("north", 2*time.Second)
	m.recordRefusal("south", outcome.KindOverQuota)
	var text strings.Builder
	m.registry.WritePrometheus(&text)
	for _, want := range []string{
		`radishshelf_entry_queue_wait_seconds_sum{workspace="north"} 2`,
		`radishshelf_entry_refusals_total{workspace="south",kind="over_quota"} 1`,
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("no line %q in:\n%s", want, text.String())
		}
	}
}
