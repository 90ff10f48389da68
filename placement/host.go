package placement

// Host is a process that can run batch jobs.
type Host struct {
	Name, Incarnation, Region string
	// CPUShare is what the process gets of the processor, in cores.
	CPUShare float64
	// Items is the number of unfinished items of the jobs that it runs.
	Items int
}

// loadWith is the number of items for each core with more items on top.
func (h *Host) loadWith(items int) float64 { return float64(h.Items+items) / max(h.CPUShare, 0.01) }
