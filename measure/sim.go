package measure

import (
	"container/heap"
	"math/rand"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a virtual time. seq orders events at the same time by their creation.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Sim is a discrete-event simulation. It is not safe for concurrent use.
type Sim struct {
	Rand   *rand.Rand
	now    time.Time
	events eventHeap
	seq    int
}

// NewSim returns a simulation at the start of virtual time.
func NewSim(seed int64) *Sim {
	return &Sim{Rand: rand.New(rand.NewSource(seed)), now: epoch}
}

// Now returns the current virtual time.
func (s *Sim) Now() time.Time { return s.now }

// Elapsed returns the virtual time since the start of the simulation.
func (s *Sim) Elapsed() time.Duration { return s.now.Sub(epoch) }

// After schedules f to run after the delay d; a negative delay counts as 0.
func (s *Sim) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: f})
}

// Every schedules f to run periodically, first after one interval.
func (s *Sim) Every(interval time.Duration, f func()) {
	s.After(interval, func() {
		f()
		s.Every(interval, f)
	})
}

// Poisson runs f as a Poisson process. rate returns the current number of events per second; while it returns 0, it is
// called again every second.
func (s *Sim) Poisson(rate func() float64, f func()) {
	r := rate()
	if r <= 0 {
		s.After(time.Second, func() { s.Poisson(rate, f) })
		return
	}
	s.After(seconds(s.Rand.ExpFloat64()/r), func() {
		f()
		s.Poisson(rate, f)
	})
}

// Run processes events until length has elapsed since the start of virtual time.
func (s *Sim) Run(length time.Duration) {
	end := epoch.Add(length)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
