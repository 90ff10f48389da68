package slopes

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/fleetconfig"
)

const (
	syncSpan = 3 * time.Second
	// changesTimed is the number of changes whose slowest is the time in force.
	changesTimed = 3
)

// measureConfigSync shows how the traffic of idle entries grows. A message carries at most 32 entries, so that the
// bytes stop growing there; the sizes of the fit lie below, and the last fleets show the end of the growth.
func measureConfigSync(r *Report) error {
	r.heading("configsync: entries without upstreams, 4 data centres; bytes sent and received once, without TCP headers")
	if err := syncByEntries(r, "configsync", []int{4, 8, 16, 32}); err != nil {
		return err
	}
	if err := syncByEntries(r, "configsync_above_32", []int{48, 96, 144}); err != nil {
		return err
	}
	r.heading("configsync: 32 entries by data centres")
	return syncByDataCentres(r)
}

func syncByEntries(r *Report, name string, sizes []int) error {
	bytes := newSeries(name+".bytes_sent_per_entry", "entries", "B/s")
	messages := newSeries(name+".calls_made_per_entry", "entries", "1/s")
	cpu := newSeries(name+".cpu_per_entry", "entries", "us/s")
	live := newSeries(name+".others_seen_live", "entries", "1")
	inForce := newSeries(name+".change_in_force", "entries", "ms")
	for _, size := range sizes {
		f, err := startNodes(size, 4)
		if err != nil {
			return err
		}
		l := f.measure(syncSpan)
		n := float64(size)
		bytes.add(size, l.bytes/n)
		messages.add(size, l.requests/n)
		cpu.add(size, l.cpu/n)
		seen := 0.0
		for _, node := range f.list {
			seen += node.knows() / n
		}
		live.add(size, seen)
		slowest, err := f.timeInForce()
		f.close()
		if err != nil {
			return err
		}
		inForce.add(size, slowest)
	}
	r.print(bytes, messages, cpu, live, inForce)
	return nil
}

func syncByDataCentres(r *Report) error {
	reads := newSeries("configsync.table_reads", "data_centres", "1/s")
	bytes := newSeries("configsync.bytes_sent_per_entry_by_dc", "data_centres", "B/s")
	inForce := newSeries("configsync.change_in_force_by_dc", "data_centres", "ms")
	for _, dcs := range []int{1, 4, 8} {
		f, err := startNodes(32, dcs)
		if err != nil {
			return err
		}
		time.Sleep(time.Second) // readers are ranked anew as the entries hear of each other
		l := f.measure(syncSpan)
		reads.add(dcs, l.reads)
		bytes.add(dcs, l.bytes/32)
		slowest, err := f.timeInForce()
		f.close()
		if err != nil {
			return err
		}
		inForce.add(dcs, slowest)
	}
	r.print(reads, bytes, inForce)
	return nil
}

// timeInForce returns the time in milliseconds from the commit of a change until every entry applies it, the slowest of
// a few changes.
func (f *nodes) timeInForce() (float64, error) {
	var slowest time.Duration
	for i := range changesTimed {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		revision, err := f.store.Write(ctx, fleetconfig.KindWorkspace, "workspace-"+strconv.Itoa(i), fleetconfig.Workspace{}, 0)
		if err == nil {
			go func() {
				defer cancel()
				f.list[0].syncer.AwaitInForce(ctx, revision)
			}()
			err = f.waitApplied(revision)
		}
		cancel()
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(start))
	}
	return micros(slowest) / 1e3, nil
}

func (f *nodes) waitApplied(revision int64) error {
	behind := func(n *node) bool { return n.syncer.View().Revision() < revision }
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !slices.ContainsFunc(f.list, behind) {
			return nil
		}
	}
	return errNotReady
}
