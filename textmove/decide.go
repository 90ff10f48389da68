package textmove

import "time"

// minSaving is what the first move of a text must save. A step takes seconds, so less than this does not show in it, and
// the move costs the target a prompt and a slot.
const minSaving = 300 * time.Millisecond

// occupancySlowdown is by how much the pace of an engine grows from an idle engine to one with all slots in use.
const occupancySlowdown = 0.3

// Engine is an engine as the host of a text sees it.
type Engine struct {
	// Pace is the observed time per event.
	Pace time.Duration
	// Requests are the requests in flight there, and Slots is how many run at the same time.
	Requests, Slots int
}

// paceWithOneMore returns the pace that is expected once the engine has taken one more text.
func (e Engine) paceWithOneMore() time.Duration {
	slots := float64(max(e.Slots, 1))
	now := 1 + occupancySlowdown*min(float64(e.Requests)/slots, 1)
	then := 1 + occupancySlowdown*min(float64(e.Requests+1)/slots, 1)
	return time.Duration(float64(e.Pace) * then / now)
}

// Candidate is a text that might move.
type Candidate struct {
	// RemainingEvents is how many events are still expected, and Moves how often the text has moved before.
	RemainingEvents, Moves int
	// Queued is how long the text has waited for its first event at the present engine; 0 once it is being generated.
	Queued time.Duration
	// Pace is the observed time per event at the present engine, and SlowFor how long that engine has been slow.
	Pace, SlowFor time.Duration
	// Target is the engine to which the text would move, and Restart the expected time from its start there to its next
	// event.
	Target  Engine
	Restart time.Duration
}

// Saving returns by how much earlier the text is expected to be complete if it moves; negative if it is later. The
// engine is expected to stay slow for as long as it has been, and to be as fast as the target after that; a text that has
// waited for its first event is expected to wait for as long again.
func (c Candidate) Saving() time.Duration {
	if c.Queued > 0 {
		return c.Queued - c.Restart
	}
	target := c.Target.paceWithOneMore()
	if c.Pace <= target || target == 0 {
		return -c.Restart
	}
	slow := min(time.Duration(c.RemainingEvents)*c.Pace, c.SlowFor)
	saved := float64(slow) * (1 - float64(target)/float64(c.Pace))
	// The event in progress is lost; half of it is done on average. The restart ends with an event, which would have
	// taken the pace of the target anyway.
	return time.Duration(saved) - c.Pace/2 - max(c.Restart-target, 0)
}

// IsWorthwhile reports whether the text should move.
func (c Candidate) IsWorthwhile() bool {
	return c.Target.Requests < c.Target.Slots && c.Saving() >= c.RequiredSaving()
}

// RequiredSaving returns what the move must save: more with each earlier move of the text, because a text that has moved
// often has met several engines that slowed down, and the next one may, too.
func (c Candidate) RequiredSaving() time.Duration { return minSaving * time.Duration(1+c.Moves) }
