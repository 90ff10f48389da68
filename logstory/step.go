package logstory

import (
	"fmt"
	"strings"
	"time"
)

// Step is the time line of one batch job, which holds one training step.
type Step struct {
	Job, Model, Number string
	// Accepted is when the job was accepted, and Ended when its caller ended it; zero if the logs do not say.
	Accepted, Ended time.Time
	// Ownerships lists who ran the job, in order.
	Ownerships []Ownership
	// LastText is the last complete text that the trainer had to wait for.
	LastText Text
	// Runs counts the complete texts, and EarlyEnds the other runs by reason.
	Runs      int
	EarlyEnds map[string]int
}

// Ownership is the time in which one process ran a job. Until is zero if the process ran it to the end or ended without
// handing it over.
type Ownership struct {
	Host        string
	From, Until time.Time
	// assigned is set for the owner that the job was accepted for, until that process says that it runs the job.
	assigned bool
}

// Text is a complete text. FirstEvent is the number of events that an earlier run had made.
type Text struct {
	Item, Host, Upstream string
	Complete             time.Time
	FirstEvent, Events   string
}

// Duration returns the time from the acceptance of the job to its end; 0 if either is unknown.
func (s *Step) Duration() time.Duration {
	if s.Accepted.IsZero() || s.Ended.IsZero() {
		return 0
	}
	return s.Ended.Sub(s.Accepted)
}

// WithoutOwner returns how long no process ran the job between two that did. A process that ended without handing the job
// over counts as its owner until the next one begins.
func (s *Step) WithoutOwner() time.Duration {
	var total time.Duration
	for i := 1; i < len(s.Ownerships); i++ {
		if until := s.Ownerships[i-1].Until; !until.IsZero() {
			total += max(s.Ownerships[i].From.Sub(until), 0)
		}
	}
	return total
}

// String formats the step as one line.
func (s *Step) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  step %-4s job %s  took %6.2f s", clock(s.Accepted), s.Number, s.Job, s.Duration().Seconds())
	if s.LastText.Item != "" {
		fmt.Fprintf(&b, "  last text %s of %s (events %s to %s at %s)", clock(s.LastText.Complete), s.LastText.Item,
			s.LastText.FirstEvent, s.LastText.Events, s.LastText.Upstream)
	}
	for _, o := range s.Ownerships {
		fmt.Fprintf(&b, "  owner %s %s", o.Host, clock(o.From))
	}
	if gap := s.WithoutOwner(); gap > 0 {
		fmt.Fprintf(&b, "  without owner %.2f s", gap.Seconds())
	}
	for _, reason := range sortedKeys(s.EarlyEnds) {
		fmt.Fprintf(&b, "  %s %d", reason, s.EarlyEnds[reason])
	}
	return b.String()
}

// clock formats the time of day, or "-" for an unknown time.
func clock(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format("15:04:05.000")
}
