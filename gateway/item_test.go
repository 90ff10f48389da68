package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/radishshelf/radishshelf/batch"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// Guards against a text with an event that is missing or doubled after its upstream broke off, and against a text that
// starts again although it could go on.
func TestBrokenTextGoesOn(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 4, map[string]int64{testModel: 1})
	g := w.start("a")
	var mu sync.Mutex
	var resumed []int
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		mu.Lock()
		defer mu.Unlock()
		resumed = append(resumed, r.ResumeAfter)
		if len(resumed) == 1 {
			return stream(1, 2, false), nil
		}
		return nil, nil
	})
	w.mustSubmit(g, "job-1", testItems(1)...)
	results := w.readAll(g, "job-1")
	if results[0].Output != "event 1\nevent 2\nevent 3" || results[0].State != batch.Succeeded {
		t.Errorf("result %+v", results[0])
	}
	if len(resumed) != 2 || resumed[1] != 2 {
		t.Errorf("runs resumed after %v, want [0 2]", resumed)
	}
}

// Guards against an item that is abandoned too early or tried for ever.
func TestAbandonedItems(t *testing.T) {
	for _, c := range []struct {
		status, runs int
		state        batch.ResultState
	}{
		{http.StatusUnprocessableEntity, 1, batch.Abandoned}, {http.StatusInternalServerError, 3, batch.Abandoned},
	} {
		w := newTestCluster(t)
		g := w.start("a")
		w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Answer, error) { return signed(c.status, ""), nil })
		w.mustSubmit(g, "job-1", testItems(1)...)
		results := w.readAll(g, "job-1")
		if runs := w.upstreams.requests(func(upstreamcall.Request) bool { return true }); runs != c.runs || results[0].State != c.state {
			t.Errorf("status %d: %d runs, %s; want %d, %s", c.status, runs, results[0].State, c.runs, c.state)
		}
	}
}

// Guards against an item that is listed without its score, or abandoned before its score call failed as often as the
// route of that call allows.
func TestScores(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	failing := func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		if r.ID == "bad" {
			return signed(http.StatusInternalServerError, ""), nil
		}
		return nil, nil
	}
	w.upstreams.script(failing)
	items := testItems(2)
	for i, id := range []string{"good", "bad"} {
		items[i].Score = &batch.ScoreCall{ID: id, Host: testHost, Path: "/score/x"}
	}
	w.mustSubmit(g, "job-1", items...)
	for _, r := range w.readAll(g, "job-1") {
		want, score := batch.Succeeded, "signature"
		if r.ID == items[1].ID {
			want, score = batch.Abandoned, ""
		}
		if r.State != want || r.Score != score {
			t.Errorf("item %s: %s with score %q", r.ID, r.State, r.Score)
		}
	}
	if n := w.upstreams.requests(func(r upstreamcall.Request) bool { return r.ID == "bad" }); n != 4 {
		t.Errorf("%d score calls, the route allows 4", n)
	}
}

// Pattern: a score call with far more work than the others, wherever it runs. Guards against calls that are given up and
// begun again for ever, so that the item's group is never complete.
func TestLongScoreCallIsWaitedFor(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	const work = 2 * time.Second
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		if r.Upstream.Service == plainService && r.TimeLeft < work {
			time.Sleep(r.TimeLeft)
			return nil, &upstreamcall.Failure{Reason: upstreamcall.Silent, Outcome: outcome.MayHaveRun}
		}
		return nil, nil
	})
	items := testItems(1)
	items[0].Score = &batch.ScoreCall{ID: "s", Host: testHost, Path: "/score/x"}
	w.mustSubmit(g, "job-1", items...)
	if r := w.readAll(g, "job-1")[0]; r.Score != "signature" {
		t.Errorf("score %q", r.Score)
	}
}

// Guards against an item that waits for an upstream that has gone silent while another one would answer its score call.
func TestSilentScoreCallIsOvertaken(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("p2", plainService, 4, nil)
	g := w.start("a")
	silent, calls := make(chan struct{}), make(chan struct{}, 1)
	defer close(silent)
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		if r.Upstream.Service == plainService {
			select {
			case calls <- struct{}{}: // the first one
				<-silent
			default:
			}
		}
		return nil, nil
	})
	items := testItems(1)
	items[0].Score = &batch.ScoreCall{ID: "s", Host: testHost, Path: "/score/x"}
	started := time.Now()
	w.mustSubmit(g, "job-1", items...)
	if r := w.readAll(g, "job-1")[0]; r.Score != "signature" || time.Since(started) > 2*scorePatience {
		t.Errorf("score %q after %s, want one soon after %s", r.Score, time.Since(started), scorePatience)
	}
}

// Guards against a text that is labelled with weights that did not make it, or made by weights that are too old.
func TestOldWeightsAreNotUsed(t *testing.T) {
	w := newTestCluster(t)
	g := w.start("a")
	calls := 0
	w.upstreams.script(func(*upstreamcall.Request) (*upstreamcall.Answer, error) {
		a := stream(1, 3, true)
		if calls++; calls == 1 {
			a.Version = 0
			a = stream(1, 3, true)
			a.Version = -1
		}
		return a, nil
	})
	w.mustSubmit(g, "job-1", testItems(1)...)
	if r := w.readAll(g, "job-1")[0]; len(r.Versions) != 1 || r.Versions[0] != 1 {
		t.Errorf("labelled %v, want [1]", r.Versions)
	}
	if calls != 2 {
		t.Errorf("%d runs, want a second one after the old weights", calls)
	}
}

// Guards against a long text that an engine puts back for lack of memory, so that its step ends late, while it goes on with
// short ones: the engine takes the ranks in turn.
func TestLongTextsRankBeforeShortOnes(t *testing.T) {
	w := newTestCluster(t)
	w.addUpstream("e2", engineService, 8, map[string]int64{testModel: 1})
	g := w.start("a")
	items := testItems(6)
	for i := range items {
		items[i].LengthHint = 300
	}
	items[2].LengthHint = 9000
	var short sync.WaitGroup
	short.Add(len(items) - 1)
	w.upstreams.script(func(r *upstreamcall.Request) (*upstreamcall.Answer, error) {
		if r.ID == items[2].ID {
			short.Wait() // it lasts longer than all others
		} else {
			short.Done()
		}
		return nil, nil
	})
	w.mustSubmit(g, "job-1", items...)
	w.readAll(g, "job-1")
	w.upstreams.requests(func(r upstreamcall.Request) bool {
		if long := r.ID == items[2].ID; long != (r.Priority == decisivePriority) {
			t.Errorf("rank %d for item %s, long %t", r.Priority, r.ID, long)
		}
		return true
	})
}
