package ordermanager

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/rowskip"
)

// scanLimit limits the number of intent rows that are read. It is far above the number of pools, which is the number of
// data centres times the number of policies and services.
const scanLimit = 1000

// Manager places orders while its Authority allows it.
type Manager struct {
	opts    Options
	planner *ordering.Planner
	// term is the term in which planner and intents were loaded, or 0 if they have to be loaded.
	term    int64
	intents map[ordering.Pool]Intent
	// outdated holds the keys of the intent rows that must be read again before the next turn of their pool.
	outdated map[string]bool

	placed, failed, skippedRows *metrics.Counter
	skipped                     *rowskip.Skipper
	cost                        costMeter
}

// New returns a Manager; Run starts it.
func New(opts Options) (*Manager, error) {
	opts.setDefaults()
	if err := opts.Planning.Validate(); err != nil {
		return nil, err
	}
	skippedRows := opts.Registry.NewCounter("radishshelf_orders_rows_skipped_total")
	return &Manager{
		opts:        opts,
		placed:      opts.Registry.NewCounter("radishshelf_orders_placed_total"),
		failed:      opts.Registry.NewCounter("radishshelf_orders_failed_total"),
		skippedRows: skippedRows,
		skipped:     rowskip.New(opts.Log, skippedRows),
		cost:        costMeter{registry: opts.Registry},
	}, nil
}

// Run plans and places orders until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	return roles.RunPeriodically(ctx, m.opts.Interval, m.Round, func(err error) {
		m.failed.Inc()
		m.opts.Log.Warn().Err(err).Msg("order round failed")
	})
}

// Round handles each pool once: it resolves the pool's open intent or else plans and places a new order if one is
// needed. An error of one pool does not keep the others from their turn; Round returns all errors at the end. It does
// nothing while the role is not held.
func (m *Manager) Round(ctx context.Context) error {
	term, ok := m.opts.Authority.MayAct(m.opts.Now())
	if !ok {
		m.term = 0
		m.cost.reset()
		return nil
	}
	if m.term != term {
		if err := m.loadIntents(ctx); err != nil {
			return err
		}
		m.term = term
	}
	signals := m.opts.Signals(m.opts.Now())
	m.cost.add(signals, m.desiredCount, m.opts.Now())
	return m.reconcilePools(ctx, signals)
}

// reconcilePools ends early only if no pool can have its turn, because ctx is done or the role is lost.
func (m *Manager) reconcilePools(ctx context.Context, signals []ordering.Signal) error {
	var errs []error
	for _, s := range signals {
		if ctx.Err() != nil || !m.holdsTerm() {
			break
		}
		errs = append(errs, m.reconcilePool(ctx, s))
	}
	return errors.Join(errs...)
}

// holdsTerm reports whether the role is still held in the term of the loaded intents.
func (m *Manager) holdsTerm() bool {
	term, ok := m.opts.Authority.MayAct(m.opts.Now())
	return ok && term == m.term
}

// loadIntents reads the intents from the table and replaces the planner by one without history. It skips rows that
// cannot be decoded. Their pools get no order until a later read of the row succeeds, since its generation is unknown.
func (m *Manager) loadIntents(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	rows, err := m.opts.Table.Scan(ctx, intentPrefix, "", scanLimit)
	if err != nil {
		return eris.Wrap(err, "read order intents")
	}
	intents := make(map[ordering.Pool]Intent, len(rows))
	outdated := map[string]bool{}
	for _, row := range rows {
		intent, err := decodeIntent(row)
		if err != nil {
			m.skipped.Skip(row.Key, err)
			outdated[row.Key] = true
			continue
		}
		intents[intent.Pool] = intent
	}
	planner, err := ordering.New(m.opts.Planning)
	if err != nil {
		return err
	}
	m.planner, m.intents, m.outdated = planner, intents, outdated
	return nil
}

