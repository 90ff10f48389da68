package measure

import (
	"container/heap"
	"math/rand"
	"time"
)

// epoch is where virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function to run at a virtual time; seq keeps the order of equal times stable.
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

// Sim is an event loop in virtual time.
type Sim struct {
	Rand   *rand.Rand
	now    time.Time
	events eventHeap
	seq    int
}

// NewSim returns a loop at the start of virtual time.
func NewSim(seed int64) *Sim {
	return &Sim{Rand: rand.New(rand.NewSource(seed)), now: epoch}
}

// Now is the current virtual time and Elapsed the time since the start.
func (s *Sim) Now() time.Time { return s.now }

// Elapsed returns the virtual time since the start.
func (s *Sim) Elapsed() time.Duration { return s.now.Sub(epoch) }

// After runs f after a delay.
func (s *Sim) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(max(d, 0)), seq: s.seq, run: f})
}

// Every runs f at each interval, first after one interval.
func (s *Sim) Every(interval time.Duration, f func()) {
	s.After(interval, func() {
		f()
		s.Every(interval, f)
	})
}

// Poisson runs f with exponential gaps; rate returns the current events per second, 0 for a pause.
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

// Run processes events until the virtual time has passed.
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
