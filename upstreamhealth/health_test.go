package upstreamhealth

import (
	"testing"
	"time"
)

// Guards against requests that pile up at a failing upstream, and against an upstream that is never tried again.
func TestBackoffAndProbe(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	if !h.RecordFailure(now) || h.RecordFailure(now.Add(failureWindow/2)) {
		t.Error("failures of concurrent requests count more than once")
	}
	if h.Allowed(now.Add(initialBackoff / 2)) {
		t.Error("allowed during the backoff")
	}
	after := now.Add(initialBackoff)
	if n := fill(&h, after); len(n) != 1 {
		t.Errorf("%d probe requests after the backoff, want one", len(n))
	}
	h.RecordFailure(after)
	if h.Allowed(after.Add(initialBackoff)) {
		t.Error("the backoff did not double")
	}
	if !h.RecordSuccess() || len(fill(&h, after)) < maxFill {
		t.Error("not healthy after a successful request")
	}
}

// maxFill is more than any test allows in flight at an upstream that is suspect.
const maxFill = 20

// fill sends requests for as long as they are allowed.
func fill(h *Health, now time.Time) []*Attempt {
	var sent []*Attempt
	for len(sent) < maxFill && h.Allowed(now) {
		sent = append(sent, h.Begin())
	}
	return sent
}

// Guards against an upstream that gets nothing more until the end of a request, which may take as long as a text: of one sent
// before the failure, or of the probe, which shows with its first event that the upstream works.
func TestProbeNeedsNoCompleteResponse(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	before := fill(&h, now)
	h.RecordFailure(now)
	now = now.Add(initialBackoff)
	for _, want := range []int{1, 2, 4, 8} {
		sent := fill(&h, now)
		if len(sent) != want {
			t.Fatalf("%d requests after the ones before began to get responses, want %d", len(sent), want)
		}
		for _, a := range append(sent, before...) {
			a.Responding()
			a.Responding()
		}
	}
	if !h.Suspect() {
		t.Error("healthy although no request is complete")
	}
}

// Guards against a crowd of requests at an upstream that accepts them and never responds, and at one that responds for a
// moment only.
func TestFewRequestsAtUpstreamThatFailsAgain(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	h.RecordFailure(now)
	for range 5 {
		now = now.Add(2 * maxBackoff)
		probe := fill(&h, now)
		if len(probe) != 1 {
			t.Fatalf("%d probe requests, want one", len(probe))
		}
		probe[0].Responding()
		more := fill(&h, now)
		if len(more) != 2 {
			t.Fatalf("%d requests after the first event of the probe, want two", len(more))
		}
		for _, a := range append(probe, more...) {
			h.RecordFailure(now.Add(time.Millisecond))
			a.End()
		}
		if h.Allowed(now.Add(initialBackoff)) {
			t.Fatal("the backoff began anew although no request was complete")
		}
	}
}

// Guards against a probe that is cancelled, as by a caller who leaves, and holds back all further requests.
func TestCancelledProbeMakesRoom(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	h.RecordFailure(now)
	now = now.Add(initialBackoff)
	for range 3 {
		probe := fill(&h, now)
		if len(probe) != 1 {
			t.Fatalf("%d probe requests, want one", len(probe))
		}
		probe[0].End()
		probe[0].Responding()
	}
}

// Guards against a backoff that grows so long that a recovered upstream stays unused.
func TestBackoffIsBounded(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	for range 40 {
		now = now.Add(time.Minute)
		h.RecordFailure(now)
	}
	if !h.Allowed(now.Add(maxBackoff)) {
		t.Errorf("not allowed %s after the last failure", maxBackoff)
	}
}

// Guards against a slow upstream that never gets work again because there are no new observations.
func TestPaceExpires(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	for range 10 {
		now = now.Add(time.Millisecond)
		h.ObservePace(100*time.Millisecond, now)
	}
	if got := h.Pace(now); got != 100*time.Millisecond {
		t.Errorf("pace %s, want 100ms", got)
	}
	if got := h.Pace(now.Add(2 * maxPaceAge)); got != 0 {
		t.Errorf("pace %s long after the last observation, want none", got)
	}
}

