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

// regenerationDelay keeps a sample that is discarded or refused again and again from using up an upstream.
const regenerationDelay = 200 * time.Millisecond

// lastSamplePriority is the engine priority of a generation that completes its group.
const lastSamplePriority = -1

// groupRun generates the samples of one rollout group.
type groupRun struct {
	e        *Entry
	request  rolloutRequest
	template job
	keyID    string
	record   *requestRecord
	deadline time.Time
	// generations numbers the generations, so that each has an id of its own.
	generations atomic.Int64
	// missing counts the samples that are not complete.
	missing atomic.Int64
}

// generationResult is the end of one generation: a complete sample or the reason why there is none.
type generationResult struct {
	index  int
	sample samples.Sample
	err    error
}

// run returns the complete group. It returns an *outcome.Refusal when a sample cannot be completed.
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

// groupRefusal covers the generations of the other samples: one of them may have run.
func (g *groupRun) groupRefusal(err error) *outcome.Refusal {
	refusal := *asRefusal(err)
	if g.generations.Load() > 1 && refusal.Outcome == outcome.NotRun {
		refusal.Outcome = outcome.MayHaveRun
	}
	return &refusal
}

// completeSample generates one sample until a result may be used. Once it is the last missing one, a second copy may run on
// another upstream; the first completeSample result under the sample's id wins.
func (g *groupRun) completeSample(ctx context.Context, index int, oneMissing <-chan struct{}) generationResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan generationResult, 2)
	currentUpstream := new(atomic.Pointer[string])
	begun := g.e.now()
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
			hedgeAt = g.hedgeTimer(begun)
		case <-hedgeAt:
			hedgeAt = nil
			if g.mayHedge(begun, copies) {
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

func (g *groupRun) hedgeTimer(startedAt time.Time) <-chan time.Time {
	delay, known := g.e.retries.hedgeDelay()
	if !known {
		return nil
	}
	return time.After(max(0, delay-g.e.now().Sub(startedAt)))
}

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

// generate repeats until a generation may become the sample, or until the deadline or a refusal that repeating cannot
// change.
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

// canRegenerate reports whether a new generation may succeed. A generation has no side effect, so that repeating it is
// safe whatever happened to the one before.
func canRegenerate(err error) bool {
	switch asRefusal(err).Kind {
	case outcome.KindUpstreamFailed, outcome.KindLeaving, outcome.KindOverloaded, outcome.KindNoUpstream,
		outcome.KindOverQuota:
		return true
	}
	return false
}

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
	begun := g.e.now()
	response := &bufferedResponse{limit: g.e.settings.MaxAnswerBufferBytes}
	delivered, err := g.e.execute(ctx, &j, g.keyID, response, g.record)
	if err != nil {
		return samples.Sample{}, err
	}
	text, ok := completionText(response.body, false)
	if !ok || response.status != http.StatusOK {
		return samples.Sample{}, discardedRefusal("the engine gave no completion, status "+strconv.Itoa(response.status), response.status)
	}
	sample, reason := g.e.newSample(&j, g.request.Group, index, g.request.Messages, text, delivered)
	if reason != "" {
		return samples.Sample{}, discardedRefusal(reason, response.status)
	}
	g.e.retries.recordLatency(g.e.now().Sub(begun))
	return sample, nil
}

func discardedRefusal(reason string, status int) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.Ran, Status: http.StatusBadGateway,
		Message: "a generation was discarded: " + reason, Remedy: "send the group again under the same id",
		RetryAfter: retryAfterBusy,
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		r.Kind, r.Status, r.RetryAfter = outcome.KindInvalid, http.StatusBadRequest, 0
		r.Remedy = "correct the messages or parameters"
	}
	return r
}
