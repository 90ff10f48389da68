package placement

import "time"

// Alternative is the engine to which a text would move.
type Alternative struct {
	ID string
	// Pace is the expected time per event, 0 if no pace is known at all.
	Pace time.Duration
	// Requests are the requests in flight there, of all hosts, and Slots is how many run at the same time.
	Requests, Slots int
	Version         int64
}

// Alternative returns the engine to which a text would move. ok is false if there is no engine other than the one to
// avoid.
func (s *Selector) Alternative(req Requirements) (a Alternative, ok bool) {
	best := s.best(req)
	if best == nil || best.ID == req.Avoid {
		return Alternative{}, false
	}
	return Alternative{
		ID: best.ID, Pace: s.expectedPace(best, req), Requests: best.OwnRequests + best.OtherRequests, Slots: best.Slots,
		Version: best.Version,
	}, true
}
