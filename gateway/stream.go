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
	"github.com/radishshelf/radishshelf/upstreamhealth"
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
	// lastAttempt is the latest send as the health of its upstream counts it.
	lastAttempt *upstreamhealth.Attempt
	// runsWithoutEvent counts the latest runs in a row from which no event was written.
	runsWithoutEvent int
	// header is the header of the response that the caller gets; nil until the first upstream has responded.
	header http.Header
}

// openNext sends the request to one upstream after another until one begins to respond.
func (s *streamRequest) openNext(ctx context.Context) (*upstreamcall.Response, error) {
	if err := s.setService(); err != nil {
		return nil, err
	}
	for range maxSends {
		response, err := s.sendNext(ctx)
		if err == nil {
			return response, nil
		}
		var failure *upstreamcall.Failure
		if !errors.As(err, &failure) && len(s.tried) == 0 {
			return nil, err // no upstream can be tried
		}
		if failure == nil {
			break // an earlier send may have run
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
	if err := s.g.checkStop(s.deadline, time.Now()); err != nil {
		return nil, err
	}
	slot, err := s.g.reserve(ctx, s.streamTurn(), true)
	if err != nil {
		return nil, err
	}
	u := slot.upstream
	sent := *s.template
	sent.TimeLeft, sent.Priority = time.Until(s.deadline), min(s.auth.priority(), 9)
	sent.ResumeAfter, sent.Upstream = s.lastEventID, u
	s.lastSent, s.lastAttempt = &sent, slot.attempt
	response, err := s.g.opts.Upstreams.Send(ctx, s.lastSent)
	if err == nil {
		err = s.checkResponse(response)
	}
	if err != nil {
		failure := upstreamcall.AsFailure(err)
		s.g.finishSend(slot, "", failure, ctx)
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

// streamTurn describes the request to the queues for limited upstreams. A stream whose caller has received events waits for
// as long as its sends last.
func (s *streamRequest) streamTurn() limitTurn {
	turn := s.limitTurn()
	if s.header != nil {
		turn.item.Deadline = time.Time{}
	}
	turn.choose = func(inTurn bool, now time.Time) (upstreams.Entry, bool, bool) {
		return s.g.choosePlain(plainChoice{scope: s.scope(), tried: s.tried, allowTried: true, inTurn: inTurn}, now)
	}
	return turn
}

// waitForRoom pauses once every upstream has refused the request, before these are asked again. It reports whether the
// request may wait; one whose caller has received events waits for as long as its sends last.
func (s *streamRequest) waitForRoom(ctx context.Context) bool {
	s.g.mu.Lock()
	ready := s.g.candidates(s.scope())
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
