package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/agent/engineapi"
	"github.com/radishshelf/radishshelf/settings"
	"github.com/radishshelf/radishshelf/standin/arrivals"
)

func start(t *testing.T, change func(*Settings)) (*Engine, string) {
	t.Helper()
	s := Defaults()
	s.Policy, s.TokensPerSecond = "planner", 1000
	if change != nil {
		change(&s)
	}
	e := New(s, Options{Logger: zerolog.Nop(), Exit: func(int) {}})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, server.URL
}

func call(t *testing.T, method, url, body string, into any) int {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if into != nil {
		if err := json.Unmarshal(data, into); err != nil {
			t.Fatalf("%s: %v", data, err)
		}
	}
	return resp.StatusCode
}

const chat = `{"model":"planner","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`

// Guards against a failed swap, a lagging status or a probe without their visible effects, which would make the agent's
// tests of these faults meaningless.
func TestFailedSwapIsUnknownUntilProbe(t *testing.T) {
	_, url := start(t, func(s *Settings) { s.StatusLag = settings.Duration(time.Hour) })
	var status engineapi.Status
	call(t, "GET", url+engineapi.PathStatus, "", &status)
	order := `{"policy":"planner","version":2,"term":1}`
	if got := call(t, "POST", url+engineapi.PathActivate, order, nil); got != http.StatusInternalServerError {
		t.Errorf("activation of a version that is not staged: status %d", got)
	}
	call(t, "POST", url+engineapi.PathStage, order, nil)
	call(t, "POST", url+"/admin/faults", `{"fail_next_swap":true}`, nil)
	if got := call(t, "POST", url+engineapi.PathActivate, order, nil); got != http.StatusInternalServerError {
		t.Errorf("failed swap: status %d", got)
	}
	var response engineapi.ChatResponse
	call(t, "POST", url+engineapi.PathChat, chat, &response)
	if response.Labels[0].WeightVersion != 0 {
		t.Errorf("labels = %+v; want version 0", response.Labels)
	}
	call(t, "GET", url+engineapi.PathStatus, "", &status)
	if status.ActiveVersion != 1 || len(status.StagedVersions) != 1 {
		t.Errorf("lagging status = %+v; want the one before the orders", status)
	}
	call(t, "GET", url+engineapi.PathStatus+"?probe=true", "", &status)
	if status.ActiveVersion != 1 || len(status.StagedVersions) != 2 {
		t.Errorf("probed status = %+v; want version 1 and both staged", status)
	}
}

// Guards against an engine that accepts an older term although fencing is checked, or refuses it although the
// ignore_fencing fault is set.
func TestFencing(t *testing.T) {
	_, url := start(t, nil)
	stage := func(term string) int {
		return call(t, "POST", url+engineapi.PathStage, `{"policy":"planner","version":2,"term":`+term+`}`, nil)
	}
	if stage("5") != http.StatusOK || stage("4") != http.StatusConflict {
		t.Error("an older term was not refused")
	}
	call(t, "POST", url+"/admin/faults", `{"ignore_fencing":true}`, nil)
	if stage("4") != http.StatusOK {
		t.Error("an older term was refused despite the ignore_fencing fault")
	}
}

// Guards against a stage order that succeeds with generated weights although every source failed, and against one that
// stops at the first source, a peer without the version.
func TestStageFromPeer(t *testing.T) {
	_, peer := start(t, nil)
	_, url := start(t, nil)
	missing, have := peer+engineapi.PathWeights+"planner/7", peer+engineapi.PathWeights+"planner/1"
	stage := func(sources ...string) int {
		body, _ := json.Marshal(engineapi.Order{Policy: "planner", Version: 7, Sources: sources})
		return call(t, "POST", url+engineapi.PathStage, string(body), nil)
	}
	if got := stage(missing); got != http.StatusInternalServerError {
		t.Errorf("stage from a peer without the weights: status %d", got)
	}
	if got := stage(missing, have); got != http.StatusOK {
		t.Errorf("stage from the second source: status %d", got)
	}
}

// Guards against request priorities that have no effect and executions that are not recorded.
func TestPriorityOrder(t *testing.T) {
	e, url := start(t, func(s *Settings) { s.Slots, s.TokensPerSecond = 1, 20 })
	done := make(chan struct{}, 3)
	send := func(id, priority string) {
		req, _ := http.NewRequest("POST", url+engineapi.PathChat, bytes.NewReader([]byte(chat)))
		req.Header.Set(engineapi.HeaderRequestID, id)
		req.Header.Set(engineapi.HeaderPriority, priority)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		done <- struct{}{}
	}
	for i, id := range []string{"first", "low", "high"} {
		go send(id, []string{"0", "9", "1"}[i])
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			if running, queued := e.slots.counts(); running+queued == i+1 {
				break
			}
		}
	}
	for range 3 {
		<-done
	}
	if got := strings.Join(e.Executions(), " "); got != "first high low" {
		t.Errorf("executions = %q; want first, high, low", got)
	}
}

// Guards against prefix cache hits across workspaces, and against cache events that are reported without their delay.
func TestPrefixCache(t *testing.T) {
	e, url := start(t, func(s *Settings) { s.CacheBlockBytes, s.CacheBlocks = 8, 4 })
	prompt := func(salt string) int64 {
		req, _ := http.NewRequest("POST", url+engineapi.PathChat, strings.NewReader(chat))
		req.Header.Set(engineapi.HeaderCacheSalt, salt)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var response engineapi.ChatResponse
		if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
			t.Fatal(err)
		}
		return response.Usage.CachedTokens
	}
	if a, b, c := prompt("w1"), prompt("w1"), prompt("w2"); a != 0 || b == 0 || c != 0 {
		t.Errorf("cached tokens = %d, %d, %d; want none, some, none for the other workspace", a, b, c)
	}
	now := time.Now()
	if early := e.cache.eventsSince(0, now.Add(-time.Hour)); len(early.Added) != 0 {
		t.Errorf("events = %+v; want none before the delay", early)
	}
	if late := e.cache.eventsSince(0, now.Add(time.Hour)); len(late.Added) == 0 || len(late.Removed) == 0 {
		t.Errorf("events = %+v; want additions and evictions", late)
	}
}

// Guards against malformed requests that get no 400 response with a message, and against an arrival record that misses
// text from a request body or reports text that never arrived.
func TestMalformedRequestsAndArrivals(t *testing.T) {
	_, url := start(t, nil)
	for _, path := range []string{engineapi.PathChat, engineapi.PathStage, engineapi.PathActivate, "/admin/faults"} {
		var response engineapi.Error
		if got := call(t, "POST", url+path, `{"x`, &response); got != http.StatusBadRequest || response.Error.Message == "" {
			t.Errorf("%s: status %d, %+v; want 400 with a message", path, got, response)
		}
	}
	var seen arrivals.SeenResponse
	if call(t, "GET", url+"/admin/seen?text=never", "", &seen); seen.Seen {
		t.Error("text that never arrived was seen")
	}
	if call(t, "GET", url+"/admin/seen?text=%7B%22x", "", &seen); !seen.Seen {
		t.Error("text in a body was not seen")
	}
}
