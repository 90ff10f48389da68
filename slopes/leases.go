package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishshelf/radishshelf/lease"
	"github.com/radishshelf/radishshelf/roles"
	"github.com/radishshelf/radishshelf/standin/memory"
)

// leaseSpan covers three renewals.
const leaseSpan = 9 * time.Second

// measureLeases runs all fleets at once, since only calls to the table are counted.
func measureLeases(r *Report) error {
	r.heading("leases: calls to the table, 4 roles by candidates and 3 candidates by roles")
	writes := newSeries("leases.writes", "roles", "1/s")
	reads := newSeries("leases.reads", "roles", "1/s")
	writesByCandidates := newSeries("leases.writes_by_candidates", "candidates", "1/s")
	readsByCandidates := newSeries("leases.reads_by_candidates", "candidates", "1/s")
	var group sync.WaitGroup
	byRoles := make([]tableCount, 4)
	for i := range byRoles {
		group.Go(func() { byRoles[i] = leaseCalls(3, i+1) })
	}
	candidates := []int{1, 3, 8, 32, 128}
	byCandidates := make([]tableCount, len(candidates))
	for i, n := range candidates {
		group.Go(func() { byCandidates[i] = leaseCalls(n, 4) })
	}
	group.Wait()
	for i, c := range byRoles {
		writes.add(i+1, c.Writes/leaseSpan.Seconds())
		reads.add(i+1, c.Reads/leaseSpan.Seconds())
	}
	for i, c := range byCandidates {
		writesByCandidates.add(candidates[i], c.Writes/leaseSpan.Seconds())
		readsByCandidates.add(candidates[i], c.Reads/leaseSpan.Seconds())
	}
	r.print(writes, reads, writesByCandidates, readsByCandidates)
	return nil
}

// leaseCalls counts the calls of a span after the first holders took their roles.
func leaseCalls(candidates, count int) tableCount {
	table := newCountedTable(memory.New(memory.Options{}).Table)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range candidates {
		runner, err := roles.New(roles.Options{
			Table: table, Lease: lease.DefaultConfig(fmt.Sprintf("entry-%d/1", i)), Roles: roles.All()[:count],
			Rank: func(string) int { return i }, Log: zerolog.Nop(),
		})
		if err != nil {
			continue // the default timing is valid
		}
		group.Go(func() { _ = runner.Run(ctx) })
	}
	time.Sleep(time.Second)
	before := table.total()
	time.Sleep(leaseSpan)
	after := table.total()
	cancel()
	group.Wait()
	return after.minus(before)
}
