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

// regenerationPause keeps a sample that is discarded or refused again and again from using up an upstream.
const regenerationPause = 200 * time.Millisecond

// urgentPriority is the engine priority of a generation that completes its group.
const urgentPriority = -1

// groupRun generates the samples of one rollout group.
type groupRun struct {
	e        *Entry
	request  rolloutRequest
	template job
	keyID    string
	record   *requestRecord
	deadline time.Time
	// tries numbers the generations, so that each has an id of its own.
	tries atomic.Int64
	// missing counts the samples that are not complete.
	missing atomic.Int64
}

// finished is the end of one generation: a complete sample or the reason why there is none.
type finished struct {
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
	ends := make(chan finished, size)
	last := make(chan struct{})
	for index := range size {
		go func() { ends <- g.complete(ctx, index, last) }()
	}
	list := make([]samples.Sample, size)
	if size == 1 {
		close(last)
	}
	for remaining := size; remaining > 0; remaining-- {
		end := <-ends
		if end.err != nil {
			return samples.Group{}, g.failed(end.err)
		}
		list[end.index] = end.sample
		if g.missing.Add(-1) == 1 {
			close(last)
		}
	}
	if err := g.e.score(ctx, &g.template, list); err != nil {
		return samples.Group{}, g.failed(err)
	}
	return samples.Group{Trainer: g.request.Trainer, Policy: g.request.Policy, ID: g.request.Group, Samples: list}, nil
}

// failed covers the generations of the other samples: one of them may have run.
func (g *groupRun) failed(err error) *outcome.Refusal {
	refusal := *asRefusal(err)
	if g.tries.Load() > 1 && refusal.Outcome == outcome.NotRun {
		refusal.Outcome = outcome.MayHaveRun
	}
	return &refusal
}

// complete generates one sample until a result may be used. Once it is the last missing one, a second copy may run on
// another upstream; the first complete result under the sample's id wins.
func (g *groupRun) complete(ctx context.Context, index int, last <-chan struct{}) finished {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan finished, 2)
	upstream := new(atomic.Pointer[string])
	begun := g.e.now()
	go func() { results <- g.generate(ctx, index, "", upstream) }()
	copies := 1
	var hedgeAt <-chan time.Time
	for {
		select {
		case end := <-results:
			copies--
			if end.err == nil || copies == 0 {
				return end
			}
		case <-last:
			last = nil
			hedgeAt = g.hedgeTimer(begun)
		case <-hedgeAt:
			hedgeAt = nil
			if g.mayHedge(begun, copies) {
				copies++
				avoid := ""
				if name := upstream.Load(); name != nil {
					avoid = *name
				}
				go func() { results <- g.generate(ctx, index, avoid, nil) }()
			}
		}
	}
}

func (g *groupRun) hedgeTimer(begun time.Time) <-chan time.Time {
	delay, known := g.e.retries.hedgeDelay()
	if !known {
		return nil
	}
	return time.After(max(0, delay-g.e.now().Sub(begun)))
}

func (g *groupRun) mayHedge(begun time.Time, copies int) bool {
	now := g.e.now()
	hedge, _ := g.e.retries.mayHedge(retry.Straggler{
		Idempotent: true, Missing: int(g.missing.Load()), Copies: copies, Running: now.Sub(begun),
		DeadlineLeft: g.deadline.Sub(now),
	}, now)
	if hedge {
		g.e.metrics.hedges.Inc()
	}
	return hedge
}

// generate repeats until a generation may become the sample, or until the deadline or a refusal that repeating cannot
// change.
func (g *groupRun) generate(ctx context.Context, index int, avoid string, upstream *atomic.Pointer[string]) finished {
	for {
		sample, err := g.once(ctx, index, avoid, upstream)
		if err == nil {
			return finished{index: index, sample: sample}
		}
		if !regenerate(err) {
			return finished{index: index, err: err}
		}
		select {
		case <-ctx.Done():
			return finished{index: index, err: g.e.explain(ctx, err)}
		case <-time.After(regenerationPause):
		}
	}
}

// regenerate reports whether a new generation may succeed. A generation has no side effect, so that repeating it is
// safe whatever happened to the one before.
func regenerate(err error) bool {
	switch asRefusal(err).Kind {
	case outcome.KindUpstreamFailed, outcome.KindLeaving, outcome.KindOverloaded, outcome.KindNoUpstream,
		outcome.KindOverQuota:
		return true
	}
	return false
}

func (g *groupRun) once(
	ctx context.Context, index int, avoid string, upstream *atomic.Pointer[string],
) (samples.Sample, error) {
	j := g.template
	j.id = g.template.id + "." + strconv.FormatInt(g.tries.Add(1), 10)
	j.avoid = avoid
	j.running = upstream
	if g.missing.Load() == 1 {
		j.priority = urgentPriority
	}
	begun := g.e.now()
	to := &memoryAnswer{limit: g.e.settings.MaxAnswerBufferBytes}
	done, err := g.e.execute(ctx, &j, g.keyID, to, g.record)
	if err != nil {
		return samples.Sample{}, err
	}
	text, ok := completionText(to.body, false)
	if !ok || to.status != http.StatusOK {
		return samples.Sample{}, discarded("the engine gave no completion, status "+strconv.Itoa(to.status), to.status)
	}
	sample, reason := g.e.newSample(&j, g.request.Group, index, g.request.Messages, text, done)
	if reason != "" {
		return samples.Sample{}, discarded(reason, to.status)
	}
	g.e.retries.observe(g.e.now().Sub(begun))
	return sample, nil
}

func discarded(reason string, status int) *outcome.Refusal {
	r := &outcome.Refusal{
		Kind: outcome.KindUpstreamFailed, Outcome: outcome.Ran, Status: http.StatusBadGateway,
		Message: "a generation was discarded: " + reason, Remedy: "send the group again under the same id",
		RetryAfter: retryBusy,
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		r.Kind, r.Status, r.RetryAfter = outcome.KindInvalid, http.StatusBadRequest, 0
		r.Remedy = "correct the messages or parameters"
	}
	return r
}
