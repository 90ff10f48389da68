package evenload

import (
	"math"
	"time"
)

// Report is what another host last said about its requests in flight.
type Report struct {
	// HeardAt is when the report arrived, by this host's clock.
	HeardAt time.Time
	// Requests counts the requests in flight by upstream.
	Requests map[string]int
}

// PeerLoad is the expected number of requests that other hosts have in flight at each upstream of a service.
type PeerLoad struct {
	// at is the time of the sums, and lifetime the mean lifetime of a request.
	at       time.Time
	lifetime time.Duration
	// current sums the reported requests that are expected to be in flight still.
	current map[string]float64
	// reported and remaining are the means over the upstreams of the service, of what was reported and of current.
	reported, remaining float64
}

// NewPeerLoad sums the reports for the upstreams of a service at a time. lifetime is the mean lifetime of a request there;
// with 0, reports count in full whatever their age.
func NewPeerLoad(reports []Report, upstreams []string, lifetime time.Duration, now time.Time) *PeerLoad {
	l := &PeerLoad{at: now, lifetime: lifetime, current: make(map[string]float64, len(upstreams))}
	for _, id := range upstreams {
		for _, r := range reports {
			n := float64(r.Requests[id])
			if n == 0 {
				continue
			}
			l.reported += n
			l.current[id] += n * l.remainingShare(now.Sub(r.HeardAt))
		}
		l.remaining += l.current[id]
	}
	if n := float64(len(upstreams)); n > 0 {
		l.reported /= n
		l.remaining /= n
	}
	return l
}

// remainingShare returns the share of reported requests that is still in flight after a time, if their lifetimes are
// distributed exponentially.
func (l *PeerLoad) remainingShare(age time.Duration) float64 {
	if l.lifetime <= 0 {
		return 1
	}
	return math.Exp(-max(0, age.Seconds()) / l.lifetime.Seconds())
}

// Expected returns the requests that other hosts are expected to have in flight at an upstream. Requests that have ended
// since the reports are assumed to be replaced by as many, spread evenly over the upstreams of the service.
func (l *PeerLoad) Expected(id string, now time.Time) float64 {
	share := l.remainingShare(now.Sub(l.at))
	return l.current[id]*share + l.reported - l.remaining*share
}
