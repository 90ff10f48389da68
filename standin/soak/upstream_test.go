package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/platform/platformtest"
	"github.com/radishshelf/radishshelf/standin/rows"
)

// Guards against upstreams of the same name after two stops within the restart delay.
func TestReplacementsHaveDistinctNames(t *testing.T) {
	h := newHistory()
	s := &Soak{history: h, checker: newChecker(h), store: rows.New()}
	t.Cleanup(s.upstreams.close)
	var stopped []*upstream
	names := []string{"desk-0", "desk-1"}
	for _, name := range names {
		u, err := s.addUpstream(name, platformtest.PlainService)
		if err != nil {
			t.Fatal(err)
		}
		stopped = append(stopped, u)
	}
	for _, u := range stopped {
		u.OnCrash()
	}
	deadline := time.Now().Add(restartDelay + 10*time.Second)
	for len(s.upstreams.plain()) < len(stopped) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d replacements started", len(s.upstreams.plain()), len(stopped))
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, u := range s.upstreams.plain() {
		if slices.Contains(names, u.ID) {
			t.Errorf("a second upstream is named %s", u.ID)
		}
		names = append(names, u.ID)
	}
}
