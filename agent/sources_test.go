package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/rpc"
)

// Guards against every engine of a data centre fetching from the rate-limited store, and against an engine that waits
// forever for another engine to become a source.
func TestStagingWaitsForPeerSource(t *testing.T) {
	a := &Agent{settings: Settings{PlatformAddress: "127.0.0.1:1"}}
	o := &orderReconciler{agent: a, wakeCh: make(chan struct{}, 1)}
	w := &rpc.WantedState{Policy: "planner", StageVersion: 7, ActivateVersion: 6}
	o.wanted, o.wantedSince = w, time.Now()
	if o.canStage(o.wanted, 7) {
		t.Error("fetches from the store although another engine is to do so")
	}
	if !o.canStage(o.wanted, 6) {
		t.Error("a restarted engine waits before it stages the version to activate")
	}
	o.updateSources(&rpc.WantedState{Policy: "planner", StageVersion: 7, ActivateVersion: 6, Sources: []string{"http://e2"}})
	if !o.canStage(o.wanted, 7) || len(o.wakeCh) != 1 {
		t.Error("a new source does not start the staging")
	}
	want := []string{"http://e2/control/weights/planner/7", "http://127.0.0.1:1/v1/weights/planner/7"}
	if got := o.newOrder(o.wanted, 7).Sources; !slices.Equal(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	if got := o.newOrder(o.wanted, 6).Sources; !slices.Equal(got, []string{"http://127.0.0.1:1/v1/weights/planner/6"}) {
		t.Errorf("sources of the version to activate: %v", got)
	}
	o.wanted, o.wantedSince = w, time.Now().Add(-storeFallbackDelay)
	if !o.canStage(o.wanted, 7) {
		t.Error("does not fetch from the store after storeFallbackDelay")
	}
}
