package upstreamlimit

import (
	"cmp"
	"math"
	"time"
)

// meter measures requests a second as an exponentially weighted average.
type meter struct {
	// weight is the weighted number of requests as of updated.
	weight  float64
	updated time.Time
	// span is the time constant; 0 means demandTime.
	span time.Duration
}

// seconds returns the time constant in seconds.
func (m *meter) seconds() float64 { return cmp.Or(m.span, demandTime).Seconds() }

func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.weight += n
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		m.weight *= math.Exp(-elapsed.Seconds() / m.seconds())
		m.updated = now
	}
}

func (m *meter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.weight / m.seconds()
}

// Demand is how many requests a second a host wants to send to an upstream.
type Demand struct {
	// Callers is the demand of callers, who wait for milliseconds, and Background that of jobs.
	Callers    float64 `json:"callers,omitempty"`
	Background float64 `json:"background,omitempty"`
}

func (d Demand) total() float64 { return d.Callers + d.Background }

// isValid reports whether both figures are finite and not negative.
func (d Demand) isValid() bool {
	return d.Callers >= 0 && d.Background >= 0 && !math.IsInf(d.total(), 0)
}

// demand holds the demand of a host by upstream, or by service.
type demand map[string]Demand

// peerDemand is the demand that another host reported in the latest heartbeat of one start.
type peerDemand struct {
	incarnation string
	sequence    int64
	demand      demand
	services    demand
}
