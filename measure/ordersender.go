package measure

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/hosting"
	"github.com/radishshelf/radishshelf/ordering"
	"github.com/radishshelf/radishshelf/ordermanager"
)

// The role changes its holder after a tenure, and after a share of the failed rounds, so that some orders are finished
// by a holder that did not plan them. The old holder acts once more after the change.
const (
	ordersTenure      = 30 * time.Minute
	ordersEarlyChange = 0.3
)

// ordersLease is the key of the role's row.
const ordersLease = "lease/orders"

// managedSender runs the order manager of the present holder of the role.
type managedSender struct {
	run       *ordersRun
	table     *lossyTable
	manager   *ordermanager.Manager
	term      int64
	tenureEnd time.Time
}

func newManagedSender(r *ordersRun) orderSender {
	return &managedSender{run: r, table: &lossyTable{Table: r.platform.table, platform: r.platform}, tenureEnd: r.sim.Now()}
}

func (m *managedSender) runRound() {
	previous := m.manager
	changed := !m.run.sim.Now().Before(m.tenureEnd)
	if changed {
		m.startTenure()
	}
	if m.runManager(m.manager) != nil && m.run.sim.Rand.Float64() < ordersEarlyChange {
		m.tenureEnd = m.run.sim.Now()
	}
	if changed && previous != nil {
		_ = m.runManager(previous) // its guard has failed or it had nothing to do
	}
}

// runManager performs one round. A failed round is repeated with the next one, as the manager's own loop does.
func (m *managedSender) runManager(manager *ordermanager.Manager) error {
	return manager.Round(context.Background())
}

// startTenure starts the tenure of a new holder.
func (m *managedSender) startTenure() {
	m.term++
	m.tenureEnd = m.run.sim.Now().Add(ordersTenure)
	result, err := m.run.platform.table.Commit(context.Background(), hosting.Txn{
		Puts: []hosting.Put{{Key: ordersLease, Value: []byte(fmt.Sprint(m.term))}},
	})
	if err != nil {
		panic(err) // the in-memory table is up and this write bypasses the lost replies
	}
	m.manager, err = ordermanager.New(ordermanager.Options{
		Table: m.table, Orders: m.run.platform, Planning: ordering.DefaultConfig(), Signals: m.run.signals,
		Authority: tenure{term: m.term, revision: result.Revision}, Log: zerolog.Nop(), Now: m.run.sim.Now,
	})
	if err != nil {
		panic(err) // the default planning is valid
	}
}

// tenure believes for ever that it holds the role, as a paused holder does; only its guard tells otherwise.
type tenure struct {
	term     int64
	revision int64
}

// MayAct implements roles.Authority.
func (t tenure) MayAct(time.Time) (int64, bool) { return t.term, true }

// Guard implements roles.Authority.
func (t tenure) Guard() (hosting.Condition, bool) {
	return hosting.Condition{Key: ordersLease, Revision: t.revision}, true
}

// reactiveSender orders whatever the load of the second needs, again with a new identity until a reply comes.
type reactiveSender struct {
	run    *ordersRun
	lastID int
	// acknowledged is the count of the last order with a reply.
	acknowledged map[ordering.Pool]int
}

func newReactiveSender(r *ordersRun) orderSender {
	s := &reactiveSender{run: r, acknowledged: map[ordering.Pool]int{}}
	for _, p := range r.pools {
		s.acknowledged[p.pool] = p.ordered
	}
	return s
}

func (s *reactiveSender) runRound() {
	for _, signal := range s.run.signals(s.run.sim.Now()) {
		required := float64(signal.Busy+signal.Refused) / (ordering.DefaultTargetUtilization * float64(DefaultEngineConfig().Slots))
		count := min(max(int(math.Ceil(required)), signal.Min), signal.Max)
		if count == s.acknowledged[signal.Pool] {
			continue
		}
		s.lastID++
		err := s.run.platform.Place(context.Background(), hosting.Order{
			ID: fmt.Sprint(s.lastID), DataCentre: signal.Pool.DataCentre, Kind: signal.Pool.Kind, Count: count,
		})
		if err == nil {
			s.acknowledged[signal.Pool] = count
		}
	}
}
