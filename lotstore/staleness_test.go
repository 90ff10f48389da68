package lotstore

import (
	"context"
	"strings"
	"testing"

	"github.com/radishshelf/radishshelf/standin/memory"
)

// Guards against a staleness metric that omits a delivery or does not report the staleness of the oldest sample.
func TestStalenessMetric(t *testing.T) {
	p := memory.New(memory.Options{})
	s := newTestStore(p.Table, p.Objects, nil)
	ctx := context.Background()
	for _, id := range []string{"g1", "g2", "g3", "g4"} {
		if err := s.AddGroup(ctx, testGroup(id, "text", 3, 5)); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 { // a repeated pull counts as another delivery
		if _, _, err := s.Pull(ctx, testTrainer, 0, 6); err != nil {
			t.Fatal(err)
		}
	}
	var text strings.Builder
	s.metrics.registry.WritePrometheus(&text)
	for _, want := range []string{
		`radishshelf_lot_staleness_versions_sum{trainer="` + testTrainer + `"} 2`,
		`radishshelf_lot_staleness_versions_count{trainer="` + testTrainer + `"} 2`,
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("no line %q in:\n%s", want, text.String())
		}
	}
}