// Guards against an engine that counts as slow because of one stall: with a dozen texts, a stall of 400 ms shows in all
// of them at the same moment. An engine that becomes slow must still be detected within half a second.
func TestPaceFollowsTimeNotObservationCount(t *testing.T) {
	const usual, texts = 40 * time.Millisecond, 12
	var h Health
	now := time.Unix(100, 0)
	round := func(pace time.Duration) {
		now = now.Add(pace)
		for range texts {
			h.ObservePace(pace, now)
		}
	}
	for range 50 {
		round(usual)
	}
	single := h
	single.ObservePace(10*usual, now.Add(time.Millisecond))
	if got := single.Pace(now); got > usual+usual/5 {
		t.Errorf("one late event of one text changes the pace to %s", got)
	}
	for range 4 {
		round(3 * usual)
	}
	if got := h.Pace(now); got < 2*usual-usual/4 {
		t.Errorf("pace %s after half a second at %s", got, 3*usual)
	}
}

// Guards against a text every 200 ms that an engine refuses while it loads weights, and against a pause that refusals of
// texts sent together make longer.
func TestRefusalsInARowPauseLonger(t *testing.T) {
	const pause = 200 * time.Millisecond
	var h Health
	now := time.Unix(100, 0)
	refusals := 0
	for end := now.Add(time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if h.IsBusy("m", now) {
			continue
		}
		refusals++
		for range 5 {
			h.RecordBusy("m", pause, now)
		}
	}
	if refusals != 3 {
		t.Errorf("refused %d times in a load of a second, want 3: at once, after 200 and after 600 ms", refusals)
	}
	h.ClearBusy("m")
	if h.IsBusy("m", now) {
		t.Error("busy after the end of the load was seen")
	}
	h.RecordBusy("m", pause, now)
	if !h.IsBusy("m", now.Add(pause/2)) || h.IsBusy("m", now.Add(pause)) {
		t.Error("the first refusal after a load does not pause for the usual time")
	}
}

// Guards against an engine that still counts as slow long after it has recovered, because the average follows slowly, and
// against one that counts as slow because of a single late event.
func TestLatestPaceFollowsAFewEvents(t *testing.T) {
	const usual = 50 * time.Millisecond
	var h Health
	now := time.Unix(100, 0)
	observe := func(pace time.Duration, times int) {
		for range times {
			now = now.Add(pace)
			h.ObservePace(pace, now)
		}
	}
	observe(3*usual, 20)
	observe(usual, latestObservations-1)
	if got := h.LatestPace(now); got != usual {
		t.Errorf("latest pace %s after %d events at %s; the average is %s", got, latestObservations-1, usual, h.Pace(now))
	}
	observe(3*usual, 1)
	if got := h.LatestPace(now); got != usual {
		t.Errorf("one late event makes the latest pace %s", got)
	}
	if got := h.LatestPace(now.Add(2 * maxPaceAge)); got != 0 {
		t.Errorf("latest pace %s long after the last event, want none", got)
	}
}

// Guards against an upstream that gets no control call any more because its last request failed, and against one that seems
// to answer because it did so before the failure.
func TestControlAnswersAfterAFailure(t *testing.T) {
	var h Health
	now := time.Unix(100, 0)
	h.RecordControlAnswer(now)
	if !h.AnswersControlCalls() {
		t.Error("an upstream without failures does not count as answering")
	}
	h.RecordFailure(now.Add(time.Second))
	if h.AnswersControlCalls() {
		t.Error("an answer from before the failure counts")
	}
	h.RecordControlAnswer(now.Add(2 * time.Second))
	if !h.AnswersControlCalls() || !h.Suspect() {
		t.Error("an answered control call must count for control calls, and not for requests")
	}
}
