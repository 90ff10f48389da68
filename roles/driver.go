package roles

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/lease"
)

// releaseTimeout limits the time spent on releasing a role at shutdown. If the release fails, the successor has to wait
// for the lease to expire.
const releaseTimeout = 3 * time.Second

// driver runs the lease candidate of one role: it executes the candidate's actions and feeds back their results.
type driver struct {
	role string
	opts Options
	log  zerolog.Logger

	mu        sync.Mutex
	candidate *lease.Candidate
	// termRevision is the revision of the term row that this process wrote when it acquired the role.
	termRevision int64
}

func newDriver(role string, opts Options) (*driver, error) {
	candidate, err := lease.New(opts.Lease)
	if err != nil {
		return nil, err
	}
	d := &driver{role: role, opts: opts, log: opts.Log.With().Str("role", role).Logger(), candidate: candidate}
	opts.Registry.NewGauge(fmt.Sprintf(`radishshelf_role_held{role=%q}`, role), func() float64 {
		if _, ok := d.MayAct(time.Now()); ok {
			return 1
		}
		return 0
	})
	return d, nil
}

// MayAct implements Authority.
func (d *driver) MayAct(now time.Time) (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.candidate.MayAct(now)
}

// Guard implements Authority.
func (d *driver) Guard() (hosting.Condition, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.candidate.MayAct(time.Now()); !ok {
		return hosting.Condition{}, false
	}
	return hosting.Condition{Key: TermKey(d.role), Revision: d.termRevision}, true
}

func (d *driver) info(now time.Time) Info {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, _ := d.candidate.Row()
	_, held := d.candidate.MayAct(now)
	return Info{Role: d.role, Holder: row.Record.Holder, Term: row.Record.Term, Held: held}
}

func (d *driver) run(ctx context.Context) {
	ticker := time.NewTicker(d.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.releaseOnShutdown()
			return
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

func (d *driver) tick(ctx context.Context) {
	if !d.opts.Eligible() {
		d.stepDown(ctx)
		return
	}
	rank := d.opts.Rank(d.role)
	d.mu.Lock()
	d.candidate.Resume()
	if rank >= maxCandidates && !d.candidate.Holding() {
		d.mu.Unlock()
		return
	}
	d.candidate.SetTakeoverDelay(time.Duration(rank) * rankDelay)
	actions := d.candidate.Tick(time.Now())
	d.mu.Unlock()
	d.execute(ctx, actions)
}

// stepDown releases the role when the process is no longer eligible, for example because it is leaving and still
// finishes long streams. Without it the role would stay vacant for the lease duration plus the pause tolerance.
func (d *driver) stepDown(ctx context.Context) {
	d.mu.Lock()
	if d.candidate.Released() {
		d.mu.Unlock()
		return
	}
	actions := d.candidate.Release(time.Now())
	d.mu.Unlock()
	d.execute(ctx, actions)
}

func (d *driver) releaseOnShutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		d.mu.Lock()
		if d.candidate.Released() {
			d.mu.Unlock()
			return
		}
		actions := d.candidate.Release(time.Now())
		d.mu.Unlock()
		d.execute(ctx, actions)
		sleep(ctx, d.opts.TickInterval)
	}
}

// sleep waits for duration or until ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// execute performs the actions and those that follow from their results, until none are left.
func (d *driver) execute(ctx context.Context, actions []lease.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a.Kind {
		case lease.ActionRead:
			actions = append(actions, d.read(ctx)...)
		case lease.ActionWrite:
			actions = append(actions, d.write(ctx, a)...)
		case lease.ActionAcquired:
			d.log.Info().Int64("term", a.Record.Term).Msg("role acquired")
		case lease.ActionLost:
			d.log.Warn().Int64("term", a.Record.Term).Msg("role lost")
		}
	}
}

func (d *driver) read(ctx context.Context) []lease.Action {
	ctx, cancel := context.WithTimeout(ctx, d.opts.TableTimeout)
	defer cancel()
	row, err := d.opts.Table.Get(ctx, RowKey(d.role))
	obs := lease.Observation{}
	if err == nil {
		obs.Revision = row.Revision
		err = json.Unmarshal(row.Value, &obs.Record)
	} else if hosting.IsKind(err, hosting.KindNotFound) {
		err = nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Debug().Err(err).Msg("reading the lease row failed")
		return d.candidate.Failed(false, time.Now())
	}
	return d.recordTermRevision(d.candidate.Observed(obs, time.Now()))
}

func (d *driver) write(ctx context.Context, a lease.Action) []lease.Action {
	ctx, cancel := context.WithTimeout(ctx, d.opts.TableTimeout)
	defer cancel()
	result, err := d.commit(ctx, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil:
		d.log.Debug().Err(err).Msg("writing the lease row failed")
		return d.candidate.Failed(!hosting.IsKind(err, hosting.KindUnavailable), time.Now())
	case result.Committed:
		return d.recordTermRevision(d.candidate.Written(result.Revision, time.Now()))
	default:
		return d.candidate.Rejected(time.Now())
	}
}

// recordTermRevision stores the revision of the write that acquired the role. The caller must hold mu.
func (d *driver) recordTermRevision(actions []lease.Action) []lease.Action {
	for _, a := range actions {
		if a.Kind == lease.ActionAcquired {
			row, _ := d.candidate.Row()
			d.termRevision = row.Revision
		}
	}
	return actions
}

// commit writes the lease row. When the holder changes, it writes the term row in the same transaction, so that both
// rows have the same revision.
func (d *driver) commit(ctx context.Context, a lease.Action) (hosting.TxnResult, error) {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return hosting.TxnResult{}, err
	}
	txn := hosting.Txn{
		Conditions: []hosting.Condition{{Key: RowKey(d.role), Revision: a.Revision}},
		Puts:       []hosting.Put{{Key: RowKey(d.role), Value: value}},
	}
	if a.Record.Renewal == 0 && a.Record.Holder != "" {
		txn.Puts = append(txn.Puts, hosting.Put{Key: TermKey(d.role), Value: value})
	}
	return d.opts.Table.Commit(ctx, txn)
}
