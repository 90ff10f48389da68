package rolloutmanager

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/radishshelf/radishshelf/fleetconfig"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/rollout"
)

// Manager advances rollouts while it has the authority to. It is not safe for concurrent use.
type Manager struct {
	opts     Options
	term     int64
	planners map[string]*rollout.Planner

	staged, activated *metrics.Counter
}

// New returns a Manager, which Run starts, or an error if the planning options are invalid.
func New(opts Options) (*Manager, error) {
	opts.setDefaults()
	if err := opts.Planning.Validate(); err != nil {
		return nil, err
	}
	return &Manager{
		opts:      opts,
		staged:    opts.Registry.NewCounter(`radishshelf_rollouts_total{phase="stage"}`),
		activated: opts.Registry.NewCounter(`radishshelf_rollouts_total{phase="activate"}`),
	}, nil
}

// Run advances rollouts until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	return roles.RunPeriodically(ctx, m.opts.Interval, m.Round, func(err error) {
		m.opts.Log.Warn().Err(err).Msg("rollout round failed")
	})
}

// Round advances every policy once. An error of one policy does not keep the others from their turn; Round returns all
// errors at the end. It does nothing without authority. A new term starts with new planners, because the waits of an
// earlier term must not count.
func (m *Manager) Round(ctx context.Context) error {
	term, ok := m.opts.Authority.MayAct(m.opts.Now())
	if !ok {
		m.term = 0
		return nil
	}
	if m.term != term {
		m.term = term
		m.planners = map[string]*rollout.Planner{}
	}
	var errs []error
	for _, current := range m.opts.Rollouts() {
		if ctx.Err() != nil {
			break
		}
		errs = append(errs, m.advance(ctx, current))
	}
	return errors.Join(errs...)
}

// advance plans one policy and writes the planned rollout, if any.
func (m *Manager) advance(ctx context.Context, current PolicyRollout) error {
	ctx, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	planner, err := m.planner(current.Policy)
	if err != nil {
		return err
	}
	published, _, err := readPublished(ctx, m.opts.Table, current.Policy)
	if err != nil {
		return err
	}
	now := m.opts.Now()
	decision, ok := planner.Plan(current.Rollout, published.Version, m.opts.Engines(current.Policy, now), m.term, now)
	if !ok {
		return nil
	}
	return m.write(ctx, current, decision)
}

// planner returns the planner of a policy for the current term.
func (m *Manager) planner(policy string) (*rollout.Planner, error) {
	if p, ok := m.planners[policy]; ok {
		return p, nil
	}
	p, err := rollout.NewPlanner(m.opts.Planning)
	if err != nil {
		return nil, err
	}
	m.planners[policy] = p
	return p, nil
}

// write writes the planned rollout unless the authority was lost. It does not need the authority's guard condition: the
// condition on the revision of the object resolves a race with another holder.
func (m *Manager) write(ctx context.Context, current PolicyRollout, d rollout.Decision) error {
	if term, ok := m.opts.Authority.MayAct(m.opts.Now()); !ok || term != m.term {
		return nil
	}
	revision, err := m.opts.Config.Write(ctx, fleetconfig.KindRollout, current.Policy, d.Rollout, current.Revision)
	if err != nil {
		return eris.Wrapf(err, "write rollout of policy %s", current.Policy)
	}
	if d.Rollout.Phase == fleetconfig.PhaseActivate {
		m.activated.Inc()
	} else {
		m.staged.Inc()
	}
	m.opts.Log.Info().Str("policy", current.Policy).Int64("version", d.Rollout.Version).Str("phase", d.Rollout.Phase).
		Str("reason", string(d.Reason)).Int("ready", d.Ready).Int("total", d.Total).Int64("revision", revision).
		Int64("term", m.term).Msg("rollout advanced")
	return nil
}
