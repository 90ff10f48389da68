package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/standin/engine"
	"github.com/radishshelf/radishshelf/standin/trainer"
	"github.com/radishshelf/radishshelf/trainerapi"
)

const (
	// swapFailureDuration is how long every weight swap of the first engine fails partway.
	swapFailureDuration = 4 * time.Second
	// activationTimeout bounds the activation on all engines after the swaps succeed again.
	activationTimeout = 20 * time.Second
)

// groupResponse is the part of the response to a rollout group that holds the weight versions.
type groupResponse struct {
	requestID string
	Samples   []struct {
		ID       string  `json:"id"`
		Versions []int64 `json:"versions"`
	} `json:"samples"`
}

// Guards against samples labelled with a guessed weight version after a weight swap failed partway. Every version of a
// sample must be one that an engine reported for a generation of its group.
func TestPartialSwap(t *testing.T) {
	t.Parallel()
	f := New(t, binaries, Options{
		Entries: []string{"sudur", "nordur"}, Engines: []string{"sudur", "nordur"}, Trainer: true, RecordEngines: true,
	})
	key, trainerKey := f.GrantKey(Hraunvegur).Secret, f.GrantTrainerKey()
	f.Platform.Memory.Weights.Put(Policy, 2, []byte("weights of version 2"))
	stop, failuresDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(failuresDone)
		f.failSwaps(f.Engines[0], stop)
	}()
	url := "http://" + f.Entries[0].CallerAddress + trainerapi.PathPrefix + TrainerName + "/versions"
	if a, err := Call(t.Context(), http.MethodPost, url, trainerKey, trainerapi.PublishRequest{Version: 2, Step: 2}); err != nil || a.Status >= http.StatusBadRequest {
		t.Fatalf("publish version 2: %v: %v", a, err)
	}
	var groups []groupResponse
	run := func() {
		id := fmt.Sprintf("swap-%d", len(groups))
		groups = append(groups, f.runGroup(f.Entries[len(groups)%2], key, id))
	}
	for end := time.Now().Add(swapFailureDuration); time.Now().Before(end); {
		run()
	}
	close(stop)
	<-failuresDone
	Eventually(t, activationTimeout, "version 2 is active on every engine", func() bool {
		run()
		return f.allActive(2)
	})
	run()
	f.checkVersions(groups)
	var ids []string
	for i := range groups {
		ids = append(ids, fmt.Sprintf("swap-%d", i))
	}
	f.checkTrained(ids, 4)
	var report trainer.Report
	ReadJSON(t, f.TrainerURL+"/admin/report", &report)
	for _, lot := range report.Lots {
		for _, v := range lot.Versions {
			if v != 1 && v != 2 {
				t.Errorf("lot %d contains version %d", lot.Number, v)
			}
		}
	}
}

// failSwaps makes every weight swap of an engine fail partway until stop closes.
func (f *Fleet) failSwaps(u *Upstream, stop <-chan struct{}) {
	set := func(fail bool) {
		_, _ = Call(f.t.Context(), http.MethodPost, u.URL+"/admin/faults", "", engine.Faults{FailNextSwap: fail})
	}
	defer set(false)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		set(true)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (f *Fleet) runGroup(e *Entry, key, id string) groupResponse {
	f.t.Helper()
	a, err := e.RunGroup(f.t.Context(), key, id, 4, 64)
	if err != nil || a.Status != http.StatusOK {
		f.t.Fatalf("group %s through %s: %v: %v", id, e.Name, a, err)
	}
	response := groupResponse{requestID: a.Header.Get("X-Request-Id")}
	if err := json.Unmarshal(a.Body, &response); err != nil {
		f.t.Fatalf("group %s: %v", id, err)
	}
	return response
}

// allActive reports whether a version is active on every engine.
func (f *Fleet) allActive(version int64) bool {
	f.t.Helper()
	for _, u := range f.Engines {
		var status engineapi.Status
		ReadJSON(f.t, u.URL+engineapi.PathStatus, &status)
		if status.ActiveVersion != version {
			return false
		}
	}
	return true
}

// checkVersions checks that the versions of each sample equal those that an engine reported for a generation of its group.
// Each generation matches one sample.
func (f *Fleet) checkVersions(groups []groupResponse) {
	f.t.Helper()
	reported, unknown := f.reportedVersions()
	for _, group := range groups {
		remaining := reported[group.requestID]
		for _, sample := range group.Samples {
			index := slices.IndexFunc(remaining, func(versions []int64) bool { return slices.Equal(versions, sample.Versions) })
			if index < 0 {
				f.t.Errorf("sample %s has versions %v; the engines reported %v", sample.ID, sample.Versions, remaining)
				continue
			}
			remaining = slices.Delete(remaining, index, index+1)
		}
	}
	if unknown == 0 {
		f.t.Error("no generation ran while the version was unknown, so the test did not cover this case")
	}
	f.t.Logf("%d groups, %d generations with an unknown version", len(groups), unknown)
}

// reportedVersions returns the versions of each generation, grouped by the request id of the rollout group, and the number
// of generations with an unknown version. The latter are left out of the map.
func (f *Fleet) reportedVersions() (byGroup map[string][][]int64, unknown int) {
	byGroup = map[string][][]int64{}
	for _, r := range f.Recorders {
		for id, labels := range r.Labels() {
			var versions []int64
			for _, label := range labels {
				if len(versions) == 0 || versions[len(versions)-1] != label.WeightVersion {
					versions = append(versions, label.WeightVersion)
				}
			}
			if slices.Contains(versions, 0) {
				unknown++
				continue
			}
			group := id[:max(0, strings.LastIndexByte(id, '.'))]
			byGroup[group] = append(byGroup[group], versions)
		}
	}
	return byGroup, unknown
}
