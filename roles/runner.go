package roles

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Runner runs one lease candidate for each role.
type Runner struct {
	opts      Options
	roleNames []string
	drivers   map[string]*driver
}

// New returns a Runner; Run starts it.
func New(opts Options) (*Runner, error) {
	opts.setDefaults()
	r := &Runner{opts: opts, roleNames: opts.Roles, drivers: make(map[string]*driver, len(opts.Roles))}
	for _, role := range opts.Roles {
		d, err := newDriver(role, opts)
		if err != nil {
			return nil, eris.Wrapf(err, "role %s", role)
		}
		r.drivers[role] = d
	}
	return r, nil
}

// Authority returns the Authority for role. For a role that the Runner does not compete for, it never allows to act.
func (r *Runner) Authority(role string) Authority {
	if d, ok := r.drivers[role]; ok {
		return d
	}
	return noAuthority{}
}

// Run competes for the roles until ctx is done, and then releases those that are held.
func (r *Runner) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, d := range r.drivers {
		wg.Go(func() { d.run(ctx) })
	}
	wg.Wait()
	return nil
}

// Infos returns the last known state of each role.
func (r *Runner) Infos(now time.Time) []Info {
	infos := make([]Info, 0, len(r.roleNames))
	for _, role := range r.roleNames {
		infos = append(infos, r.drivers[role].info(now))
	}
	return infos
}
