package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// Guards against every engine of a data centre fetching from the rate-limited store, and against an engine that waits
// for ever for a copy.
func TestStagingWaitsForPeerSource(t *testing.T) {
	a := &Agent{settings: Settings{PlatformAddress: "127.0.0.1:1"}}
	o := &orderReconciler{agent: a, wakeCh: make(chan struct{}, 1)}
	w := &rpc.WantedState{Policy: "planner", StageVersion: 7, ActivateVersion: 6}
	o.wanted, o.wantedSince = w, time.Now()
	if o.canStage(o.wanted, 7) {
		t.Error("fetches although another engine was named for the store")
	}
	if !o.canStage(o.wanted, 6) {
		t.Error("a restarted engine waits for the version to serve")
	}
	o.updateSources(&rpc.WantedState{Policy: "planner", StageVersion: 7, ActivateVersion: 6, Sources: []string{"http://e2"}})
	if !o.canStage(o.wanted, 7) || len(o.wakeCh) != 1 {
		t.Error("a new source does not start the copy")
	}
	want := []string{"http://e2/control/weights/planner/7", "http://127.0.0.1:1/v1/weights/planner/7"}
	if got := o.newOrder(o.wanted, 7).Sources; !slices.Equal(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	if got := o.newOrder(o.wanted, 6).Sources; !slices.Equal(got, []string{"http://127.0.0.1:1/v1/weights/planner/6"}) {
		t.Errorf("sources of the version to serve: %v", got)
	}
	o.wanted, o.wantedSince = w, time.Now().Add(-storeFallbackDelay)
	if !o.canStage(o.wanted, 7) {
		t.Error("waits although the engine that fetches was given its time")
	}
}
