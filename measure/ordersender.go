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

// The holder of the role changes after ordersTenure, and after a failed round with probability ordersEarlyChange, so
// that some orders are completed by a holder that did not plan them. The previous holder runs one more round after each
// change.
const (
	ordersTenure      = 30 * time.Minute
	ordersEarlyChange = 0.3
)

// ordersLease is the key of the role's row in the table.
const ordersLease = "lease/orders"

// managedSender runs the order manager of the current role holder.
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
		_ = m.runManager(previous) // either its guard fails or it has nothing to do
	}
}

// runManager runs one round of a manager. A failed round is retried in the next one, as in the manager's own loop.
func (m *managedSender) runManager(manager *ordermanager.Manager) error {
	return manager.Round(context.Background())
}

// startTenure creates the order manager of a new role holder with the next term.
func (m *managedSender) startTenure() {
	m.term++
	m.tenureEnd = m.run.sim.Now().Add(ordersTenure)
	result, err := m.run.platform.table.Commit(context.Background(), hosting.Txn{
		Puts: []hosting.Put{{Key: ordersLease, Value: []byte(fmt.Sprint(m.term))}},
	})
	if err != nil {
		panic(err) // the in-memory table is always available, and this write bypasses lossyTable
	}
	m.manager, err = ordermanager.New(ordermanager.Options{
		Table: m.table, Orders: m.run.platform, Planning: ordering.DefaultConfig(), Signals: m.run.signals,
		Authority: tenure{term: m.term, revision: result.Revision}, Log: zerolog.Nop(), Now: m.run.sim.Now,
	})
	if err != nil {
		panic(err) // the default planning configuration is valid
	}
}

// tenure is the authority of one holder. It always reports that it holds the role, as a holder that was paused would;
// only its guard prevents writes after a change of the holder.
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

// reactiveSender orders the count that the current load needs. Without a reply, it orders again with a new order ID.
type reactiveSender struct {
	run    *ordersRun
	lastID int
	// acknowledged holds the count of the last order that was confirmed by a reply, by pool.
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
