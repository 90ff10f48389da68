package lease

import (
	"slices"
	"time"
)

// Record is the stored content of a role's row.
type Record struct {
	// Holder is empty after a release, so that a challenger need not wait for the lease to expire.
	Holder string `json:"holder"`
	// Term increases by one with each change of holder and serves as the fencing token.
	Term int64 `json:"term"`
	// Renewal counts the renewals within the term.
	Renewal int64 `json:"renewal"`
	// Former lists the earlier holders that may not return yet, the last one at the end. After a release it ends with
	// the holder that released the role. It is empty unless the candidates have a ReturnWait.
	Former []FormerHolder `json:"former,omitempty"`
}

// FormerHolder is a holder whose tenure has ended.
type FormerHolder struct {
	Holder string `json:"holder"`
	// Age is the least time for which the tenure had been over when the row was written. It is the sum of spans that
	// later holders measured on their own clocks.
	Age time.Duration `json:"age"`
}

// sameWrite reports whether two records come from the same write: only the holder of a term writes under it, and it
// counts its renewals.
func (r Record) sameWrite(other Record) bool {
	return r.Holder == other.Holder && r.Term == other.Term && r.Renewal == other.Renewal
}

// formerHolders returns the former holders of the row when it is replaced now, without those that may return at once.
func (c *Candidate) formerHolders(now time.Time) []FormerHolder {
	var former []FormerHolder
	elapsed := now.Sub(c.unchangedSince)
	for _, f := range c.row.Record.Former {
		if f.Age += elapsed; f.Age < c.cfg.ReturnWait {
			former = append(former, f)
		}
	}
	return former
}

// formerWith returns the former holders when the tenure of holder ends and this candidate writes the row.
func (c *Candidate) formerWith(holder string, now time.Time) []FormerHolder {
	if c.cfg.ReturnWait == 0 {
		return nil
	}
	former := slices.DeleteFunc(c.formerHolders(now), func(f FormerHolder) bool { return c.isOwn(f.Holder) })
	if holder == "" {
		return former
	}
	return append(former, FormerHolder{Holder: holder})
}

// isOwn reports whether a holder is this candidate or its predecessor.
func (c *Candidate) isOwn(holder string) bool {
	return holder == c.cfg.Candidate || c.cfg.IsPredecessor != nil && c.cfg.IsPredecessor(holder)
}
