package evenload

import (
	"maps"
	"math"
	"time"

	"github.com/radishshelf/radishshelf/placement"
)

const (
	// memory is the time constant with which observed response times lose weight. A host with a request every few seconds
	// for each upstream keeps a few responses of each in mind; a slow upstream that gets no work is tried again after about
	// this time, because it may have recovered.
	memory = 10 * time.Second
	// priorWeight is the number of observations as which the assumption counts that an upstream is as fast as the others.
	// With it, a single slow response moves little.
	priorWeight = 1
)

// ResponseTimes learns from the responses of the upstreams of one service how long requests last there, and which
// upstreams take longer than the others. Requests of different kinds have different amounts of work, so an upstream is
// judged by its response times relative to the mean of the same kind, without the round trip: distance has its own cost.
type ResponseTimes struct {
	kinds map[string]*average
	trips map[string]*roundTrips
	// work holds the response times without the round trip, by upstream and kind.
	work map[string]map[string]*average
	// sends counts the requests by upstream.
	sends map[string]*average
	all   average
}

// NewResponseTimes returns response times without observations.
func NewResponseTimes() *ResponseTimes {
	return &ResponseTimes{
		kinds: map[string]*average{}, trips: map[string]*roundTrips{}, work: map[string]map[string]*average{},
		sends: map[string]*average{},
	}
}

// Observe records a response to a request of a kind, such as its route.
func (r *ResponseTimes) Observe(kind, upstream string, distance placement.Distance, took time.Duration, now time.Time) {
	r.ObserveLifetime(took, now)
	trips, ok := r.trips[kind]
	if !ok {
		trips = &roundTrips{}
		r.trips[kind] = trips
	}
	trips.observe(distance, took)
	work := took - trips.trip(distance)
	averageIn(r.kinds, kind).add(work.Seconds(), now)
	r.addWork(kind, upstream, work, now)
}

// ObserveUnfinished records a request that was given up after a time without a response. It counts only if the
// others of its kind last less, because it says no more than that the upstream takes longer than this.
func (r *ResponseTimes) ObserveUnfinished(
	kind, upstream string, distance placement.Distance, after time.Duration, now time.Time,
) {
	k, ok := r.kinds[kind]
	if !ok {
		return
	}
	if work := after - r.trips[kind].trip(distance); work.Seconds() > k.mean() {
		r.addWork(kind, upstream, work, now)
	}
}

// ObserveLifetime records how long a request lasted that says nothing about its upstream.
func (r *ResponseTimes) ObserveLifetime(took time.Duration, now time.Time) {
	r.all.add(took.Seconds(), now)
}

func (r *ResponseTimes) addWork(kind, upstream string, work time.Duration, now time.Time) {
	kinds, ok := r.work[upstream]
	if !ok {
		kinds = map[string]*average{}
		r.work[upstream] = kinds
	}
	averageIn(kinds, kind).add(work.Seconds(), now)
}

// Lifetime returns the mean time for which a request lasts, 0 without observations.
func (r *ResponseTimes) Lifetime() time.Duration {
	return time.Duration(r.all.mean() * float64(time.Second))
}

// Slowness returns the response time of an upstream relative to the others; 1 is as long as these or unknown.
func (r *ResponseTimes) Slowness(upstream string, now time.Time) float64 {
	sum, weight := float64(priorWeight), float64(priorWeight)
	for kind, a := range r.work[upstream] {
		mean := r.kinds[kind].mean()
		if mean <= 0 {
			continue
		}
		left := math.Exp(-now.Sub(a.at).Seconds() / memory.Seconds())
		sum += a.sum * left / mean
		weight += a.weight * left
	}
	return sum / weight
}

// Sent records a request that is sent to an upstream.
func (r *ResponseTimes) Sent(upstream string, now time.Time) {
	averageIn(r.sends, upstream).add(0, now)
}

// Recent returns how many requests were sent to an upstream recently; each loses weight with its age.
func (r *ResponseTimes) Recent(upstream string, now time.Time) float64 {
	a, ok := r.sends[upstream]
	if !ok {
		return 0
	}
	return a.weight * math.Exp(-now.Sub(a.at).Seconds()/memory.Seconds())
}

// Retain drops the upstreams that are not known any more.
func (r *ResponseTimes) Retain(known func(upstream string) bool) {
	maps.DeleteFunc(r.work, func(id string, _ map[string]*average) bool { return !known(id) })
	maps.DeleteFunc(r.sends, func(id string, _ *average) bool { return !known(id) })
}

// average is a mean in which observations lose weight with their age.
type average struct {
	sum, weight float64
	at          time.Time
}

func averageIn(all map[string]*average, key string) *average {
	a, ok := all[key]
	if !ok {
		a = &average{}
		all[key] = a
	}
	return a
}

func (a *average) add(value float64, now time.Time) {
	if a.weight > 0 {
		left := math.Exp(-max(0, now.Sub(a.at).Seconds()) / memory.Seconds())
		a.sum *= left
		a.weight *= left
	}
	a.sum += value
	a.weight++
	a.at = now
}

// mean returns the mean whatever the age of the observations, 0 without any.
func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}
