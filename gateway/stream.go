package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

// stream passes the events of a stream on as they arrive. A stream that may be resumed goes on at another upstream after
// the first one broke off.
func (g *Gateway) stream(ctx context.Context, r *call.Request, t *target) (*call.Response, error) {
	f := newForwarding(g, r, t)
	s := &streaming{forwarding: f, last: r.ResumeAfter}
	var err error
	if f.action, err = g.screen(ctx, f.template); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	first, err := s.open(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &call.Response{Status: first.Status, Header: first.Header, Stream: func(w io.Writer, flush func()) error {
		defer cancel()
		return s.copy(ctx, first, w, flush)
	}}, nil
}

// streaming is one stream on its way to its caller.
type streaming struct {
	*forwarding
	// last is the id of the last event that the caller has.
	last int
	// sent is the request as it was sent last.
	sent *upstreamcall.Request
}

// open sends the request until an upstream begins to answer.
func (s *streaming) open(ctx context.Context) (*upstreamcall.Response, error) {
	var ok bool
	if s.service, ok = chooseService(s.target.route); !ok {
		return nil, refuseFor(outcome.KindNoUpstream, "the route has no service", retryStore)
	}
	for range maxTries {
		answer, err := s.next(ctx)
		if err == nil {
			return answer, nil
		}
		var failure *upstreamcall.Failure
		if !errors.As(err, &failure) {
			return nil, err // no upstream is left
		}
		s.failure = failure
		if failure.Outcome != outcome.NotRun && !s.mayGoOn(ctx) || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil {
		return nil, s.timedOut(ctx)
	}
	_, err := s.giveUp()
	return nil, err
}

// next sends the request to one upstream, after the last event that the caller has.
func (s *streaming) next(ctx context.Context) (*upstreamcall.Response, error) {
	s.g.mu.Lock()
	u, ok := s.g.choosePlain(s.service, s.tried, true, time.Now())
	if ok {
		s.g.acquire(u.ID, time.Now())
	}
	s.g.mu.Unlock()
	if !ok {
		return nil, refuseFor(outcome.KindNoUpstream, "no upstream of the service takes the request", retryBusy)
	}
	sent := *s.template
	sent.TimeLeft, sent.Priority = time.Until(s.deadline), min(s.target.priority(), 9)
	sent.ResumeAfter, sent.Upstream = s.last, u
	s.sent = &sent
	answer, err := s.g.opts.Upstreams.Send(ctx, s.sent)
	if err != nil {
		failure := upstreamcall.AsFailure(err)
		s.g.learn(u, "", failure, ctx)
		s.noteRun(ctx, failure)
		if failure.Outcome != outcome.NotRun {
			s.tried[u.ID] = true
			s.countUsage()
		}
		return nil, failure
	}
	s.tried[u.ID] = true
	s.countUsage()
	return answer, nil
}

// mayGoOn reports whether a stream that broke off may go on at one more upstream.
func (s *streaming) mayGoOn(ctx context.Context) bool {
	return s.repeatable() && s.g.mayRunAgain(ctx, s.broken)
}

// copy writes the events to the caller.
func (s *streaming) copy(ctx context.Context, answer *upstreamcall.Response, w io.Writer, flush func()) error {
	for {
		err := s.copyOne(answer, w, flush)
		answer.Body.Close()
		var failure *upstreamcall.Failure
		if err != nil {
			failure = upstreamcall.AsFailure(err)
		}
		s.g.learn(s.sent.Upstream, "", failure, ctx)
		s.noteRun(ctx, failure)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !s.target.route.Resumable || !s.mayGoOn(ctx) {
			return err
		}
		if answer, err = s.open(ctx); err != nil {
			return err
		}
	}
}

// noteRun takes the end of a run.
func (s *streaming) noteRun(ctx context.Context, failure *upstreamcall.Failure) {
	if failure != nil && errors.Is(ctx.Err(), context.Canceled) {
		s.g.runAbandoned(s.sent, s.sent.Upstream, s.last)
		return
	}
	run := s.g.noteRun(ctx, s.sent, failure, s.last)
	if failure != nil {
		s.noteBroken(run)
		s.logFailure(sendResult{upstream: s.sent.Upstream, failure: failure, broken: run})
	}
}

func (s *streaming) copyOne(answer *upstreamcall.Response, w io.Writer, flush func()) error {
	if answer.Status != http.StatusOK {
		_, err := io.Copy(w, answer.Body)
		return err
	}
	events := s.g.opts.Codec.Events(answer.Body, answer.Version)
	for {
		event, err := events.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if event.ID >= 0 && event.ID <= s.last {
			continue // the caller has it
		}
		if _, err := w.Write(event.Raw); err != nil {
			return err
		}
		flush()
		s.last = max(s.last, event.ID)
	}
}
