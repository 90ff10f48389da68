package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/radishshelf/radishshelf/bootclock"
	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
)

// Timing of the duty lease; the fractions are relative to the lease duration that the platform sets.
const (
	// renewFraction is the time between renewals, and actFraction is how long a holder may act after it sent one. The
	// rest covers calls that are in flight when the time to act is over.
	renewFraction = 0.22
	actFraction   = 0.6
	// dutyInterval is how often the holder looks for work.
	dutyInterval = 100 * time.Millisecond
	// maxTakeoverDelay limits the random delay of a candidate, so that usually only one of them writes.
	maxTakeoverDelay = 300 * time.Millisecond
	// minDutyCores is the part of a core below which a host delays its candidacy by smallHostDelay: following all
	// upstreams and ordering weight loads takes a few percent of a core.
	minDutyCores   = 0.3
	smallHostDelay = 1500 * time.Millisecond
	// dutyCallTimeout limits one call of a holder.
	dutyCallTimeout = 700 * time.Millisecond
)

// dutyLease is the state of the lease that covers all duties.
type dutyLease struct {
	mu        sync.Mutex
	candidate *lease.Candidate
}

// leaseKey is the key of the lease row.
var leaseKey = hosting.RowKey{Table: leaseTable, Key: "duties"}

// ProbeRange is a minimal read that shows whether the store responds.
var ProbeRange = hosting.RowRange{Table: leaseTable, Limit: 1}

// mayAct returns the term of the lease; ok is false unless this process holds the duties and may act now. Call it
// directly before each call that is made under the lease.
func (g *Gateway) mayAct() (term int64, ok bool) {
	g.dutyLease.mu.Lock()
	defer g.dutyLease.mu.Unlock()
	if g.dutyLease.candidate == nil {
		return 0, false
	}
	return g.dutyLease.candidate.MayAct(bootclock.Now())
}

// electionLoop competes for the duties until ctx ends. It stops competing when the process begins to leave, so that a
// successor does not have to wait until the last caller has its response.
func (g *Gateway) electionLoop(ctx context.Context) {
	competing, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.dutyCtx, cancel)()
	g.campaign(competing)
	<-ctx.Done()
}

// campaign competes for the lease and performs the duties while this process holds it.
func (g *Gateway) campaign(ctx context.Context) {
	bound := g.opts.Timing.Lease
	candidate, err := lease.New(lease.Config{
		Candidate:     g.opts.Host + "#" + g.opts.Incarnation,
		Duration:      bound,
		RenewInterval: time.Duration(renewFraction * float64(bound)),
		ActWindow:     time.Duration(actFraction * float64(bound)),
		// Only one process at a time has this process's address, so an earlier one has ended. To the receivers of
		// calls both are the same holder.
		IsPredecessor:   func(holder string) bool { return strings.HasPrefix(holder, g.opts.Host+"#") },
		PredecessorWait: dutyCallTimeout,
		// The platform may not check the term, and counts a last call at its arrival.
		ReturnWait: bound + dutyCallTimeout,
	})
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("invalid lease configuration; this process performs no duties")
		return
	}
	delay := rand.N(maxTakeoverDelay)
	if g.opts.CPUShare < minDutyCores {
		delay += smallHostDelay
	}
	candidate.SetTakeoverDelay(delay)
	g.dutyLease.mu.Lock()
	g.dutyLease.candidate = candidate
	g.dutyLease.mu.Unlock()
	work := newDutyWork(g)
	for ctx.Err() == nil {
		g.dutyLease.mu.Lock()
		actions := candidate.Tick(bootclock.Now())
		g.dutyLease.mu.Unlock()
		g.executeLeaseActions(ctx, actions)
		if _, ok := g.mayAct(); ok {
			work.startDueCalls(ctx)
		}
		sleep(ctx, dutyInterval)
	}
	work.wait()
	g.releaseDuties()
}

// executeLeaseActions performs the I/O that the lease asks for, including the actions that follow from it.
func (g *Gateway) executeLeaseActions(ctx context.Context, actions []lease.Action) {
	for len(actions) > 0 {
		var next []lease.Action
		for _, a := range actions {
			next = append(next, g.executeLeaseAction(ctx, a)...)
		}
		actions = next
	}
}

func (g *Gateway) executeLeaseAction(ctx context.Context, a lease.Action) []lease.Action {
	switch a.Kind {
	case lease.ActionRead:
		page, err := g.opts.Rows.Range(ctx, hosting.RowRange{
			Table: leaseKey.Table, From: leaseKey.Key, To: leaseKey.Key + "\x00", Limit: 1,
		})
		return g.leaseObserved(page, err)
	case lease.ActionWrite:
		value, err := json.Marshal(a.Record)
		if err != nil {
			g.opts.Log.Error().Err(err).Msg("cannot encode lease")
			return g.withCandidate(func(c *lease.Candidate, now time.Time) []lease.Action { return c.Failed(false, now) })
		}
		result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
			Conditions: []hosting.StoredRow{{RowKey: leaseKey, Version: a.Revision}},
			Puts:       []hosting.StoredRow{{RowKey: leaseKey, Value: value}},
		})
		return g.withCandidate(func(c *lease.Candidate, now time.Time) []lease.Action {
			switch {
			case err != nil:
				return c.Failed(hosting.IsKind(err, hosting.KindUnknown), now)
			case result.Committed:
				return c.Written(result.Version, now)
			default:
				return c.Rejected(now)
			}
		})
	case lease.ActionAcquired:
		g.opts.Log.Info().Int64("term", a.Record.Term).Msg("duties taken")
		g.metrics.dutiesTaken.Inc()
	case lease.ActionLost:
		g.opts.Log.Warn().Int64("term", a.Record.Term).Msg("duties lost")
	}
	return nil
}

// leaseObserved passes the result of a lease read to the candidate.
func (g *Gateway) leaseObserved(page hosting.RowPage, err error) []lease.Action {
	return g.withCandidate(func(c *lease.Candidate, now time.Time) []lease.Action {
		if err != nil {
			return c.Failed(false, now)
		}
		if len(page.Rows) == 0 {
			return c.Observed(lease.Observation{}, now)
		}
		var record lease.Record
		if err := json.Unmarshal(page.Rows[0].Value, &record); err != nil {
			g.opts.Log.Error().Err(err).Msg("cannot decode lease")
			return c.Failed(false, now)
		}
		return c.Observed(lease.Observation{Revision: page.Rows[0].Version, Record: record}, now)
	})
}

// withCandidate runs step while the candidate is locked and returns the actions that the lease asks for.
func (g *Gateway) withCandidate(step func(c *lease.Candidate, now time.Time) []lease.Action) []lease.Action {
	g.dutyLease.mu.Lock()
	defer g.dutyLease.mu.Unlock()
	return step(g.dutyLease.candidate, bootclock.Now())
}

// releaseTimeout limits the release of the lease when the process stops.
const releaseTimeout = time.Second

// releaseDuties releases the lease so that a successor does not have to wait until it expires.
func (g *Gateway) releaseDuties() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	g.dutyLease.mu.Lock()
	actions := g.dutyLease.candidate.Release(bootclock.Now())
	g.dutyLease.mu.Unlock()
	g.executeLeaseActions(ctx, actions)
}