// refreshIntent reads the intent row of a pool again if it is outdated.
func (m *Manager) refreshIntent(ctx context.Context, pool ordering.Pool) error {
	key := Intent{Pool: pool}.key()
	if !m.outdated[key] {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	row, err := m.opts.Table.Get(ctx, key)
	switch {
	case hosting.IsKind(err, hosting.KindNotFound):
		delete(m.intents, pool)
	case err != nil:
		return eris.Wrapf(err, "read intent %s", key)
	default:
		intent, err := decodeIntent(row)
		if err != nil {
			return err
		}
		m.intents[pool] = intent
	}
	delete(m.outdated, key)
	return nil
}

func (m *Manager) reconcilePool(ctx context.Context, s ordering.Signal) error {
	if err := m.refreshIntent(ctx, s.Pool); err != nil {
		return err
	}
	intent, known := m.intents[s.Pool]
	if known && intent.State == IntentPlanned {
		return m.resolveIntent(ctx, intent)
	}
	decision, ok := m.planner.Plan(s, m.desiredCount(s), m.opts.Now())
	if !ok {
		return nil
	}
	next := Intent{Pool: s.Pool, Generation: intent.Generation + 1, Count: decision.Count, State: IntentPlanned, revision: intent.revision}
	next, err := m.writeIntent(ctx, next)
	if err != nil {
		return err
	}
	m.opts.Log.Info().Str("pool", s.Pool.String()).Int("count", decision.Count).Int("previous", decision.Previous).
		Float64("demand", decision.Demand).Int64("generation", next.Generation).Msg("order planned")
	return m.place(ctx, next)
}

// desiredCount returns the count of the pool's last order, or the number of live upstreams if nothing was ordered yet.
func (m *Manager) desiredCount(s ordering.Signal) int {
	if intent, known := m.intents[s.Pool]; known {
		return intent.Count
	}
	return s.Live
}

// resolveIntent completes an intent whose result is unknown. It looks the order up on the platform and sends the same
// order again only if the platform does not have it.
func (m *Manager) resolveIntent(ctx context.Context, intent Intent) error {
	found, err := m.lookup(ctx, intent)
	if err != nil {
		return err
	}
	if found {
		return m.markDone(ctx, intent)
	}
	return m.place(ctx, intent)
}

func (m *Manager) lookup(ctx context.Context, intent Intent) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	_, err := m.opts.Orders.Lookup(ctx, intent.order(0).ID)
	if hosting.IsKind(err, hosting.KindNotFound) {
		return false, nil
	}
	if err != nil {
		return false, eris.Wrapf(err, "look up order %s", intent.order(0).ID)
	}
	return true, nil
}

// place sends the order. It checks the authority immediately before the call, after everything that can block.
func (m *Manager) place(ctx context.Context, intent Intent) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	if !m.holdsTerm() {
		return nil
	}
	order := intent.order(m.term)
	if err := m.opts.Orders.Place(ctx, order); err != nil {
		return eris.Wrapf(err, "place order %s", order.ID)
	}
	m.placed.Inc()
	m.opts.Log.Info().Str("pool", intent.Pool.String()).Int("count", intent.Count).Int64("term", m.term).
		Int64("generation", intent.Generation).Msg("order placed")
	return m.markDone(ctx, intent)
}

func (m *Manager) markDone(ctx context.Context, intent Intent) error {
	intent.State = IntentDone
	_, err := m.writeIntent(ctx, intent)
	return err
}

// writeIntent writes the pool's intent row on condition that the role is still held. After a failed or unknown result
// the row is read again before the pool's next turn, so that no order gets a second ID. The history of the planner
// stays: without it, the other pools would have to wait for the scaling delay again.
func (m *Manager) writeIntent(ctx context.Context, intent Intent) (Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	guard, ok := m.opts.Authority.Guard()
	if !ok {
		return intent, eris.New("role orders was lost before the intent was written")
	}
	intent.Term = m.term
	value, err := json.Marshal(intent)
	if err != nil {
		return intent, err
	}
	result, err := m.opts.Table.Commit(ctx, hosting.Txn{
		Conditions: []hosting.Condition{guard, {Key: intent.key(), Revision: intent.revision}},
		Puts:       []hosting.Put{{Key: intent.key(), Value: value}},
	})
	if err != nil || !result.Committed {
		m.outdated[intent.key()] = true
	}
	if err != nil {
		return intent, eris.Wrapf(err, "write intent %s", intent.key())
	}
	if !result.Committed {
		return intent, eris.Errorf("intent %s was changed by another holder", intent.key())
	}
	intent.revision = result.Revision
	m.intents[intent.Pool] = intent
	return intent, nil
}
