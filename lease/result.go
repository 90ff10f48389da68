package lease

import "time"

// Observed handles the result of a read.
func (c *Candidate) Observed(obs Observation, now time.Time) []Action {
	c.inFlight = false
	if c.inDoubt {
		return c.resolveInDoubt(obs, now)
	}
	return c.updateRow(obs, now)
}

// Written handles the confirmation of a write, which gave the row this revision. It is ignored if no write is in
// flight.
func (c *Candidate) Written(revision int64, now time.Time) []Action {
	c.inFlight = false
	if c.pending == nil {
		return nil
	}
	return c.confirm(revision, now)
}

// Rejected handles a write that the table rejected because its condition did not hold.
func (c *Candidate) Rejected(now time.Time) []Action {
	c.inFlight = false
	c.pending = nil
	c.known = false
	c.lastRead = time.Time{}
	return c.loseRole()
}

// Failed handles a failed operation. If effectUnknown is set, a write may have taken effect; the next read determines
// whether it did. A challenger restarts its wait, so that after an outage of the table the holder can continue and the
// role does not move.
func (c *Candidate) Failed(effectUnknown bool, now time.Time) []Action {
	c.inFlight = false
	if c.pending != nil && effectUnknown {
		c.inDoubt = true
		return nil
	}
	if !c.holding && !c.inDoubt {
		c.known = false
		c.lastRead = now
	}
	c.pending = c.pendingInDoubt()
	return nil
}

// pendingInDoubt returns the write in doubt, which is kept across failed reads.
func (c *Candidate) pendingInDoubt() *Action {
	if c.inDoubt {
		return c.pending
	}
	return nil
}

// resolveInDoubt determines from the row whether the write in doubt took effect. The write is recognized by its
// content, because no other candidate writes this candidate's name with the same term and renewal.
func (c *Candidate) resolveInDoubt(obs Observation, now time.Time) []Action {
	c.inDoubt = false
	tookEffect := c.pending != nil && obs.Record.sameWrite(c.pending.Record) && obs.Revision > c.pending.Revision
	if tookEffect {
		return c.confirm(obs.Revision, now)
	}
	c.pending = nil
	return c.updateRow(obs, now)
}

func (c *Candidate) confirm(revision int64, now time.Time) []Action {
	acquired := !c.holding && c.pending.Record.Holder == c.cfg.Candidate
	c.row = Observation{Revision: revision, Record: c.pending.Record}
	c.known = true
	c.unchangedSince = now
	c.pending = nil
	if c.row.Record.Holder == "" {
		return c.loseRole()
	}
	c.holding = true
	c.lastRenewal = c.sentAt
	c.actUntil = c.sentAt.Add(c.cfg.ActWindow)
	if acquired {
		return []Action{{Kind: ActionAcquired, Record: c.row.Record}}
	}
	return nil
}

// updateRow replaces the known row. If the row changed while the candidate held the role, the role is lost.
func (c *Candidate) updateRow(obs Observation, now time.Time) []Action {
	if !c.known || obs.Revision != c.row.Revision {
		c.unchangedSince = now
	}
	var actions []Action
	if c.holding && obs.Revision != c.row.Revision {
		actions = c.loseRole()
	}
	c.row = obs
	c.known = true
	return actions
}

func (c *Candidate) loseRole() []Action {
	if !c.holding {
		return nil
	}
	c.holding = false
	return []Action{{Kind: ActionLost, Record: c.row.Record}}
}
