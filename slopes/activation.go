package slopes

import (
	"context"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

// measureActivation shows the time from a written rollout object to the last agent. The change itself is written by one
// entry, as the holder of role rollout does.
func measureActivation(r *Report) error {
	r.heading("rollout: 4 entries in 2 data centres, real agents; from the written object to the last engine")
	staged := newSeries("rollout.staged_everywhere", "agents", "ms")
	active := newSeries("rollout.active_everywhere", "agents", "ms")
	median := newSeries("rollout.active_at_half", "agents", "ms")
	for _, size := range []int{8, 32, 128} {
		stageTime, half, all, err := activate(size)
		if err != nil {
			return err
		}
		staged.add(size, stageTime)
		active.add(size, all)
		median.add(size, half)
	}
	r.print(staged, active, median)
	return nil
}

func activate(agents int) (stageMs, halfMs, allMs float64, err error) {
	f, err := startNodes(4, 2)
	if err != nil {
		return 0, 0, 0, err
	}
	defer f.close()
	list, err := startSidecars(agents, 2, f.addresses(), f.table)
	if err != nil {
		return 0, 0, 0, err
	}
	defer list.close()
	if _, err := f.store.Write(context.Background(), fleetconfig.KindPolicy, "planner", fleetconfig.Policy{}, 0); err != nil {
		return 0, 0, 0, err
	}
	time.Sleep(2 * warmUp)
	wanted := fleetconfig.Rollout{Version: 2, Previous: 1, Phase: fleetconfig.PhaseStage, Term: 1}
	start := time.Now()
	revision, err := f.roll(wanted, 0)
	if err != nil {
		return 0, 0, 0, err
	}
	err = list.await(agents, func(c *sidecar) bool { return c.engine.staged(2) })
	if err != nil {
		return 0, 0, 0, err
	}
	stageMs = micros(time.Since(start)) / 1e3
	wanted.Phase = fleetconfig.PhaseActivate
	start = time.Now()
	if _, err := f.roll(wanted, revision); err != nil {
		return 0, 0, 0, err
	}
	isActive := func(c *sidecar) bool {
		version, _ := c.engine.active()
		return version == 2
	}
	if err := list.await(agents/2, isActive); err != nil {
		return 0, 0, 0, err
	}
	halfMs = micros(time.Since(start)) / 1e3
	if err := list.await(agents, isActive); err != nil {
		return 0, 0, 0, err
	}
	return stageMs, halfMs, micros(time.Since(start)) / 1e3, nil
}

// roll writes the rollout object and publishes it from one entry.
func (f *nodes) roll(wanted fleetconfig.Rollout, expected int64) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	revision, err := f.store.Write(ctx, fleetconfig.KindRollout, "planner", wanted, expected)
	if err != nil {
		cancel()
		return 0, err
	}
	go func() {
		defer cancel()
		f.list[0].syncer.AwaitInForce(ctx, revision)
	}()
	return revision, nil
}

// await returns once count agents satisfy ok.
func (l sidecars) await(count int, ok func(*sidecar) bool) error {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		reached := 0
		for _, c := range l {
			if ok(c) {
				reached++
			}
		}
		if reached >= count {
			return nil
		}
	}
	return errNotReady
}
