package measure

import (
	"math"
	"slices"
	"time"
)

// sharedLink divides a rate in GB/s evenly between its transfers.
type sharedLink struct {
	sim  *Sim
	rate float64
	// maxTransferRate bounds the rate of one transfer in GB/s; 0 means the whole rate.
	maxTransferRate float64
	transfers       []*transfer
	updatedAt       time.Time
	wakeSeq         int
}

// transfer is what is left of one transfer in GB.
type transfer struct {
	remaining float64
	done      func()
}

// start starts a transfer and calls done at its end.
func (l *sharedLink) start(gigabytes float64, done func()) *transfer {
	l.advance()
	t := &transfer{remaining: gigabytes, done: done}
	l.transfers = append(l.transfers, t)
	l.scheduleCompletion()
	return t
}

// cancel ends a transfer without calling done and returns what was left of it in GB.
func (l *sharedLink) cancel(t *transfer) float64 {
	l.advance()
	i := slices.Index(l.transfers, t)
	if i < 0 {
		return 0
	}
	l.transfers = slices.Delete(l.transfers, i, i+1)
	l.scheduleCompletion()
	return t.remaining
}

// advance takes off what was transferred since the last change.
func (l *sharedLink) advance() {
	if n := len(l.transfers); n > 0 {
		moved := l.sim.Now().Sub(l.updatedAt).Seconds() * l.transferRate(n)
		for _, t := range l.transfers {
			t.remaining -= moved
		}
	}
	l.updatedAt = l.sim.Now()
}

// transferRate is the rate of one of n transfers.
func (l *sharedLink) transferRate(n int) float64 {
	rate := l.rate / float64(n)
	if l.maxTransferRate > 0 {
		rate = min(rate, l.maxTransferRate)
	}
	return rate
}

// scheduleCompletion wakes the link at the end of its shortest transfer; an older wake-up is ignored.
func (l *sharedLink) scheduleCompletion() {
	l.wakeSeq++
	if len(l.transfers) == 0 {
		return
	}
	shortest := math.Inf(1)
	for _, t := range l.transfers {
		shortest = min(shortest, t.remaining)
	}
	seq := l.wakeSeq
	// A nanosecond more absorbs the rounding of the time.
	after := seconds(max(0, shortest)/l.transferRate(len(l.transfers))) + time.Nanosecond
	l.sim.After(after, func() {
		if seq == l.wakeSeq {
			l.complete()
		}
	})
}

// gigabytesTolerance is one byte.
const gigabytesTolerance = 1e-9

func (l *sharedLink) complete() {
	l.advance()
	var ended []*transfer
	l.transfers = slices.DeleteFunc(l.transfers, func(t *transfer) bool {
		if t.remaining > gigabytesTolerance {
			return false
		}
		ended = append(ended, t)
		return true
	})
	l.scheduleCompletion()
	for _, t := range ended {
		t.done()
	}
}
