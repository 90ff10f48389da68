package placement

// Host is a process that can run batch jobs.
type Host struct {
	Name, Incarnation, Region string
	// Cores is what the process gets of the processor, in cores.
	Cores float64
	// Items is the number of unfinished items of the jobs that it runs.
	Items int
}

// load is the number of items for each core with more items on top.
func (h *Host) load(more int) float64 { return float64(h.Items+more) / max(h.Cores, 0.01) }
