package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/retry"
	"github.com/radishshelf/radishshelf/samples"
)

// regenerationDelay is the pause before a sample is generated again, so that a sample that is repeatedly discarded or
// refused does not overload an upstream.
const regenerationDelay = 200 * time.Millisecond

// lastSamplePriority is the engine priority of the generation that completes its group.
const lastSamplePriority = -1

// groupRun generates the samples of one rollout group.
type groupRun struct {
	e        *Entry
	request  rolloutRequest
	template job
	keyID    string
	record   *requestRecord
	deadline time.Time
	// generations counts the generations; the count makes their ids unique.
	generations atomic.Int64
	// missing counts the samples that are not complete yet.
	missing atomic.Int64
}

// generationResult is the result of generating one sample: a complete sample or an error.
type generationResult struct {
	index  int
	sample samples.Sample
	err    error
}

// run generates and scores the samples and returns the complete group. It returns an *outcome.Refusal if a sample cannot
// be completed.
func (g *groupRun) run(ctx context.Context) (samples.Group, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	size := g.request.Size
	g.missing.Store(int64(size))
	results := make(chan generationResult, size)
	oneMissing := make(chan struct{})
	for index := range size {
		go func() { results <- g.completeSample(ctx, index, oneMissing) }()
	}
	list := make([]samples.Sample, size)
	if size == 1 {
		close(oneMissing)
	}
	for remaining := size; remaining > 0; remaining-- {
		result := <-results
		if result.err != nil {
			return samples.Group{}, g.groupRefusal(result.err)
		}
		list[result.index] = result.sample
		if g.missing.Add(-1) == 1 {
			close(oneMissing)
		}
	}
	if err := g.e.score(ctx, &g.template, list); err != nil {
		return samples.Group{}, g.groupRefusal(err)
	}
	return samples.Group{Trainer: g.request.Trainer, Policy: g.request.Policy, ID: g.request.Group, Samples: list}, nil
}

// groupRefusal returns the refusal of the whole group. Its outcome covers the generations of the other samples, which
// may have run.
func (g *groupRun) groupRefusal(err error) *outcome.Refusal {
	refusal := asRefusal(err)
	if g.generations.Load() > 1 && refusal.Outcome == outcome.NotRun {
		return withOutcome(refusal, outcome.MayHaveRun)
	}
	return refusal
}

// completeSample generates one sample until it is usable. oneMissing is closed when one sample of the group is missing;
// then a hedged copy may run on another upstream, and the first complete result is used.
func (g *groupRun) completeSample(ctx context.Context, index int, oneMissing <-chan struct{}) generationResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan generationResult, 2)
	currentUpstream := new(atomic.Pointer[string])
	startedAt := g.e.now()
	go func() { results <- g.generate(ctx, index, "", currentUpstream) }()
	copies := 1
	var hedgeAt <-chan time.Time
	for {
		select {
		case result := <-results:
			copies--
			if result.err == nil || copies == 0 {
				return result
			}
		case <-oneMissing:
			oneMissing = nil
			hedgeAt = g.hedgeTimer(startedAt)
		case <-hedgeAt:
			hedgeAt = nil
			if g.mayHedge(startedAt, copies) {
				copies++
				excluded := ""
				if name := currentUpstream.Load(); name != nil {
					excluded = *name
				}
				go func() { results <- g.generate(ctx, index, excluded, nil) }()
			}
		}
	}
}

// hedgeTimer fires when a sample that started at startedAt may be hedged. It is nil while that time is unknown.
func (g *groupRun) hedgeTimer(startedAt time.Time) <-chan time.Time {
	delay, known := g.e.retries.hedgeDelay()
	if !known {
		return nil
	}
	return time.After(max(0, delay-g.e.now().Sub(startedAt)))
}

// mayHedge reports whether a hedged copy may start, and counts it.
func (g *groupRun) mayHedge(startedAt time.Time, copies int) bool {
	now := g.e.now()
	hedge, _ := g.e.retries.mayHedge(retry.Straggler{
		Idempotent: true, Missing: int(g.missing.Load()), Copies: copies, Running: now.Sub(startedAt),
		DeadlineLeft: g.deadline.Sub(now),
	}, now)
	if hedge {
		g.e.metrics.hedges.Inc()
	}
	return hedge
}

// generate repeats the generation until one is usable as the sample, the deadline passes, or a refusal is not
// retryable.
func (g *groupRun) generate(ctx context.Context, index int, excluded string, currentUpstream *atomic.Pointer[string]) generationResult {
	for {
		sample, err := g.generateOnce(ctx, index, excluded, currentUpstream)
		if err == nil {
			return generationResult{index: index, sample: sample}
		}
		if !canRegenerate(err) {
			return generationResult{index: index, err: err}
		}
		select {
		case <-ctx.Done():
			return generationResult{index: index, err: g.e.applyCancelCause(ctx, err)}
		case <-time.After(regenerationDelay):
		}
	}
}

// canRegenerate reports whether a new generation may succeed. A generation has no side effects, so that it may be
// repeated whatever the outcome of the previous one.
func canRegenerate(err error) bool {
	switch asRefusal(err).Kind {
	case outcome.KindUpstreamFailed, outcome.KindLeaving, outcome.KindOverloaded, outcome.KindNoUpstream,
		outcome.KindOverQuota:
		return true
	}
	return false
}

// generateOnce runs one generation. It returns a refusal if the result must be discarded.
func (g *groupRun) generateOnce(
	ctx context.Context, index int, excluded string, currentUpstream *atomic.Pointer[string],
) (samples.Sample, error) {
	j := g.template
	j.id = g.template.id + "." + strconv.FormatInt(g.generations.Add(1), 10)
	j.excludedUpstream = excluded
	j.currentUpstream = currentUpstream
	if g.missing.Load() == 1 {
		j.priority = lastSamplePriority
	}
	startedAt := g.e.now()
	response := &bufferedResponse{limit: g.e.settings.MaxAnswerBufferBytes}
	delivered, err := g.e.execute(ctx, &j, g.keyID, response, g.record)
	if err != nil {
		return samples.Sample{}, err
	}
	text, ok := completionText(response.body, false)
	if !ok || response.status != http.StatusOK {
		return samples.Sample{}, discardedRefusal("the engine returned no completion, status "+strconv.Itoa(response.status), response.status)
	}
	sample, reason := g.e.newSample(&j, g.request.Group, index, g.request.Messages, text, delivered)
	if reason != "" {
		return samples.Sample{}, discardedRefusal(reason, response.status)
	}
	g.e.retries.recordLatency(g.e.now().Sub(startedAt))
	return sample, nil
}

// discardedRefusal returns the refusal for a generation that must not become a sample. A client error of the engine
// other than 429 is final, because another generation would fail in the same way.
func discardedRefusal(reason string, status int) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.Ran, Status: http.StatusBadGateway,
		Message: "a generation was discarded: " + reason, Remedy: "repeat the request with the same group id",
		RetryAfter: retryAfterBusy,
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		r.Kind, r.Status, r.RetryAfter = outcome.KindInvalid, http.StatusBadRequest, 0
		r.Remedy = "correct the messages or parameters"
	}
	return r
}
