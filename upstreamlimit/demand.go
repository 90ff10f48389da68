package upstreamlimit

import (
	"math"
	"time"
)

// meter measures requests a second as an exponentially weighted average.
type meter struct {
	// weight is the weighted number of requests as of updated.
	weight  float64
	updated time.Time
}

func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.weight += n
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		m.weight *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		m.updated = now
	}
}

func (m *meter) perSecond(now time.Time) float64 {
	m.decay(now)
	return m.weight / demandTime.Seconds()
}

func (t *Table) meterOf(service string) *meter {
	m, ok := t.meters[service]
	if !ok {
		m = &meter{}
		t.meters[service] = m
	}
	return m
}

// reportedDemand holds the last two demands that a host has reported, in requests a second by service.
type reportedDemand struct {
	last, previous map[string]float64
}

func (r *reportedDemand) add(demand map[string]float64) { r.previous, r.last = r.last, demand }

// lowest returns the lower one of the last two demands.
func (r *reportedDemand) lowest(service string) float64 {
	return min(r.last[service], r.previous[service])
}

// highest returns the higher one of the last two demands.
func (r *reportedDemand) highest(service string) float64 {
	return max(r.last[service], r.previous[service])
}

// peerDemand is the demand that another host reported in the heartbeats of one start.
type peerDemand struct {
	incarnation string
	sequence    int64
	reportedDemand
}
