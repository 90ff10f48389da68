package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/dataplane"
	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/samples"
)

// fakeSink stores groups in memory.
type fakeSink struct {
	mu         sync.Mutex
	groups     []samples.Group
	full       atomic.Bool
	noCapacity atomic.Bool
	block      chan struct{}
}

func (s *fakeSink) AddGroup(ctx context.Context, g samples.Group) error {
	if s.block != nil {
		select {
		case <-s.block:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = append(s.groups, g)
	return nil
}

func (s *fakeSink) Accepting() bool    { return !s.full.Load() }
func (s *fakeSink) PendingGroups() int { return 0 }

func (s *fakeSink) HasCapacity(string) bool { return !s.noCapacity.Load() }

func (s *fakeSink) stored() []samples.Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]samples.Group(nil), s.groups...)
}

func groupBody(id string, size int) string {
	return fmt.Sprintf(`{"policy":"toll","trainer":"coach","group":%q,"size":%d,"messages":[{"role":"user","content":"fare?"}]}`, id, size)
}

func newGroupTestEnv(t *testing.T) (*testEnv, *fakeSink) {
	sink := &fakeSink{}
	r := newTestEnv(t, func(o *Options) {
		o.Groups = sink
		o.Settings.RetryShare = 1
	})
	r.config.set(fleetconfig.KindRoute, "score", fleetconfig.Route{PathPrefix: "/score", Service: "scorer", Idempotent: true})
	r.config.set(fleetconfig.KindPolicy, "toll", fleetconfig.Policy{Trainer: "coach", Scorer: "score"})
	r.addUpstream("scorer-1", fleetconfig.UpstreamService, "scorer", newFakeAgent(t, respondWithText(`{"reward":0.5}`)))
	return r, sink
}

// Guards against incomplete, unlabelled or unscored groups: discarded and failed generations must be repeated. Also
// guards against generations whose group could not be stored.
func TestRolloutGroup(t *testing.T) {
	r, sink := newGroupTestEnv(t)
	var calls atomic.Int32
	r.addEngine(newFakeAgent(t, func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(dataplane.HeaderSample) != "true" {
			t.Error("the generation has no sample header")
		}
		switch calls.Add(1) {
		case 1:
			respond(w, "application/json", chatResponse, dataplane.Result{DiscardReason: "swap", Spans: []dataplane.Span{{Version: 7}}})
		case 2:
			respond(w, "application/json", chatResponse, dataplane.Result{CompletionTokens: 3, Spans: []dataplane.Span{{Version: 0, Tokens: 3}}})
		case 3:
			panic(http.ErrAbortHandler)
		default:
			respondWithChat(w, q)
		}
	}))
	got := r.do("POST", groupsPath, testSecret, groupBody("g1", 4))
	var response rolloutResponse
	if err := json.Unmarshal([]byte(got.body), &response); err != nil || got.status != 200 || len(response.Samples) != 4 {
		t.Fatalf("got %d %q", got.status, got.body)
	}
	groups := sink.stored()
	if len(groups) != 1 || calls.Load() != 7 {
		t.Fatalf("%d groups after %d generations", len(groups), calls.Load())
	}
	for i, s := range groups[0].Samples {
		if s.ID != fmt.Sprintf("g1/%d", i) || s.Reward == nil || *s.Reward != 0.5 || s.Completion != "the fare is 90" ||
			s.Workspace != "hraunvegur" || len(s.Spans) != 1 || s.Spans[0].Version != 7 {
			t.Fatalf("sample %d: %+v", i, s)
		}
	}
	sink.noCapacity.Store(true)
	r.do("POST", groupsPath, testSecret, groupBody("g1b", 1)).wantRefusal(t, outcome.KindOverloaded, outcome.NotRun)
	if calls.Load() != 7 {
		t.Fatalf("%d generations; a group was generated for a trainer without capacity", calls.Load())
	}
	sink.noCapacity.Store(false)
	sink.full.Store(true)
	r.do("POST", groupsPath, testSecret, groupBody("g2", 1)).wantRefusal(t, outcome.KindStoreDown, outcome.NotRun)
	r.do("POST", groupsPath, otherSecret, groupBody("g3", 1)).wantRefusal(t, outcome.KindNotFound, outcome.NotRun)
	r.do("POST", groupsPath, "", groupBody("g4", 1)).wantRefusal(t, outcome.KindUnauthorized, outcome.NotRun)
}

// Guards against acknowledging a group before it is durable.
func TestGroupAcknowledgedOnlyWhenDurable(t *testing.T) {
	r, sink := newGroupTestEnv(t)
	sink.block = make(chan struct{})
	r.addEngine(newFakeAgent(t, respondWithChat))
	got := r.do("POST", groupsPath, testSecret, groupBody("g1", 1), HeaderRequestTimeout, "300ms")
	if got.status == http.StatusOK || got.refusal.Outcome == outcome.NotRun.String() {
		t.Fatalf("got %d %q while the store hangs", got.status, got.body)
	}
}

// Guards against a group that waits for one slow engine although another engine could generate its last sample.
func TestLastMissingSampleIsHedged(t *testing.T) {
	r, sink := newGroupTestEnv(t)
	for range 32 {
		r.entry.retries.recordLatency(time.Millisecond)
	}
	var first atomic.Bool
	slow := func(w http.ResponseWriter, q *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-q.Context().Done()
			return
		}
		respondWithChat(w, q)
	}
	r.addUpstream("engine-1", fleetconfig.UpstreamEngine, "toll", newFakeAgent(t, slow))
	r.addUpstream("engine-2", fleetconfig.UpstreamEngine, "toll", newFakeAgent(t, slow))
	got := r.do("POST", groupsPath, testSecret, groupBody("g1", 3), HeaderRequestTimeout, "20s")
	if got.status != 200 || len(sink.stored()) != 1 || r.entry.metrics.hedges.Get() != 1 {
		t.Fatalf("got %d %q with %d hedges", got.status, got.body, r.entry.metrics.hedges.Get())
	}
}

// Guards against live requests that yield no sample, and against samples that delay or break the caller's response.
func TestLiveRequestIsStoredAsGroupOfOne(t *testing.T) {
	r, sink := newGroupTestEnv(t)
	r.addEngine(newFakeAgent(t, func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Secret", "x")
		respond(w, "text/event-stream", "data: {\"choices\":[{\"delta\":{\"content\":\"9\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"0\"}}]}\n\ndata: [DONE]\n\n",
			dataplane.Result{CompletionTokens: 2, Spans: []dataplane.Span{{Version: 7, Tokens: 2}}})
	}))
	got := r.do("POST", chatPath, testSecret, strings.Replace(chatBody, "{", `{"stream":true,`, 1))
	if got.err != nil || !strings.HasSuffix(got.body, "data: [DONE]\n\n") || got.header.Get("X-Secret") != "" {
		t.Fatalf("got %+v", got)
	}
	for end := time.Now().Add(5 * time.Second); len(sink.stored()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no group was stored within 5 s")
		}
	}
	if g := sink.stored()[0]; g.ID != got.header.Get(HeaderRequestID) || g.Trainer != "coach" || g.Samples[0].Completion != "90" {
		t.Fatalf("got %+v", g)
	}
	r.entry.liveSamples.limit = 0
	r.do("POST", chatPath, testSecret, strings.Replace(chatBody, "{", `{"stream":true,`, 1))
	if r.entry.metrics.groupsDropped.Get() != 1 || len(sink.stored()) != 1 {
		t.Fatal("a sample above the memory limit was not counted")
	}
}
