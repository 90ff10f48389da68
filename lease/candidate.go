package lease

import "time"

// Candidate is the state of one process that holds a role or competes for it. It has at most one operation in flight.
type Candidate struct {
	cfg Config
	// row is the last known row, and unchangedSince the time on this candidate's clock when it was first seen.
	row            Observation
	known          bool
	unchangedSince time.Time
	lastRead       time.Time

	inFlight bool
	// pending is the write in flight or in doubt, and sentAt when it was passed to the driver.
	pending  *Action
	sentAt   time.Time
	inDoubt  bool
	holding  bool
	actUntil time.Time
	// lastRenewal is when the last confirmed write was sent.
	lastRenewal   time.Time
	releasing     bool
	takeoverDelay time.Duration
}

// New returns a candidate that does not hold the role.
func New(cfg Config) (*Candidate, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Candidate{cfg: cfg}, nil
}

// SetTakeoverDelay sets an additional wait before a free role is taken over, so that the preferred candidate can take
// it first.
func (c *Candidate) SetTakeoverDelay(delay time.Duration) { c.takeoverDelay = delay }

// MayAct returns the term and true while the candidate may act for the role. Call it immediately before each external
// action.
func (c *Candidate) MayAct(now time.Time) (term int64, ok bool) {
	if !c.holding || c.releasing || !now.Before(c.actUntil) {
		return 0, false
	}
	return c.row.Record.Term, true
}

// Holding reports whether the candidate holds the role or may hold it, even if its act window is over.
func (c *Candidate) Holding() bool { return c.holding || c.inDoubt }

// Row returns the last known row, and false if no row is known or it may be out of date after a failed operation.
func (c *Candidate) Row() (Observation, bool) { return c.row, c.known }

// Tick advances the candidate to now.
func (c *Candidate) Tick(now time.Time) []Action {
	if c.inFlight {
		return nil
	}
	if c.inDoubt {
		return c.read(now)
	}
	if !c.known {
		return c.readIfDue(now)
	}
	if c.holding {
		return c.tickHolder(now)
	}
	return c.tickChallenger(now)
}

// Release gives up the role. The holder must have stopped acting; MayAct returns false from now on.
func (c *Candidate) Release(now time.Time) []Action {
	c.releasing = true
	return c.Tick(now)
}

// Resume lets a candidate compete again after Release.
func (c *Candidate) Resume() { c.releasing = false }

// Released reports whether a release is complete or there is nothing to release.
func (c *Candidate) Released() bool { return !c.holding && !c.inFlight && !c.inDoubt }

func (c *Candidate) tickHolder(now time.Time) []Action {
	next := c.row.Record
	if c.releasing {
		next.Holder, next.Former = "", c.formerWith(next.Holder, now)
		return c.write(now, next)
	}
	if now.Sub(c.lastRenewal) < c.cfg.RenewInterval {
		return nil
	}
	next.Renewal++
	next.Former = c.formerHolders(now)
	return c.write(now, next)
}

func (c *Candidate) tickChallenger(now time.Time) []Action {
	if c.releasing {
		return nil
	}
	if actions := c.readIfDue(now); actions != nil {
		return actions
	}
	if now.Sub(c.unchangedSince) < c.takeoverWait() {
		return nil
	}
	return c.write(now, Record{
		Holder: c.cfg.Candidate, Term: c.row.Record.Term + 1, Former: c.formerWith(c.row.Record.Holder, now),
	})
}

// takeoverWait returns how long the row must stay unchanged before it may be taken over.
func (c *Candidate) takeoverWait() time.Duration {
	switch {
	case c.row.Record.Holder == "":
		return max(c.takeoverDelay, c.waitToReturn())
	case c.cfg.IsPredecessor != nil && c.cfg.IsPredecessor(c.row.Record.Holder):
		return c.cfg.PredecessorWait
	}
	return max(c.cfg.Duration+c.cfg.PauseTolerance+c.takeoverDelay, c.waitToReturn())
}

// waitToReturn returns how long the row must stay unchanged before this candidate may follow another holder that has
// followed it: receivers that do not check the term must not see the two take turns.
func (c *Candidate) waitToReturn() time.Duration {
	row := c.row.Record
	for i, f := range row.Former {
		followed := i < len(row.Former)-1 || row.Holder != ""
		if followed && c.isOwn(f.Holder) {
			return c.cfg.ReturnWait - f.Age
		}
	}
	return 0
}

// readIfDue reads the row at most once per renew interval, so that challengers do not overload a recovering table.
func (c *Candidate) readIfDue(now time.Time) []Action {
	if !c.lastRead.IsZero() && now.Sub(c.lastRead) < c.cfg.RenewInterval {
		return nil
	}
	return c.read(now)
}

func (c *Candidate) read(now time.Time) []Action {
	c.inFlight = true
	c.lastRead = now
	return []Action{{Kind: ActionRead}}
}

func (c *Candidate) write(now time.Time, next Record) []Action {
	c.inFlight = true
	c.sentAt = now
	c.pending = &Action{Kind: ActionWrite, Record: next, Revision: c.row.Revision}
	return []Action{*c.pending}
}
