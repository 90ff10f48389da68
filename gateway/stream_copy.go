package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/radishshelf/radishshelf/outcome"
	"github.com/radishshelf/radishshelf/upstreamcall"
)

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
	s.g.finishSend(reservedSlot{upstream: s.lastSent.Upstream, attempt: s.lastAttempt}, "", failure, ctx)
	s.recordRun(ctx, failure)
	return failure
}

// recordRun records how the latest send ended, for the detection of crash suspects.
func (s *streamRequest) recordRun(ctx context.Context, failure *upstreamcall.Failure) {
	if failure != nil && errors.Is(context.Cause(ctx), ErrStopping) {
		return // this process ended the run
	}
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
	reservation := s.g.opts.Memory.NewReservation(func() { response.Body.Close() })
	defer reservation.Release()
	events := s.g.opts.Codec.Events(reservation.Reader(response.Body), response.Version)
	for {
		event, err := events.Next()
		reservation.ShrinkTo(0) // only an event in progress counts
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
		if s.runsWithoutEvent > 0 {
			s.runsWithoutEvent = 0
			s.g.recordResponding(s.lastAttempt)
		}
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
