package fleet

import (
	"testing"

	"golang.org/x/sync/semaphore"
)

// maxProcesses limits the processes of all fleets that run in parallel.
const maxProcesses = 40

var processSemaphore = semaphore.NewWeighted(maxProcesses)

// reserveProcesses waits until the processes of a fleet fit within maxProcesses, and releases them when the test ends.
func reserveProcesses(t testing.TB, o Options) {
	t.Helper()
	count := int64(len(o.Entries) + 2*len(o.Engines) + 2*o.Desks)
	if o.Trainer {
		count++
	}
	if err := processSemaphore.Acquire(t.Context(), count); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { processSemaphore.Release(count) })
}
