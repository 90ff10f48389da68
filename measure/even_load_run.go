package measure

import (
	"fmt"
	"time"

	"github.com/radishshelf/radishshelf/placement"
)

const (
	evenLoadLength = 16 * time.Second
	evenLoadWarmUp = 4 * time.Second
	// loadWindow is the time over which the busiest upstream is compared with the mean.
	loadWindow = 4 * time.Second
	// reportDelay is the time from a report to its arrival at the other hosts.
	reportDelay = 50 * time.Millisecond
	// rejectionDelay is the round trip after which a rejected request goes to another upstream.
	rejectionDelay = 5 * time.Millisecond
	// maxLoadSends limits the sends of one request.
	maxLoadSends = 6
)

// loadChoice returns the upstream for one send, given those that rejected the request.
type loadChoice func(r *loadRun, h *loadHost, rejectedBy map[string]bool) *loadServer

// loadServer is an upstream.
type loadServer struct {
	id      string
	pace    float64
	running int
	waiting []func()
	// work counts the requests of this window, in units of the time that they take here.
	work float64
}

// loadRun is one run of a pattern with one choice.
type loadRun struct {
	*Sim
	p       LoadPattern
	choose  loadChoice
	hosts   []*loadHost
	servers []*loadServer
	ids     []string
	byID    map[string]*loadServer
	// times holds the seconds from arrival to response, and unevenness the busiest over the mean of each window.
	times, unevenness                           []float64
	requests, rejections, connections, failures int
}

func (r *loadRun) rejectedShare() float64   { return float64(r.rejections) / float64(r.requests) }
func (r *loadRun) connectionShare() float64 { return float64(r.connections) / float64(r.requests) }

func runEvenLoad(p LoadPattern, choose loadChoice, seed int64) *loadRun {
	r := &loadRun{Sim: NewSim(seed), p: p, choose: choose, byID: map[string]*loadServer{}}
	capacity := r.addServers()
	weights := 0.0
	for i := range p.Hosts {
		h := newLoadHost(i, r)
		r.hosts = append(r.hosts, h)
		weights += h.weight
	}
	for _, h := range r.hosts {
		r.startHost(h, p.Load*capacity*h.weight/weights/float64(p.Batch))
	}
	if p.LostSight {
		r.After(evenLoadLength/3, func() { r.setBlind(true) })
		r.After(2*evenLoadLength/3, func() { r.setBlind(false) })
	}
	if p.Joins {
		r.After(evenLoadLength/2, func() {
			for _, h := range r.hosts {
				h.active = true
			}
		})
	}
	r.Every(loadWindow, r.closeWindow)
	r.Run(evenLoadLength)
	return r
}

// addServers adds the upstreams and returns how many requests they can serve in a second.
func (r *loadRun) addServers() float64 {
	capacity := 0.0
	for i := range r.p.Upstreams {
		s := &loadServer{id: fmt.Sprintf("u%03d", i), pace: 1}
		if r.p.Unequal && i%3 == 0 {
			s.pace = 3
		}
		capacity += float64(r.p.Slots) / s.pace / r.p.Work.Seconds()
		r.servers, r.ids = append(r.servers, s), append(r.ids, s.id)
		r.byID[s.id] = s
	}
	return capacity
}

// startHost starts the requests and reports of a host.
func (r *loadRun) startHost(h *loadHost, batchesPerSecond float64) {
	rate := func() float64 {
		if !h.active {
			return 0
		}
		return batchesPerSecond
	}
	r.Poisson(rate, func() {
		for range r.p.Batch {
			r.requests++
			r.send(h, r.Now(), map[string]bool{})
		}
	})
	r.After(seconds(r.Rand.Float64()*r.p.ReportAge.Seconds()), func() {
		r.Every(r.p.ReportAge, func() { r.report(h) })
	})
}

func (r *loadRun) setBlind(blind bool) {
	for i, h := range r.hosts {
		h.blind = blind && i%2 == 1
	}
}

// closeWindow compares the busiest upstream with the mean, in the work that it was given.
func (r *loadRun) closeWindow() {
	highest, sum := 0.0, 0.0
	for _, s := range r.servers {
		highest, sum = max(highest, s.work), sum+s.work
		s.work = 0
	}
	if sum > 0 && r.Elapsed() > evenLoadWarmUp {
		r.unevenness = append(r.unevenness, highest/sum*float64(len(r.servers)))
	}
}

func (r *loadRun) send(h *loadHost, began time.Time, rejectedBy map[string]bool) {
	s := r.choose(r, h, rejectedBy)
	if h.sent(s.id, r.Now()) {
		r.connections++
	}
	if s.running >= r.p.Slots && len(s.waiting) >= r.p.Slots {
		r.reject(h, s, began, rejectedBy)
		return
	}
	s.work += s.pace
	sentAt := r.Now()
	start := func() { r.serve(h, s, began, sentAt) }
	if s.running < r.p.Slots {
		start()
		return
	}
	s.waiting = append(s.waiting, start)
}

func (r *loadRun) reject(h *loadHost, s *loadServer, began time.Time, rejectedBy map[string]bool) {
	r.rejections++
	r.After(rejectionDelay, func() {
		h.done(s.id, r.Now())
		h.rejectedAt[s.id] = r.Now()
		rejectedBy[s.id] = true
		if len(rejectedBy) >= min(maxLoadSends, len(r.servers)) {
			r.failures++
			return
		}
		r.send(h, began, rejectedBy)
	})
}

// serve runs a request: half of its time is fixed and half is distributed exponentially.
func (r *loadRun) serve(h *loadHost, s *loadServer, began, sentAt time.Time) {
	s.running++
	r.After(seconds(r.p.Work.Seconds()*s.pace*(0.5+0.5*r.Rand.ExpFloat64())), func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		now := r.Now()
		h.done(s.id, now)
		h.times.Observe("plain", s.id, placement.SameDataCentre, now.Sub(sentAt), now)
		if began.Sub(epoch) > evenLoadWarmUp {
			r.times = append(r.times, now.Sub(began).Seconds())
		}
	})
}
