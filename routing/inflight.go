package routing

import "time"

// sentAttempt is an attempt of this entry that is still running.
type sentAttempt struct {
	upstream string
	tokens   int64
	sentAt   time.Time
}

// InFlight tracks this entry's own running attempts by upstream. Unlike the load reports it is exact and current.
type InFlight struct {
	attempts   map[string]sentAttempt
	byUpstream map[string]map[string]sentAttempt
}

// NewInFlight returns an InFlight without attempts.
func NewInFlight() *InFlight {
	return &InFlight{attempts: make(map[string]sentAttempt), byUpstream: make(map[string]map[string]sentAttempt)}
}

// Sent adds an attempt. The name attempt must be unique, for example request id and attempt number.
func (f *InFlight) Sent(attempt, upstream string, tokens int64, now time.Time) {
	f.Done(attempt)
	s := sentAttempt{upstream: upstream, tokens: tokens, sentAt: now}
	f.attempts[attempt] = s
	if f.byUpstream[upstream] == nil {
		f.byUpstream[upstream] = make(map[string]sentAttempt)
	}
	f.byUpstream[upstream][attempt] = s
}

// Done removes an attempt; an unknown one is ignored.
func (f *InFlight) Done(attempt string) {
	s, ok := f.attempts[attempt]
	if !ok {
		return
	}
	delete(f.attempts, attempt)
	delete(f.byUpstream[s.upstream], attempt)
	if len(f.byUpstream[s.upstream]) == 0 {
		delete(f.byUpstream, s.upstream)
	}
}

// Count returns the number of running attempts on an upstream.
func (f *InFlight) Count(upstream string) int { return len(f.byUpstream[upstream]) }

// Tokens returns the cost of all running attempts on an upstream, and of those sent after the given time.
func (f *InFlight) Tokens(upstream string, after time.Time) (all, sentAfter int64) {
	for _, s := range f.byUpstream[upstream] {
		all += s.tokens
		if s.sentAt.After(after) {
			sentAfter += s.tokens
		}
	}
	return all, sentAfter
}
