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

// Shares of the lease time of the platform.
const (
	// renewShare is the time between renewals, actShare how long a holder acts after it sent one. The rest is for calls
	// that are on their way when the time to act is over.
	renewShare = 0.22
	actShare   = 0.6
	// dutyTick is how often the holder looks for work.
	dutyTick = 100 * time.Millisecond
	// maxTakeoverDelay spreads the candidates, so that mostly one of them writes.
	maxTakeoverDelay = 300 * time.Millisecond
	// dutyProcessor is the part of a core below which a host leaves the duties to others for weakDelay: following all
	// upstreams and ordering loads takes a few percent of a core.
	dutyProcessor = 0.3
	weakDelay     = 1500 * time.Millisecond
	// maxDutyCall bounds one call of a holder.
	maxDutyCall = 700 * time.Millisecond
)

// termHolder is the state of the lease that all duties share.
type termHolder struct {
	mu        sync.Mutex
	candidate *lease.Candidate
}

// leaseKey is the row of the lease.
var leaseKey = hosting.RowKey{Table: leaseTable, Key: "duties"}

// ProbeRange is a small reading that shows whether the store answers.
var ProbeRange = hosting.RowRange{Table: leaseTable, Limit: 1}

// mayAct returns the term and the time left to act; ok is false unless this process holds the duties. Call it directly
// before each call.
func (g *Gateway) mayAct() (term int64, ok bool) {
	g.term.mu.Lock()
	defer g.term.mu.Unlock()
	if g.term.candidate == nil {
		return 0, false
	}
	return g.term.candidate.MayAct(bootclock.Now())
}

// competeLoop works on the duties until ctx ends or the process begins to leave, so that a successor need not wait until the
// last caller has its answer.
func (g *Gateway) competeLoop(ctx context.Context) {
	competing, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.dutyCtx, cancel)()
	g.dutyLoop(competing)
	<-ctx.Done()
}

// dutyLoop competes for the duties and works on them while this process holds them.
func (g *Gateway) dutyLoop(ctx context.Context) {
	bound := g.opts.Timing.Lease
	candidate, err := lease.New(lease.Config{
		Candidate:     g.opts.Host + "#" + g.opts.Incarnation,
		Duration:      bound,
		RenewInterval: time.Duration(renewShare * float64(bound)),
		ActWindow:     time.Duration(actShare * float64(bound)),
		// The address of this process belongs to one process at a time, so an earlier one has ended. To the receivers of
		// calls both are the same holder.
		Predecessor:     func(holder string) bool { return strings.HasPrefix(holder, g.opts.Host+"#") },
		PredecessorWait: maxDutyCall,
	})
	if err != nil {
		g.opts.Log.Error().Err(err).Msg("no duties here")
		return
	}
	delay := rand.N(maxTakeoverDelay)
	if g.opts.CPUShare < dutyProcessor {
		delay += weakDelay
	}
	candidate.SetDelay(delay)
	g.term.mu.Lock()
	g.term.candidate = candidate
	g.term.mu.Unlock()
	work := newDutyWork(g)
	for ctx.Err() == nil {
		g.term.mu.Lock()
		actions := candidate.Tick(bootclock.Now())
		g.term.mu.Unlock()
		g.carryOut(ctx, actions)
		if _, ok := g.mayAct(); ok {
			work.round(ctx)
		}
		sleep(ctx, dutyTick)
	}
	work.wait()
	g.releaseDuties()
}

// carryOut does the I/O of the lease.
func (g *Gateway) carryOut(ctx context.Context, actions []lease.Action) {
	for len(actions) > 0 {
		var next []lease.Action
		for _, a := range actions {
			next = append(next, g.leaseAction(ctx, a)...)
		}
		actions = next
	}
}

func (g *Gateway) leaseAction(ctx context.Context, a lease.Action) []lease.Action {
	switch a.Kind {
	case lease.ActionRead:
		page, err := g.opts.Rows.Range(ctx, hosting.RowRange{
			Table: leaseKey.Table, From: leaseKey.Key, To: leaseKey.Key + "\x00", Limit: 1,
		})
		return g.leaseRead(page, err)
	case lease.ActionWrite:
		value, err := json.Marshal(a.Record)
		if err != nil {
			g.opts.Log.Error().Err(err).Msg("lease not encoded")
			return g.leaseStep(func(c *lease.Candidate, now time.Time) []lease.Action { return c.Failed(false, now) })
		}
		result, err := g.opts.Rows.Commit(ctx, hosting.RowTxn{
			Conditions: []hosting.StoredRow{{RowKey: leaseKey, Version: a.Revision}},
			Puts:       []hosting.StoredRow{{RowKey: leaseKey, Value: value}},
		})
		return g.leaseStep(func(c *lease.Candidate, now time.Time) []lease.Action {
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

func (g *Gateway) leaseRead(page hosting.RowPage, err error) []lease.Action {
	return g.leaseStep(func(c *lease.Candidate, now time.Time) []lease.Action {
		if err != nil {
			return c.Failed(false, now)
		}
		if len(page.Rows) == 0 {
			return c.Observed(lease.Observation{}, now)
		}
		var record lease.Record
		if err := json.Unmarshal(page.Rows[0].Value, &record); err != nil {
			g.opts.Log.Error().Err(err).Msg("lease cannot be read")
			return c.Failed(false, now)
		}
		return c.Observed(lease.Observation{Revision: page.Rows[0].Version, Record: record}, now)
	})
}

func (g *Gateway) leaseStep(step func(c *lease.Candidate, now time.Time) []lease.Action) []lease.Action {
	g.term.mu.Lock()
	defer g.term.mu.Unlock()
	return step(g.term.candidate, bootclock.Now())
}

// releaseTimeout bounds the release of the lease at a stop.
const releaseTimeout = time.Second

// releaseDuties gives the lease up so that a successor need not wait.
func (g *Gateway) releaseDuties() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	g.term.mu.Lock()
	actions := g.term.candidate.Release(bootclock.Now())
	g.term.mu.Unlock()
	g.carryOut(ctx, actions)
}
