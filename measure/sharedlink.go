package measure

import (
	"math"
	"slices"
	"time"
)

// sharedLink is a network link that divides its rate in GB/s evenly among its transfers.
type sharedLink struct {
	sim  *Sim
	rate float64
	// maxTransferRate limits the rate of one transfer in GB/s; 0 means no limit.
	maxTransferRate float64
	transfers       []*transfer
	// updatedAt is when the remaining sizes of the transfers were last updated.
	updatedAt time.Time
	// wakeSeq identifies the latest scheduled wake-up.
	wakeSeq int
}

// transfer is an active transfer; remaining is in GB.
type transfer struct {
	remaining float64
	done      func()
}

// start starts a transfer; done is called when it completes.
func (l *sharedLink) start(gigabytes float64, done func()) *transfer {
	l.advance()
	t := &transfer{remaining: gigabytes, done: done}
	l.transfers = append(l.transfers, t)
	l.scheduleCompletion()
	return t
}

// cancel stops a transfer without calling done and returns its remaining size in GB, or 0 if it has completed.
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

// advance subtracts what was transferred since the last update.
func (l *sharedLink) advance() {
	if n := len(l.transfers); n > 0 {
		moved := l.sim.Now().Sub(l.updatedAt).Seconds() * l.transferRate(n)
		for _, t := range l.transfers {
			t.remaining -= moved
		}
	}
	l.updatedAt = l.sim.Now()
}

// transferRate returns the rate of each of n transfers in GB/s.
func (l *sharedLink) transferRate(n int) float64 {
	rate := l.rate / float64(n)
	if l.maxTransferRate > 0 {
		rate = min(rate, l.maxTransferRate)
	}
	return rate
}

// scheduleCompletion schedules a wake-up for the end of the shortest transfer; earlier scheduled wake-ups are ignored.
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
	// The added nanosecond compensates for the rounding of the duration.
	after := seconds(max(0, shortest)/l.transferRate(len(l.transfers))) + time.Nanosecond
	l.sim.After(after, func() {
		if seq == l.wakeSeq {
			l.complete()
		}
	})
}

// gigabytesTolerance is the remaining size below which a transfer is complete: one byte.
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
