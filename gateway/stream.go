package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/radishshelf/radishshelf/call"
	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
	"github.com/radishshelf/radishshelf/upstreams"
)

// stream forwards the events of a stream as they arrive. A resumable stream continues at another upstream if the
// connection to the first one breaks.
func (g *Gateway) stream(ctx context.Context, r *call.Request, auth *authorization) (*call.Response, error) {
	f := newPlainRequest(g, r, auth)
	s := &streamRequest{plainRequest: f, lastEventID: r.ResumeAfter}
	var err error
	if f.action, err = g.checkQuarantine(ctx, f.template); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	first, err := s.openNext(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	s.header = first.Header
	return &call.Response{Status: first.Status, Header: first.Header, Stream: func(w io.Writer, flush func()) error {
		defer cancel()
		if first.Status != http.StatusOK {
			return s.copyBody(ctx, first, w)
		}
		return s.copyEvents(ctx, first, w, flush)
	}}, nil
}

// streamRequest is a plain request whose response is streamed to the caller.
type streamRequest struct {
	*plainRequest
	// lastEventID is the ID of the last event that was written to the caller.
	lastEventID int
	// lastSent is the request of the latest send.
	lastSent *upstreamcall.Request
	// runsWithoutEvent counts the latest runs in a row from which no event was written.
	runsWithoutEvent int
	// header is the header of the response that the caller gets; nil until the first upstream has responded.
	header http.Header
}

// openNext sends the request to one upstream after another until one begins to respond.
func (s *streamRequest) openNext(ctx context.Context) (*upstreamcall.Response, error) {
	var ok bool
	if s.service, ok = chooseService(s.auth.route); !ok {
		return nil, unavailable(outcome.KindNoUpstream, "the route has no target service", retryAfterStoreOutage)
	}
	for range maxSends {
		response, err := s.sendNext(ctx)
		if err == nil {
			return response, nil
		}
		var failure *upstreamcall.Failure
		if !errors.As(err, &failure) {
			return nil, err // no upstream can be tried
		}
		s.lastFailure = failure
		mayRetry := s.mayResume
		if failure.Outcome == outcome.NotRun {
			mayRetry = s.waitForRoom
		}
		if !mayRetry(ctx) || ctx.Err() != nil {
			break
		}
	}
	if ctx.Err() != nil {
		return nil, s.timeoutError(ctx)
	}
	_, err := s.finalResponse()
	return nil, err
}

// sendNext sends the request to one upstream and asks for the events after lastEventID.
func (s *streamRequest) sendNext(ctx context.Context) (*upstreamcall.Response, error) {
	s.g.mu.Lock()
	u, ok := s.g.choosePlain(s.service, s.tried, true, time.Now())
	if ok {
		s.g.acquire(u.ID, time.Now())
	}
	s.g.mu.Unlock()
	if !ok {
		return nil, unavailable(outcome.KindNoUpstream, "no upstream of the service can take the request", retryAfterBusy)
	}
	sent := *s.template
	sent.TimeLeft, sent.Priority = time.Until(s.deadline), min(s.auth.priority(), 9)
	sent.ResumeAfter, sent.Upstream = s.lastEventID, u
	s.lastSent = &sent
	response, err := s.g.opts.Upstreams.Send(ctx, s.lastSent)
	if err == nil {
		err = s.checkResponse(response)
	}
	if err != nil {
		failure := upstreamcall.AsFailure(err)
		s.g.finishSend(u, "", failure, ctx)
		s.recordRun(ctx, failure)
		if failure.Outcome == outcome.NotRun {
			s.refused[u.ID] = true
		} else {
			s.recordTry(u)
		}
		return nil, failure
	}
	s.recordTry(u)
	return response, nil
}

// waitForRoom pauses once every upstream has refused the request, before these are asked again. It reports whether the
// request may wait; one whose caller has received events waits for as long as its sends last.
func (s *streamRequest) waitForRoom(ctx context.Context) bool {
	s.g.mu.Lock()
	ready := s.g.upstreams.Ready(s.service)
	s.g.mu.Unlock()
	for _, u := range ready {
		if !s.refused[u.ID] {
			return true
		}
	}
	if s.header == nil && time.Now().After(s.waitUntil) {
		return false
	}
	clear(s.refused)
	sleep(ctx, busyRetryDelay)
	return true
}

// recordTry counts a send that may have begun to run at an upstream.
func (s *streamRequest) recordTry(u upstreams.Entry) {
	s.tried[u.ID] = true
	s.runsWithoutEvent++
	s.countUsage()
}

// mayResume reports whether a stream that broke off may continue, at another upstream if there is one.
func (s *streamRequest) mayResume(ctx context.Context) bool {
	return s.isRetryable() && s.runsWithoutEvent < s.auth.route.MaxAttempts && s.g.mayRunAgain(ctx, s.broken)
}

// checkResponse returns a failure, and closes the response, unless the response may go to the caller: as a new response,
// or as the continuation of the one that the caller already has.
func (s *streamRequest) checkResponse(response *upstreamcall.Response) error {
	failure := checkSigned(response)
	if s.header != nil {
		failure = checkContinuation(s.header, response)
	}
	if failure == nil {
		return nil
	}
	response.Body.Close()
	return failure
}

// copyBody writes the body of a response that is not a stream of events. A body that breaks off is never continued, as
// only events can be.
func (s *streamRequest) copyBody(ctx context.Context, response *upstreamcall.Response, w io.Writer) error {
	_, err := io.Copy(w, response.Body)
	response.Body.Close()
	s.finishRun(ctx, err)
	return err
}

// copyEvents writes the events to the caller, and resumes the stream at other upstreams where that is allowed.
func (s *streamRequest) copyEvents(ctx context.Context, response *upstreamcall.Response, w io.Writer, flush func()) error {
	for resumed := false; ; resumed = true {
		err := s.copyResponse(response, resumed, w, flush)
		response.Body.Close()
		failure := s.finishRun(ctx, err)
		if err == nil {
			return nil
		}
		if response, err = s.resume(ctx, failure); err != nil {
			s.g.opts.Log.Info().Str("request", s.request.ID).Int("last_event", s.lastEventID).AnErr("error", err).
				Msg("stream broken off; no upstream continues it")
			return err
		}
	}
}

// resume sends the request on after a run that broke off, and returns the response that continues the stream. The error is
// the failure of that run if the stream may not be resumed.
func (s *streamRequest) resume(ctx context.Context, failure *upstreamcall.Failure) (*upstreamcall.Response, error) {
	callerLeft := ctx.Err() != nil || failure.Reason == upstreamcall.Cancelled
	if callerLeft || !s.auth.route.Resumable || !s.mayResume(ctx) {
		return nil, failure
	}
	return s.openNext(ctx)
}

// finishRun records the end of a run that began to respond, and returns its failure; nil means success.
func (s *streamRequest) finishRun(ctx context.Context, err error) *upstreamcall.Failure {
	var failure *upstreamcall.Failure
	if err != nil {
		failure = upstreamcall.AsFailure(err)
	}
	s.g.finishSend(s.lastSent.Upstream, "", failure, ctx)
	s.recordRun(ctx, failure)
	return failure
}

// recordRun records how the latest send ended, for the detection of crash suspects.
func (s *streamRequest) recordRun(ctx context.Context, failure *upstreamcall.Failure) {
	if failure != nil && errors.Is(ctx.Err(), context.Canceled) {
		s.g.recordAbandonedRun(s.lastSent, s.lastSent.Upstream, s.lastEventID)
		return
	}
	run := s.g.recordRun(ctx, s.lastSent, failure, s.lastEventID)
	if failure != nil {
		s.addBrokenRun(run)
		s.logFailure(sendResult{upstream: s.lastSent.Upstream, failure: failure, broken: run})
	}
}

// copyResponse writes the events of one run to the caller. Events that the caller already has are skipped. The events
// of a resumed run must continue those of the runs before it.
func (s *streamRequest) copyResponse(response *upstreamcall.Response, resumed bool, w io.Writer, flush func()) error {
	events := s.g.opts.Codec.Events(response.Body, response.Version)
	for {
		event, err := events.Next()
		if err == io.EOF {
			return s.checkEnd(response)
		}
		if err != nil {
			return err
		}
		if event.ID >= 0 && event.ID <= s.lastEventID {
			continue // already written to the caller
		}
		if resumed {
			if event.ID != s.lastEventID+1 {
				return &upstreamcall.Failure{
					Reason: upstreamcall.Crossed, Outcome: outcome.Ran,
					Err: fmt.Errorf("event %d of a resumed stream does not follow event %d", event.ID, s.lastEventID),
				}
			}
			resumed = false
		}
		if _, err := w.Write(event.Raw); err != nil {
			return &upstreamcall.Failure{Reason: upstreamcall.Cancelled, Outcome: outcome.Ran, Err: err}
		}
		flush()
		s.runsWithoutEvent = 0
		s.lastEventID = max(s.lastEventID, event.ID)
	}
}

// checkEnd returns an error if the end of a response may be a lost connection and another upstream can tell whether
// events are missing.
func (s *streamRequest) checkEnd(response *upstreamcall.Response) error {
	if !response.Framed && s.auth.route.Resumable {
		return io.ErrUnexpectedEOF
	}
	return nil
}
