package placement

// Host is a process that can run batch jobs.
type Host struct {
	Name, Incarnation, Region string
	// CPUShare is the CPU share of the process, in cores.
	CPUShare float64
	// Items is the number of unfinished items in the jobs that the host runs.
	Items int
}

// loadWith returns the number of items per core if the host takes this many more items.
func (h *Host) loadWith(items int) float64 { return float64(h.Items+items) / max(h.CPUShare, 0.01) }
