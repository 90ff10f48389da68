package textmove

import "time"

const (
	// defaultRestart is assumed before a run was observed: two round trips between regions and the reading of a prompt.
	defaultRestart = 100 * time.Millisecond
	// restartSamples is the number of runs over which the average is taken: a few seconds of a busy host, so that the
	// queues of a load peak show in it while the peak lasts.
	restartSamples = 30
)

// RestartTime is the average time from the start of a run to its first event. It includes a new connection, the queue
// of the engine and the reading of the prompt. The zero value is ready to use.
type RestartTime struct {
	average time.Duration
	runs    int
}

// Observe records the time from the start of a run to its first event.
func (r *RestartTime) Observe(d time.Duration) {
	r.runs = min(r.runs+1, restartSamples)
	r.average += (d - r.average) / time.Duration(r.runs)
}

// Estimate returns the expected time from the start of a run to its first event.
func (r *RestartTime) Estimate() time.Duration {
	if r.runs == 0 {
		return defaultRestart
	}
	return r.average
}
