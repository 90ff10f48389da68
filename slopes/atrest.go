package slopes

import (
	"strconv"
	"time"

	"github.com/radishshelf/radishshelf/standin/memory"
)

// measureAtRest shows the memory that one more idle entry or agent takes in this process. The fixed part of the resident
// set is the Go runtime and this program; the slope is the part of a process that belongs to the entry or agent.
func measureAtRest(r *Report) error {
	r.heading("memory at rest: heap and stacks by idle agents with their stand-in engines, and by idle entries")
	agents := newSeries("atrest.heap_and_stacks_agents", "agents", "B")
	for _, size := range []int{4, 16, 48} {
		n, err := newNode(0, 1, memory.New(memory.Options{}).Table, nil)
		if err != nil {
			return err
		}
		before := heapAndStackBytes()
		list, err := startSidecars(size, 1, []string{n.address}, memory.New(memory.Options{}).Table)
		if err != nil {
			return err
		}
		time.Sleep(warmUp)
		agents.add(size, heapAndStackBytes()-before)
		list.close()
		n.close()
	}
	entries := newSeries("atrest.heap_and_stacks_entries", "entries", "B")
	for _, size := range []int{4, 16, 32} {
		before := heapAndStackBytes()
		f, err := startNodes(size, 4)
		if err != nil {
			return err
		}
		time.Sleep(warmUp)
		entries.add(size, heapAndStackBytes()-before)
		f.close()
	}
	r.print(agents, entries)
	return nil
}

// resident is the resident set in megabytes, for the last line of the output.
func resident() string { return strconv.FormatFloat(residentBytes()/1e6, 'f', 0, 64) + " MB" }
