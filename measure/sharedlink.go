package measure

import (
	"math"
	"slices"
	"time"
)

// sharedLink divides a rate in GB/s evenly between its transfers.
type sharedLink struct {
	sim       *Sim
	rate      float64
	transfers []*transfer
	counted   time.Time
	wake      int
}

// transfer is what is left of one transfer in GB.
type transfer struct {
	left float64
	done func()
}

// send starts a transfer and calls done at its end.
func (l *sharedLink) send(gigabytes float64, done func()) {
	l.advance()
	l.transfers = append(l.transfers, &transfer{left: gigabytes, done: done})
	l.schedule()
}

// advance takes off what was transferred since the last change.
func (l *sharedLink) advance() {
	if n := len(l.transfers); n > 0 {
		moved := l.sim.Now().Sub(l.counted).Seconds() * l.rate / float64(n)
		for _, t := range l.transfers {
			t.left -= moved
		}
	}
	l.counted = l.sim.Now()
}

// schedule wakes the link at the end of its shortest transfer; an older wake-up is ignored.
func (l *sharedLink) schedule() {
	l.wake++
	if len(l.transfers) == 0 {
		return
	}
	shortest := math.Inf(1)
	for _, t := range l.transfers {
		shortest = min(shortest, t.left)
	}
	wake := l.wake
	// A nanosecond more absorbs the rounding of the time.
	after := seconds(max(0, shortest)*float64(len(l.transfers))/l.rate) + time.Nanosecond
	l.sim.After(after, func() {
		if wake == l.wake {
			l.finish()
		}
	})
}

// gigabytesTolerance is one byte.
const gigabytesTolerance = 1e-9

func (l *sharedLink) finish() {
	l.advance()
	var ended []*transfer
	l.transfers = slices.DeleteFunc(l.transfers, func(t *transfer) bool {
		if t.left > gigabytesTolerance {
			return false
		}
		ended = append(ended, t)
		return true
	})
	l.schedule()
	for _, t := range ended {
		t.done()
	}
}
